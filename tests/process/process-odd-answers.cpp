#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform_fleet.hpp"
#include "scripted_server.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace test_support;

constexpr unsigned net = 98;
constexpr unsigned bad_gateway = 502;
constexpr int caller_count = 4;
constexpr int requests_per_caller = 5;
// far below the deadline of the requests
constexpr auto prompt = 700ms;
constexpr auto deadline = 1000ms;
const std::string odd_body = "odd body, 16 b.."; // one record of a search

/// an answer that isn't valid HTTP, but carries what makes a reply usable
struct odd_answer
{
    std::string m_name;
    std::string m_start; ///< status line
    std::string m_lines; ///< further lines of the head
    std::string m_length{"Content-Length: 16\r\n"};
};

/// one of each kind; tests of the connection have more
std::vector<odd_answer> odd_answers()
{
    std::vector<odd_answer> rows;
    for (const std::string status : {"000", "099", "101", "600", "999", "20", "2000"})
    {
        rows.push_back({"status " + status, "HTTP/1.1 " + status + " Odd\r\n", ""});
    }
    rows.push_back({"status 000 after 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n", ""});
    const std::vector<std::pair<std::string, std::string>> heads{
        {"blank in a name", "Odd Name: x\r\n"},
        {"blank in the name of the length", "Content Length: 4\r\n"},
        {"control byte in a name", "Odd\x01Name: x\r\n"},
        {"byte 0xff in a name", "Odd\xffName: x\r\n"},
        {"empty name", ": x\r\n"},
        {"blank before the colon", "Odd : x\r\n"},
        {"folded line", "Odd: x\r\n y\r\n"},
        {"line without a colon", "Odd\r\n"},
        {"control byte in a value", "Odd: a\x01z\r\n"},
        {"lone CR", "Odd: a\rz\r\n"},
        {"lone LF", "Odd: a\nOther: z\r\n"},
        {"two lengths", "Content-Length: 4\r\n"},
        {"the same length twice", "Content-Length: 16\r\n"},
        {"a length and chunks", "Transfer-Encoding: chunked\r\n"},
    };
    for (const auto& [name, lines] : heads)
    {
        rows.push_back({name, "HTTP/1.1 200 OK\r\n", lines});
    }
    for (const std::string length : {"Content-Length: +16", "Content-Length: 16, 16",
                                     "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked"})
    {
        rows.push_back({length, "HTTP/1.1 200 OK\r\n", "", length + "\r\n"});
    }
    return rows;
}

std::string field_of(const std::string& head, const std::string& name)
{
    const auto begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos)
    {
        return {};
    }
    const auto value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

std::string bytes_of(const odd_answer& answer, const std::string& request_head)
{
    const bool is_chunked = answer.m_length.find("chunked") != std::string::npos;
    return answer.m_start + "Request-Id: " + field_of(request_head, "Request-Id") +
           "\r\nServer-Stamp: stamp\r\n" + answer.m_lines + answer.m_length + "\r\n" +
           (is_chunked ? "10\r\n" + odd_body + "\r\n0\r\n\r\n" : odd_body);
}

/// a response, and how long it took
struct timed_answer
{
    plain_answer m_answer;
    std::chrono::steady_clock::duration m_time{};
};

class odd_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_answers_test);
    CPPUNIT_TEST(caller_gets_no_odd_answer);
    CPPUNIT_TEST(odd_answer_is_repeated_at_another_upstream);
    CPPUNIT_TEST(search_has_no_odd_part);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// all upstreams of the service answer so: what may run once gets 502 at once, and so does what may be
    /// repeated once its attempts are used up
    void caller_gets_no_odd_answer()
    {
        std::string failed;
        for (const odd_answer& row : odd_answers())
        {
            platform_fleet fleet{net, 1};
            odd_upstream odd{row};
            for (const standin_upstream* each : fleet.single_upstreams())
            {
                odd.replace(fleet, *each);
            }
            fleet.start_node(1);
            const timed_answer booked = call(fleet, "POST", "/book/x", "b1");
            const std::size_t attempts = odd.server().requests();
            const timed_answer read = call(fleet, "GET", "/read/x", "r1");
            const bool is_right = is_refused_at_once(booked) && attempts == 1 && is_refused_at_once(read) &&
                                  odd.server().most_requests_on_a_connection() == 1;
            failed += is_right ? ""
                               : row.m_name + ": " + shown(booked) + " after " + std::to_string(attempts) +
                                     " attempts, " + shown(read) + ", requests on a connection " +
                                     std::to_string(odd.server().most_requests_on_a_connection()) + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, failed);
    }

    void odd_answer_is_repeated_at_another_upstream()
    {
        std::string failed;
        for (const odd_answer& row : odd_answers())
        {
            platform_fleet fleet{net, 1};
            odd_upstream odd{row};
            odd.replace(fleet, *fleet.single_upstreams().front());
            fleet.start_node(1);
            // slow enough that some of the requests at the same time go to the odd one
            upstream_behaviour slow;
            slow.m_work = 20ms;
            fleet.single_upstreams().back()->set_behaviour(slow);
            const load_result result = read_at_once(fleet);
            const bool is_right = result.m_served == caller_count * requests_per_caller &&
                                  result.m_late == 0 && odd.server().requests() > 0;
            failed += is_right ? ""
                               : row.m_name + ": served " + std::to_string(result.m_served) + ", late " +
                                     std::to_string(result.m_late) + ", asked " +
                                     std::to_string(odd.server().requests()) + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, failed);
    }

    void search_has_no_odd_part()
    {
        std::string failed;
        for (const odd_answer& row : odd_answers())
        {
            platform_fleet fleet{net, 3};
            odd_upstream odd{row};
            // both upstreams of the first shard
            odd.replace(fleet, *fleet.upstreams()[0]);
            odd.replace(fleet, *fleet.upstreams()[1]);
            fleet.start_node(1);
            const timed_answer all = call(fleet, "GET", "/all/x", "a1");
            const bool is_right =
                all.m_answer.m_status == 200 && all.m_answer.field("Missing-Shards") == "1" &&
                all.m_answer.m_body.size() == odd_body.size() * 2 &&
                all.m_answer.m_body.find(odd_body) == std::string::npos && odd.server().requests() > 0 &&
                odd.server().most_requests_on_a_connection() == 1;
            failed += is_right ? "" : row.m_name + ": " + shown(all) + "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, failed);
    }

  private:
    /// stands at the address of upstreams and answers each request in the same way
    class odd_upstream
    {
      public:
        explicit odd_upstream(const odd_answer& answer)
            : m_answer(answer),
              m_server(m_thread, teasellead::endpoint::parse(address()),
                       [this](const std::string& head) { return scripted_answer{bytes_of(m_answer, head)}; })
        {
        }

        /// publishes this as the address of an upstream
        static void replace(platform_fleet& fleet, const standin_upstream& replaced)
        {
            fleet.store().put("servers/" + replaced.instance(), replaced.entry("ready", 2, address()));
        }

        [[nodiscard]] const scripted_server& server() const noexcept
        {
            return m_server;
        }

      private:
        static std::string address()
        {
            return "127." + std::to_string(net) + ".0.9:9000";
        }

        odd_answer m_answer;
        runtime::loop_thread m_thread;
        scripted_server m_server;
    };

    static timed_answer call(const platform_fleet& fleet, const std::string& method,
                             const std::string& target, const std::string& id)
    {
        plain_caller caller{fleet.callers_of(1)};
        const auto began = std::chrono::steady_clock::now();
        plain_answer answer = caller.call(method, target, id, "key-1", deadline);
        return {std::move(answer), std::chrono::steady_clock::now() - began};
    }

    /// what some callers at once got
    struct load_result
    {
        int m_served{0};
        int m_late{0};
    };

    static load_result read_at_once(const platform_fleet& fleet)
    {
        std::mutex mutex;
        load_result result;
        std::vector<std::thread> callers;
        callers.reserve(caller_count);
        for (int number = 0; number < caller_count; ++number)
        {
            callers.emplace_back(
                [&, number]
                {
                    for (int request = 0; request < requests_per_caller; ++request)
                    {
                        const timed_answer given =
                            call(fleet, "GET", "/read/x",
                                 "r" + std::to_string(number) + "-" + std::to_string(request));
                        const std::scoped_lock lock{mutex};
                        const bool is_own =
                            given.m_answer.m_status == 200 && given.m_answer.m_body != odd_body;
                        result.m_served += is_own ? 1 : 0;
                        result.m_late += given.m_time > prompt ? 1 : 0;
                    }
                });
        }
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        return result;
    }

    static bool is_refused_at_once(const timed_answer& given)
    {
        return given.m_answer.m_status == bad_gateway && given.m_answer.m_body.empty() &&
               given.m_answer.field("Odd").empty() && given.m_time < prompt;
    }

    static std::string shown(const timed_answer& given)
    {
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(given.m_time);
        return "status " + std::to_string(given.m_answer.m_status) + " in " + std::to_string(time.count()) +
               " ms, " + std::to_string(given.m_answer.m_body.size()) + " bytes";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_answers_test);

} // namespace
