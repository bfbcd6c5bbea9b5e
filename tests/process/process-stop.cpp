#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform_fleet.hpp"
#include "raw_connection.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace test_support;
using std::chrono::milliseconds;
using clock_time = std::chrono::steady_clock::time_point;

constexpr unsigned net = 92;
constexpr unsigned first_node = 1;
constexpr milliseconds long_limit{5000};
// a refusal doesn't wait for anything
constexpr milliseconds prompt{400};

/// a request on a connection that was opened and used before the stop
struct planned_request
{
    std::string m_target;
    milliseconds m_sent_after; ///< time from the stop signal
    milliseconds m_limit;
    unsigned m_status; ///< expected status
};

struct received_answer
{
    plain_answer m_answer;
    milliseconds m_latency{0};
};

std::string id_of(std::size_t number)
{
    return "planned-" + std::to_string(number);
}

/// sends a node planned requests, each on a connection of its own, around its stop signal
class stop_run
{
  public:
    stop_run(platform_fleet& fleet, std::vector<planned_request> planned)
        : m_fleet(fleet), m_planned(std::move(planned)), m_answers(m_planned.size()),
          m_stop_at(std::chrono::steady_clock::now() + 1s)
    {
        for (std::size_t number = 0; number < m_planned.size(); ++number)
        {
            m_callers.emplace_back(
                [this, number, caller = std::make_unique<plain_caller>(m_fleet.callers_of(first_node))]
                { send(*caller, number); });
        }
    }

    ~stop_run()
    {
        join();
    }

    stop_run(const stop_run&) = delete;
    stop_run& operator=(const stop_run&) = delete;

    [[nodiscard]] clock_time stop_at() const noexcept
    {
        return m_stop_at;
    }

    /// sends the stop signal when it is due
    void stop()
    {
        std::this_thread::sleep_until(m_stop_at);
        m_fleet.node(first_node).signal(SIGTERM);
    }

    /// waits until all requests were answered or cut off
    void join()
    {
        for (std::thread& each : m_callers)
        {
            if (each.joinable())
            {
                each.join();
            }
        }
    }

    [[nodiscard]] const std::vector<received_answer>& answers() const noexcept
    {
        return m_answers;
    }

    /// checks the status of each answer, and that refused requests were refused at once and haven't run
    void check() const
    {
        for (std::size_t number = 0; number < m_planned.size(); ++number)
        {
            const planned_request& wanted = m_planned[number];
            const received_answer& got = m_answers[number];
            const std::string what = wanted.m_target + " after " +
                                     std::to_string(wanted.m_sent_after.count()) + " ms, answered after " +
                                     std::to_string(got.m_latency.count()) + " ms";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, wanted.m_status, got.m_answer.m_status);
            if (wanted.m_status == 503)
            {
                CPPUNIT_ASSERT_MESSAGE(what, got.m_latency < prompt);
                CPPUNIT_ASSERT_MESSAGE(what, !got.m_answer.field("Retry-After").empty());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{0}, m_fleet.runs_of(id_of(number)));
            }
        }
    }

  private:
    void send(plain_caller& caller, std::size_t number)
    {
        const planned_request& planned = m_planned[number];
        // the connection is kept and used again
        (void)caller.call("GET", "/nowhere/x", "first-" + std::to_string(number), "key-1");
        std::this_thread::sleep_until(m_stop_at + planned.m_sent_after);
        const clock_time sent = std::chrono::steady_clock::now();
        received_answer& result = m_answers[number];
        result.m_answer = caller.call("POST", planned.m_target, id_of(number), "key-1", planned.m_limit);
        result.m_latency = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - sent);
    }

    platform_fleet& m_fleet;
    std::vector<planned_request> m_planned;
    std::vector<received_answer> m_answers; ///< each is written by one thread
    clock_time m_stop_at;
    std::vector<std::thread> m_callers;
};

