#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "demo_text.hpp"
#include "process_fleet.hpp"

namespace
{

using namespace test_support;

constexpr unsigned net = 32;

class booking_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(booking_test);
    CPPUNIT_TEST(runs_once_however_often_it_is_repeated);
    CPPUNIT_TEST(needs_a_valid_id);
    CPPUNIT_TEST(is_unknown_after_the_issuing_host_is_killed);
    CPPUNIT_TEST(is_unknown_after_the_upstream_crashes);
    CPPUNIT_TEST(isnt_resent_after_a_lost_reply);
    CPPUNIT_TEST(runs_once_under_pauses);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        m_fleet = std::make_unique<process_fleet>(net, demo_text());
        m_fleet->start_upstreams("north", {"1.1:9001", "1.1:9002", "1.1:9003"});
        m_fleet->start_upstreams("north-bookings", {"1.1:9004"});
        m_fleet->start_upstreams("south", {"2.1:9001", "2.1:9002", "2.1:9003"});
        m_fleet->start_upstreams("south-bookings", {"2.1:9004"});
        m_fleet->start_node(1, "north");
        m_fleet->start_node(2, "south");
        m_fleet->publish_hosts({1, 2});
        m_fleet->wait_until_ready(1);
        m_fleet->wait_until_ready(2);
    }

    void tearDown() override
    {
        m_fleet.reset();
    }

    void runs_once_however_often_it_is_repeated()
    {
        for (const unsigned issuing_node : {1U, 2U})
        {
            const std::string id = issue(issuing_node);
            const std::string body = "{\"booking\":" + std::to_string(issuing_node) + "}";
            for (const unsigned node : {1U, 2U, issuing_node})
            {
                const auto answer = book(node, id, body);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.m_body.dump(), 200U, answer.m_status);
                CPPUNIT_ASSERT_EQUAL(std::string{"ran"}, answer.m_body.at("verdict").get<std::string>());
            }
            CPPUNIT_ASSERT_EQUAL(1U, times_seen(body));
        }
    }

    void needs_a_valid_id()
    {
        const std::string id = issue(1);
        std::string forged = id;
        forged.back() = forged.back() == 'A' ? 'B' : 'A';
        struct row
        {
            std::string m_id;
            const char* m_key;
            unsigned m_status;
            const char* m_verdict;
        };
        const row rows[] = {
            {"", coach_key, 400, "not_run"},
            {"nonsense", coach_key, 400, "not_run"},
            {forged, coach_key, 400, "not_run"},
            {id, club_key, 400, "not_run"},
            // a host that doesn't check the id with its issuing host can't determine whether it was used
            {id, "coach-1.wrong-sesame-for-the-demonstration", 401, "may_have_run"},
        };
        for (const row& current : rows)
        {
            const auto answer = book(1, current.m_id, "{}", current.m_key);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(current.m_id, current.m_status, answer.m_status);
            CPPUNIT_ASSERT_EQUAL(std::string{current.m_verdict},
                                 answer.m_body.at("verdict").get<std::string>());
        }
        CPPUNIT_ASSERT_EQUAL(0U, times_seen("{}"));
        CPPUNIT_ASSERT_EQUAL(200U, book(2, id, "{}").m_status);
        // the id belongs to that request now
        CPPUNIT_ASSERT_EQUAL(409U, book(1, id, R"({"other":1})").m_status);
    }

    void is_unknown_after_the_issuing_host_is_killed()
    {
        const std::string id = issue(2);
        m_fleet->process("node-2").signal(SIGKILL);
        (void)m_fleet->process("node-2").wait();
        const auto answer = book(1, id, "{}");
        CPPUNIT_ASSERT_EQUAL(502U, answer.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string{"may_have_run"}, answer.m_body.at("verdict").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(0U, times_seen("{}"));
    }

    void is_unknown_after_the_upstream_crashes()
    {
        const std::string id = issue(1);
        const auto answer = book(1, id, R"({"crash":"crash"})");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.m_body.dump(), 502U, answer.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string{"may_have_run"}, answer.m_body.at("verdict").get<std::string>());
        // only one of the two upstreams has crashed
        int alive = 0;
        for (const char* const address : {"1.1:9004", "2.1:9004"})
        {
            teasellead::http_client client{teasellead::endpoint::parse(m_fleet->resolve("NET.") + address)};
            alive += client.get("/seen", std::chrono::seconds{1}) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, alive);
    }

    void isnt_resent_after_a_lost_reply()
    {
        for (const char* const address : {"1.1:9004", "2.1:9004"})
        {
            m_fleet->control_upstream(address, {{"delay_ms", 3000}});
        }
        const std::string id = issue(1);
        const auto answer = book(1, id, R"({"late":1})");
        CPPUNIT_ASSERT_EQUAL(502U, answer.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string{"may_have_run"}, answer.m_body.at("verdict").get<std::string>());
        const auto repeat = book(2, id, R"({"late":1})");
        CPPUNIT_ASSERT_EQUAL(std::string{"may_have_run"}, repeat.m_body.at("verdict").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(1U, times_seen(R"({"late":1})"));
    }

    void runs_once_under_pauses()
    {
        std::atomic<bool> stop{false};
        std::map<std::string, std::string> verdicts;
        std::thread injector{[&]
                             {
                                 inject_pauses(stop);
                             }};
        for (int booking = 0; booking < bookings; ++booking)
        {
            const std::string body = "{\"number\":" + std::to_string(booking) + "}";
            verdicts[body] = book_until_known(body, 1U + static_cast<unsigned>(booking) % 2);
        }
        stop = true;
        injector.join();
        for (const auto& [body, verdict] : verdicts)
        {
            const unsigned seen = times_seen(body);
            CPPUNIT_ASSERT_MESSAGE(body, seen <= 1);
            CPPUNIT_ASSERT_MESSAGE(body + " " + verdict, verdict != "not_run" || seen == 0);
            CPPUNIT_ASSERT_MESSAGE(body + " " + verdict, verdict != "ran" || seen == 1);
        }
        // after the faults have ended, each further booking runs
        for (int booking = 0; booking < bookings_after; ++booking)
        {
            const std::string body = "{\"after\":" + std::to_string(booking) + "}";
            const unsigned issuing_node = 1U + static_cast<unsigned>(booking) % 2;
            CPPUNIT_ASSERT_MESSAGE(body, is_booked_soon(body, issuing_node));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 1U, times_seen(body));
        }
    }

  private:
    static constexpr int bookings = 150;
    static constexpr int bookings_after = 20;

    /// repeats a booking while it is refused; returns whether it ran
    bool is_booked_soon(const std::string& body, unsigned issuing_node)
    {
        constexpr int max_refusals = 100;
        for (int refusals = 0; refusals < max_refusals; ++refusals)
        {
            const std::string verdict = book_until_known(body, issuing_node);
            if (verdict != "not_run")
            {
                return verdict == "ran";
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
        return false;
    }

    /// pauses node 2 and the process of the bookings in `south` in turn, by SIGSTOP and SIGCONT
    void inject_pauses(const std::atomic<bool>& stop)
    {
        while (!stop)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds{300});
            m_fleet->process("node-2").signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::milliseconds{400});
            m_fleet->process("node-2").signal(SIGCONT);
            std::this_thread::sleep_for(std::chrono::milliseconds{300});
            m_fleet->process("south-bookings").signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::milliseconds{200});
            m_fleet->process("south-bookings").signal(SIGCONT);
        }
    }

    /// sends a booking to both nodes in turn, with the same id, while its outcome is unknown
    std::string book_until_known(const std::string& body, unsigned issuing_node)
    {
        const std::string id = issue(issuing_node);
        if (id.empty())
        {
            return "not_run";
        }
        std::string verdict = "may_have_run";
        for (unsigned attempt = 0; attempt < 3 && verdict == "may_have_run"; ++attempt)
        {
            const auto answer = book(1 + (issuing_node + attempt) % 2, id, body);
            verdict = answer.m_status == 0 ? "may_have_run" : answer.m_body.value("verdict", "may_have_run");
        }
        return verdict;
    }

    std::string issue(unsigned node)
    {
        const auto answer = m_fleet->call(node, "/-/request-ids", coach_key);
        return answer.m_status == 200 ? answer.m_body.at("request_id").get<std::string>() : std::string{};
    }

    caller_answer book(unsigned node, const std::string& id, const std::string& body,
                       const char* key = coach_key)
    {
        std::vector<teasellead::runtime::header_field> headers;
        if (!id.empty())
        {
            headers.push_back({"X-Teasellead-Request-Id", id});
        }
        return m_fleet->call(node, "/book", key, body, headers);
    }

    unsigned times_seen(const std::string& body)
    {
        unsigned result = 0;
        for (const char* const address : {"1.1:9004", "2.1:9004"})
        {
            const auto seen = m_fleet->seen_by(address);
            for (const auto& request : seen.at("requests"))
            {
                result += request.at("body") == body ? 1U : 0U;
            }
        }
        return result;
    }

    std::unique_ptr<process_fleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(booking_test);

} // namespace
