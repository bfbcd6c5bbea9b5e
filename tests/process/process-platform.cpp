#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <string>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "platform_fleet.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace test_support;

constexpr unsigned net = 91;
constexpr int caller_count = 8;

/// repeats a check until it succeeds or the limit is reached
bool holds_soon(const std::function<bool()>& check, std::chrono::milliseconds limit = 5000ms)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        if (check())
        {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

class platform_process_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_process_test);
    CPPUNIT_TEST(forwards_and_gathers);
    CPPUNIT_TEST(refuses_what_the_configuration_does_not_allow);
    CPPUNIT_TEST(withdrawn_key_stops_working);
    CPPUNIT_TEST(drained_upstream_receives_nothing_new);
    CPPUNIT_TEST(lost_booking_is_not_repeated);
    CPPUNIT_TEST(reply_to_another_request_reaches_no_caller);
    CPPUNIT_TEST(requests_are_refused_without_confirmation_until_the_store_returns);
    CPPUNIT_TEST(configuration_is_read_again_after_lost_history);
    CPPUNIT_TEST(stop_under_load_interrupts_no_request);
    CPPUNIT_TEST(limit_holds_over_two_nodes);
    CPPUNIT_TEST(changed_settings_are_read_again);
    CPPUNIT_TEST(blocked_log_reader_delays_no_request);
    CPPUNIT_TEST(bad_settings_end_with_one_line);
    CPPUNIT_TEST(crashing_request_is_refused_at_all_nodes_until_it_is_lifted);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against endless retries, by all nodes, of a request that crashes each upstream that runs it
    void crashing_request_is_refused_at_all_nodes_until_it_is_lifted()
    {
        const std::string crash = "/read/crash";
        platform_fleet fleet{net};
        upstream_behaviour fragile;
        fragile.m_crash_target = crash;
        std::uint64_t sequence = 10;
        fragile.m_on_restart = [&](const standin_upstream& restarted)
        {
            fleet.store().put("servers/" + restarted.instance(), restarted.entry("ready", ++sequence));
        };
        for (const auto& upstream : fleet.upstreams())
        {
            upstream->set_behaviour(fragile);
        }
        for (const unsigned node : {1U, 2U, 3U})
        {
            fleet.start_node(node);
        }
        const auto send_crashing = [&fleet, &crash](unsigned node, const std::string& id)
        {
            plain_caller caller{fleet.callers_of(node)};
            return caller.call("GET", crash, id, "key-1", 1000ms);
        };
        const auto is_refused = [&fleet](unsigned node)
        {
            plain_caller caller{fleet.metrics_of(node)};
            return caller.call("GET", "/requests", "list", "").m_body.find(" refused ") != std::string::npos;
        };
        int sent = 0;
        CPPUNIT_ASSERT(holds_soon(
            [&]
            {
                (void)send_crashing(1 + static_cast<unsigned>(sent % 3), "c" + std::to_string(sent));
                ++sent;
                std::this_thread::sleep_for(100ms);
                return is_refused(1) && is_refused(2) && is_refused(3);
            },
            20s));
        for (const unsigned node : {1U, 2U, 3U})
        {
            const plain_answer refused = send_crashing(node, "last");
            CPPUNIT_ASSERT_EQUAL(503U, refused.m_status);
            CPPUNIT_ASSERT(!refused.field("Retry-After").empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.runs_of("last"));
        // a restarted node receives the record from its peers
        fleet.node(2).signal(SIGKILL);
        fleet.node(2).wait();
        fleet.forget_node(2);
        fleet.start_node(2);
        CPPUNIT_ASSERT(holds_soon([&] { return is_refused(2); }));
        lift_first(fleet, 3);
        for (const unsigned node : {1U, 2U, 3U})
        {
            CPPUNIT_ASSERT(holds_soon([&] { return !is_refused(node); }));
        }
        fleet.calm_upstreams();
    }

    void forwards_and_gathers()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        plain_caller caller{fleet.callers_of(1)};
        const plain_answer read = caller.call("GET", "/read/x", "r1", "key-1");
        CPPUNIT_ASSERT_EQUAL(200U, read.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string{"r1"}, read.field("Request-Id"));
        CPPUNIT_ASSERT(!read.field("Server-Stamp").empty());
        const plain_answer all = caller.call("GET", "/all/x", "r2", "key-1");
        CPPUNIT_ASSERT_EQUAL(200U, all.m_status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3 * 16}, all.m_body.size());
        CPPUNIT_ASSERT(all.m_body.substr(0, 7) == "shard-c");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.runs_of("r1"));
        const auto runs = fleet.upstreams().back()->runs();
        CPPUNIT_ASSERT(std::all_of(runs.begin(), runs.end(),
                                   [](const upstream_run& run) { return run.m_account == "school"; }));
    }

    void refuses_what_the_configuration_does_not_allow()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        plain_caller caller{fleet.callers_of(1)};
        struct row
        {
            std::string m_target;
            std::string m_key;
            unsigned m_status;
        };
        for (const row& each :
             {row{"/nowhere/x", "key-1", 404}, row{"/read/x", "key-9", 401}, row{"/read/x", "", 401}})
        {
            CPPUNIT_ASSERT_EQUAL(each.m_status, caller.call("GET", each.m_target, "r", each.m_key).m_status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.runs_of("r"));
    }

    void withdrawn_key_stops_working()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        plain_caller caller{fleet.callers_of(1)};
        CPPUNIT_ASSERT_EQUAL(200U, caller.call("GET", "/read/x", "r1", "key-2").m_status);
        fleet.publish(2, {"key-1"});
        CPPUNIT_ASSERT(holds_soon([&]
                                  { return caller.call("GET", "/read/x", "r2", "key-2").m_status == 401; },
                                  platform_fleet::revocation_bound));
        CPPUNIT_ASSERT_EQUAL(200U, caller.call("GET", "/read/x", "r3", "key-1").m_status);
    }

    void drained_upstream_receives_nothing_new()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        const standin_upstream& leaving = *fleet.upstreams().back();
        fleet.store().put("servers/" + leaving.instance(), leaving.entry("draining", 2));
        std::this_thread::sleep_for(1s);
        const std::size_t before = leaving.runs().size();
        plain_caller caller{fleet.callers_of(1)};
        for (int request = 0; request < 50; ++request)
        {
            CPPUNIT_ASSERT_EQUAL(
                200U, caller.call("GET", "/read/x", "d" + std::to_string(request), "key-1").m_status);
        }
        CPPUNIT_ASSERT_EQUAL(before, leaving.runs().size());
    }

    void lost_booking_is_not_repeated()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        upstream_behaviour losing;
        losing.m_loses_answers = true;
        for (const auto& upstream : fleet.upstreams())
        {
            upstream->set_behaviour(losing);
        }
        plain_caller caller{fleet.callers_of(1)};
        const plain_answer booked = caller.call("POST", "/book/x", "b1", "key-1", 400ms);
        CPPUNIT_ASSERT(booked.m_status == 504 || booked.m_status == 502);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.runs_of("b1"));
    }

    void reply_to_another_request_reaches_no_caller()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        upstream_behaviour foreign;
        foreign.m_answers_for_another = true;
        for (const auto& upstream : fleet.upstreams())
        {
            upstream->set_behaviour(foreign);
        }
        plain_caller caller{fleet.callers_of(1)};
        CPPUNIT_ASSERT(caller.call("GET", "/read/x", "f1", "key-1", 400ms).m_status >= 500);
        CPPUNIT_ASSERT(caller.call("GET", "/all/x", "f2", "key-1", 400ms).m_status >= 500);
    }

    void requests_are_refused_without_confirmation_until_the_store_returns()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        plain_caller caller{fleet.callers_of(1)};
        fleet.store().set_mode(store_mode::refusing);
        std::this_thread::sleep_for(platform_fleet::revocation_bound + 200ms);
        const plain_answer refused = caller.call("GET", "/read/x", "k1", "key-1");
        CPPUNIT_ASSERT_EQUAL(503U, refused.m_status);
        CPPUNIT_ASSERT(!refused.field("Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.runs_of("k1"));
        fleet.store().set_mode(store_mode::up);
        CPPUNIT_ASSERT(
            holds_soon([&] { return caller.call("GET", "/read/x", "k2", "key-1").m_status == 200; }));
    }

    void configuration_is_read_again_after_lost_history()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        fleet.store().set_mode(store_mode::silent);
        fleet.publish(2, {"key-3"});
        fleet.store().drop_history();
        fleet.store().set_mode(store_mode::up);
        plain_caller caller{fleet.callers_of(1)};
        CPPUNIT_ASSERT(
            holds_soon([&] { return caller.call("GET", "/read/x", "h1", "key-3").m_status == 200; }));
        CPPUNIT_ASSERT_EQUAL(401U, caller.call("GET", "/read/x", "h2", "key-1").m_status);
    }

    void stop_under_load_interrupts_no_request()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        upstream_behaviour slow;
        slow.m_work = 100ms;
        for (const auto& upstream : fleet.upstreams())
        {
            upstream->set_behaviour(slow);
        }
        std::atomic<int> served{0};
        std::atomic<int> interrupted{0};
        std::atomic<bool> is_over{false};
        std::vector<std::thread> callers;
        callers.reserve(caller_count);
        for (int number = 0; number < caller_count; ++number)
        {
            callers.emplace_back(
                [&, number]
                {
                    // a caller that received "Connection: close" doesn't reconnect to a node that is stopping
                    plain_caller caller{fleet.callers_of(1)};
                    for (int request = 0; !is_over; ++request)
                    {
                        const std::string id = std::to_string(number) + "-" + std::to_string(request);
                        const plain_answer answer = caller.call("GET", "/read/x", id, "key-1");
                        ++(answer.m_status == 200 ? served : interrupted);
                        if (answer.m_status == 0 || answer.field("Connection") == "close")
                        {
                            return;
                        }
                    }
                });
        }
        std::this_thread::sleep_for(500ms);
        fleet.node(1).signal(SIGTERM);
        const int exit_code = fleet.node(1).wait();
        is_over = true;
        for (std::thread& caller : callers)
        {
            caller.join();
        }
        fleet.forget_node(1);
        CPPUNIT_ASSERT_EQUAL(0, exit_code);
        CPPUNIT_ASSERT_EQUAL(0, interrupted.load());
        CPPUNIT_ASSERT(served.load() > 20);
    }

    void limit_holds_over_two_nodes()
    {
        platform_fleet fleet{net};
        fleet.launch_node(1);
        fleet.launch_node(2);
        fleet.wait_until_ready(1);
        fleet.wait_until_ready(2);
        std::this_thread::sleep_for(3s);
        plain_caller first{fleet.callers_of(1)};
        plain_caller second{fleet.callers_of(2)};
        const auto end = std::chrono::steady_clock::now() + 4s;
        int served = 0;
        int refused = 0;
        for (int request = 0; std::chrono::steady_clock::now() < end; ++request)
        {
            for (plain_caller* caller : {&first, &second})
            {
                const plain_answer answer =
                    caller->call("GET", "/read/x", "l" + std::to_string(request), "key-club");
                served += answer.m_status == 200 ? 1 : 0;
                refused += answer.m_status == 429 ? 1 : 0;
                CPPUNIT_ASSERT(answer.m_status == 200 || !answer.field("Retry-After").empty());
            }
            std::this_thread::sleep_for(20ms);
        }
        // (rate x window + burst) x (1 + overage) + slack
        CPPUNIT_ASSERT(served <= (2 * 5 + 2) * 1.25 + 5);
        CPPUNIT_ASSERT(served >= 8);
        CPPUNIT_ASSERT(refused > 50);
    }

    void changed_settings_are_read_again()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        const auto has_line = [&fleet](const std::string& part)
        {
            return holds_soon([&] { return fleet.output_of(1).find(part) != std::string::npos; });
        };
        fleet.node(1).signal(SIGHUP);
        CPPUNIT_ASSERT(has_line(R"("event":"reload","changed":"nothing","needs_restart":"false")"));
        fleet.write_seeds(1, {"127.0.0.1:9"});
        fleet.node(1).signal(SIGHUP);
        CPPUNIT_ASSERT(has_line(R"("event":"reload","changed":"seeds","needs_restart":"false")"));
        fleet.break_settings(1);
        fleet.node(1).signal(SIGHUP);
        CPPUNIT_ASSERT(has_line(R"("event":"reload_failed")"));
        plain_caller caller{fleet.callers_of(1)};
        CPPUNIT_ASSERT_EQUAL(200U, caller.call("GET", "/read/x", "r1", "key-1").m_status);
    }

    /// fills a pipe that nobody reads with log lines of long ids and failures
    void blocked_log_reader_delays_no_request()
    {
        platform_fleet fleet{net};
        const std::string pipe = fleet.directory() + "/output";
        CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR));
        const int reader = ::open(pipe.c_str(), O_RDWR | O_CLOEXEC);
        CPPUNIT_ASSERT(reader >= 0);
        fleet.launch_node(1, pipe);
        fleet.wait_until_ready(1);
        plain_caller caller{fleet.callers_of(1)};
        plain_caller metrics{fleet.metrics_of(1)};
        const auto drops = [&metrics]
        {
            const std::string text = metrics.call("GET", "/metrics", "m", "").m_body;
            const std::string name = "\nteasellead_log_lines_dropped_total ";
            return std::stoul(text.substr(text.find(name) + name.size()));
        };
        const std::string long_id(6000, '-');
        int late = 0;
        for (int request = 0; request < 2000 && drops() == 0; ++request)
        {
            const auto began = std::chrono::steady_clock::now();
            (void)caller.call("GET", "/nowhere/x", "p" + std::to_string(request) + long_id, "key-1");
            late += std::chrono::steady_clock::now() - began > 1s ? 1 : 0;
        }
        CPPUNIT_ASSERT(drops() > 0);
        CPPUNIT_ASSERT_EQUAL(0, late);
        CPPUNIT_ASSERT_EQUAL(200U, caller.call("GET", "/read/x", "after", "key-1").m_status);
        ::close(reader);
    }

    void bad_settings_end_with_one_line()
    {
        child_process node{{std::string{TEASELLEAD_BIN_DIR} + "/teasellead"},
                           {"TEASELLEAD_SETTINGS=/tmp/teasellead-no-such-settings.json"},
                           "/dev/null"};
        CPPUNIT_ASSERT_EQUAL(2, node.wait());
    }

  private:
    /// lifts the first listed refusal through one node
    static void lift_first(const platform_fleet& fleet, unsigned node)
    {
        constexpr std::size_t digits = 16;
        plain_caller caller{fleet.metrics_of(node)};
        const std::string listed = caller.call("GET", "/requests", "list", "").m_body;
        const plain_answer lifted =
            caller.call("POST", "/requests/" + listed.substr(0, digits) + "/lift", "lift", "");
        CPPUNIT_ASSERT_EQUAL(200U, lifted.m_status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_process_test);

} // namespace