class planned_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(late_request_that_may_not_finish_is_refused_at_once);
    CPPUNIT_TEST(unfinished_request_is_answered_before_the_process_ends);
    CPPUNIT_TEST(short_grace_period_leaves_time_for_every_answer);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against bookings that a stopping node passes on and then cuts off in the middle of their run
    void late_request_that_may_not_finish_is_refused_at_once()
    {
        platform_fleet fleet{net};
        start(fleet, 6s, 2400ms);
        stop_run run{fleet,
                     {{"/book/x", -300ms, long_limit, 200},
                      {"/book/x", 1000ms, long_limit, 200},
                      {"/book/x", 2300ms, long_limit, 200},
                      {"/book/x", 3200ms, long_limit, 503},
                      {"/read/x", 3250ms, long_limit, 503},
                      {"/all/x", 3300ms, long_limit, 503},
                      {"/all/x", 3300ms, 1000ms, 200},
                      {"/book/x", 3300ms, long_limit, 503}}};
        raw_connection slow_sender{fleet.callers_of(first_node)};
        run.stop();
        // neither a reload nor another stop signal changes a stop
        fleet.write_seeds(first_node, {"127.0.0.1:9"});
        fleet.node(first_node).signal(SIGHUP);
        fleet.node(first_node).signal(SIGTERM);
        std::this_thread::sleep_until(run.stop_at() + 2500ms);
        slow_sender.send(head_with_body("slow-body") + "sl");
        std::this_thread::sleep_until(run.stop_at() + 3300ms);
        slow_sender.send("ot");
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 503"}, slow_sender.read_all().substr(0, 12));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.runs_of("slow-body"));
        const int exit_code = fleet.node(first_node).wait();
        run.join();
        run.check();
        CPPUNIT_ASSERT_EQUAL(0, exit_code);
        CPPUNIT_ASSERT(fleet.output_of(first_node).find(R"("reason":"stopping")") != std::string::npos);
    }

    // guards against connections that end without an answer, and without a log line, at the end of a stop
    void unfinished_request_is_answered_before_the_process_ends()
    {
        constexpr std::chrono::seconds grace{5};
        platform_fleet fleet{net};
        start(fleet, grace, 1ms);
        upstream_behaviour hanging;
        hanging.m_loses_answers = true;
        // the replicas of one shard still answer, too few for a search
        for (std::size_t number = 2; number < fleet.upstreams().size(); ++number)
        {
            fleet.upstreams()[number]->set_behaviour(hanging);
        }
        stop_run run{fleet,
                     {{"/book/x", 100ms, long_limit, 502},
                      {"/read/x", 200ms, long_limit, 502},
                      {"/all/x", 300ms, long_limit, 502}}};
        raw_connection partial{fleet.callers_of(first_node)};
        run.stop();
        std::this_thread::sleep_until(run.stop_at() + 2500ms);
        partial.send(head_with_body("half-a-body") + "sl");
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 503"}, partial.read_all().substr(0, 12));
        const int exit_code = fleet.node(first_node).wait();
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() < run.stop_at() + grace);
        run.join();
        run.check();
        // upstreams were still at work
        CPPUNIT_ASSERT_EQUAL(1, exit_code);
        const std::string log = fleet.output_of(first_node);
        for (std::size_t number = 0; number < run.answers().size(); ++number)
        {
            const auto line = log.find("\"event\":\"request\",\"request_id\":\"" + id_of(number) + '"');
            CPPUNIT_ASSERT(line != std::string::npos);
            CPPUNIT_ASSERT(log.substr(line, log.find('\n', line) - line).find("\"reason\":\"stopping\"") !=
                           std::string::npos);
        }
    }

    // guards against a stop whose steps are timed for one grace period only
    void short_grace_period_leaves_time_for_every_answer()
    {
        constexpr std::chrono::seconds grace{3};
        platform_fleet fleet{net};
        start(fleet, grace, 1000ms);
        stop_run run{fleet,
                     {{"/book/x", 200ms, long_limit, 200},
                      {"/book/x", 1300ms, long_limit, 200},
                      {"/book/x", 1700ms, long_limit, 503},
                      {"/all/x", 1800ms, 600ms, 200},
                      {"/all/x", 2300ms, 700ms, 503}}};
        raw_connection idle{fleet.callers_of(first_node)};
        run.stop();
        CPPUNIT_ASSERT(idle.read_all().empty());
        // closed by the node, not by the end of its process
        CPPUNIT_ASSERT(fleet.output_of(first_node).find(R"("event":"stopped")") == std::string::npos);
        const int exit_code = fleet.node(first_node).wait();
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() < run.stop_at() + grace);
        run.join();
        run.check();
        CPPUNIT_ASSERT_EQUAL(0, exit_code);
    }

  private:
    /// starts a node with a grace period, and upstreams that need some time for single requests
    static void start(platform_fleet& fleet, std::chrono::seconds grace_period, milliseconds work)
    {
        fleet.set_route_timeout(long_limit);
        fleet.publish(2, {"key-1"});
        fleet.set_grace_period(grace_period);
        fleet.start_node(first_node);
        upstream_behaviour slow;
        slow.m_work = work;
        for (standin_upstream* const upstream : fleet.single_upstreams())
        {
            upstream->set_behaviour(slow);
        }
    }

    /// a booking up to the first byte of its body of four bytes
    static std::string head_with_body(const std::string& request_id)
    {
        return "POST /book/x HTTP/1.1\r\nHost: one.example\r\nRequest-Id: " + request_id +
               "\r\nDeadline-Ms: " + std::to_string(long_limit.count()) +
               "\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace
