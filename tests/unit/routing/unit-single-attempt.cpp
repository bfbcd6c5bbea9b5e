#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

#include "booking_topology.hpp"
#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/routing/single_attempt.hpp"

namespace
{

using namespace teasellead;
using namespace std::chrono_literals;

const time_point start_time = time_point{} + 1h;
constexpr duration send_window = 100ms;
constexpr duration response_window = 150ms;
constexpr duration cold_limit = 60ms;
constexpr std::uint32_t replicas = 3;

std::string describe(const single_result& result)
{
    return std::visit(overloaded{[](const single_completed& completed)
                                 { return "completed " + completed.body(); },
                                 [](const single_refused& refused)
                                 { return "refused " + std::string{to_string(refused.reason())}; },
                                 [](const single_unknown& unknown)
                                 {
                                     return "unknown " + std::string{to_string(unknown.failure())};
                                 }},
                      result);
}

/// a single-attempt request with the objects that it depends on
class single_attempt_fixture
{
  public:
    explicit single_attempt_fixture(upstream_limits limits = upstream_limits{4, 30, 1},
                                    data_centre_state state = data_centre_state::live, bool cold = false)
        : m_revision(booking_topology::make_revision(replicas, limits, state)),
          m_upstreams(booking_topology::make_table_settings(
              cold, cold_request_settings{.m_attempt_limit = cold_limit})),
          m_random(7), m_attempt(single_request{"id-1", booking_topology::make_plan(m_revision), 0,
                                                start_time + send_window, start_time + response_window},
                                 m_upstreams, m_random)
    {
        m_upstreams.set_views({host_view{1, booking_topology::host, {booking_topology::host}}});
    }

    std::optional<single_send> start()
    {
        return m_attempt.start(m_revision->configuration(), m_now);
    }

    std::optional<single_send> fail(attempt_id attempt, attempt_failure failure)
    {
        return m_attempt.on_failure(attempt, failure, m_revision->configuration(), m_now);
    }

    std::optional<single_send> wake()
    {
        return m_attempt.on_timer(m_revision->configuration(), m_now);
    }

    std::uint32_t in_flight() const
    {
        std::uint32_t total = 0;
        for (const upstream_status& status : m_upstreams.status(m_now))
        {
            total += status.in_flight();
        }
        return total;
    }

    time_point m_now{start_time};
    shared_revision m_revision;
    upstream_table m_upstreams;
    random_source m_random;
    single_attempt m_attempt;
};

class single_attempt_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(single_attempt_test);
    CPPUNIT_TEST(a_reply_completes_it);
    CPPUNIT_TEST(tries_another_replica_only_if_the_request_didnt_run);
    CPPUNIT_TEST(tries_each_replica_at_most_once);
    CPPUNIT_TEST(accepts_only_a_reply_that_echoes_the_request);
    CPPUNIT_TEST(a_late_reply_still_determines_the_outcome);
    CPPUNIT_TEST(ignores_events_of_ended_attempts);
    CPPUNIT_TEST(is_refused_without_a_usable_replica);
    CPPUNIT_TEST(waits_for_a_cold_replica_until_the_deadline);
    CPPUNIT_TEST(waits_for_capacity_until_the_deadline);
    CPPUNIT_TEST(ends_within_the_attempt_limit_of_a_cold_upstream);
    CPPUNIT_TEST(sends_nothing_after_its_deadline);
    CPPUNIT_TEST(is_refused_if_the_driver_did_not_send_the_attempt);
    CPPUNIT_TEST(rejects_invalid_requests);
    CPPUNIT_TEST_SUITE_END();

  public:
    void a_reply_completes_it()
    {
        single_attempt_fixture request;
        const auto sent = request.start();
        CPPUNIT_ASSERT(sent.has_value());
        CPPUNIT_ASSERT(sent->send_by() == start_time + send_window);
        CPPUNIT_ASSERT_EQUAL(1U, request.in_flight());
        CPPUNIT_ASSERT(!request.m_attempt.finished());
        request.m_attempt.on_reply(0, booking_topology::make_reply("id-1", "net 4"), request.m_now + 5ms);
        CPPUNIT_ASSERT_EQUAL(std::string{"completed net 4"}, describe(request.m_attempt.result()));
        CPPUNIT_ASSERT(verdict_of(request.m_attempt.result()) == verdict::ran);
        CPPUNIT_ASSERT_EQUAL(0U, request.in_flight());
    }

    void tries_another_replica_only_if_the_request_didnt_run()
    {
        struct row
        {
            attempt_failure m_failure;
            bool m_another;
            const char* m_result;
        };
        for (const row& each :
             {row{attempt_failure::not_connected, true, ""}, row{attempt_failure::shed, true, ""},
              row{attempt_failure::draining, true, ""}, row{attempt_failure::wrong_snapshot, true, ""},
              row{attempt_failure::lost, false, "unknown lost"},
              row{attempt_failure::invalid_reply, false, "unknown invalid_reply"},
              row{attempt_failure::timed_out, false, "unknown timed_out"}})
        {
            single_attempt_fixture request;
            const auto first = request.start();
            const auto second = request.fail(0, each.m_failure);
            const std::string name{to_string(each.m_failure)};
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, each.m_another, second.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, !each.m_another, request.m_attempt.finished());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, each.m_another ? 1U : 0U, request.in_flight());
            if (each.m_another)
            {
                CPPUNIT_ASSERT_MESSAGE(name, first->chosen().upstream() != second->chosen().upstream());
                continue;
            }
            CPPUNIT_ASSERT_EQUAL(std::string{each.m_result}, describe(request.m_attempt.result()));
            CPPUNIT_ASSERT(verdict_of(request.m_attempt.result()) == verdict::may_have_run);
            // no later event starts another attempt
            request.m_now += response_window;
            CPPUNIT_ASSERT(!request.wake().has_value());
            CPPUNIT_ASSERT(!request.fail(0, attempt_failure::not_connected).has_value());
        }
    }

    void tries_each_replica_at_most_once()
    {
        struct row
        {
            attempt_failure m_failure;
            const char* m_result;
        };
        for (const row& each :
             {row{attempt_failure::not_connected, "refused failed"},
              row{attempt_failure::shed, "refused failed"}, row{attempt_failure::draining, "refused failed"},
              row{attempt_failure::wrong_snapshot, "refused wrong_snapshot"}})
        {
            single_attempt_fixture request;
            std::vector<endpoint> tried;
            auto sent = request.start();
            while (sent && tried.size() <= replicas)
            {
                tried.push_back(sent->chosen().upstream());
                sent = request.fail(sent->attempt(), each.m_failure);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{replicas}, tried.size());
            std::sort(tried.begin(), tried.end());
            CPPUNIT_ASSERT(std::adjacent_find(tried.begin(), tried.end()) == tried.end());
            CPPUNIT_ASSERT_EQUAL(std::string{each.m_result}, describe(request.m_attempt.result()));
            CPPUNIT_ASSERT(verdict_of(request.m_attempt.result()) == verdict::not_run);
            CPPUNIT_ASSERT(std::get<single_refused>(request.m_attempt.result()).retry_after() > 0ms);
            CPPUNIT_ASSERT_EQUAL(0U, request.in_flight());
        }
    }

    void accepts_only_a_reply_that_echoes_the_request()
    {
        using booking_topology::shard_map;
        using booking_topology::snapshot;
        const std::array rows{
            upstream_reply{"id-2", "bookings", "all", shard_map, snapshot, 1, key_space_size, "x"},
            upstream_reply{"", "bookings", "all", shard_map, snapshot, 1, key_space_size, "x"},
            upstream_reply{"id-1", "refunds", "all", shard_map, snapshot, 1, key_space_size, "x"},
            upstream_reply{"id-1", "bookings", "some", shard_map, snapshot, 1, key_space_size, "x"},
            upstream_reply{"id-1", "bookings", "all", shard_map + 1, snapshot, 1, key_space_size, "x"},
            upstream_reply{"id-1", "bookings", "all", shard_map, snapshot + 1, 1, key_space_size, "x"}};
        for (const upstream_reply& each : rows)
        {
            single_attempt_fixture request;
            (void)request.start();
            request.m_attempt.on_reply(0, each, request.m_now);
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown invalid_reply"}, describe(request.m_attempt.result()));
            CPPUNIT_ASSERT_EQUAL(0U, request.in_flight());
        }
    }

    void a_late_reply_still_determines_the_outcome()
    {
        single_attempt_fixture request;
        (void)request.start();
        request.m_now += response_window;
        CPPUNIT_ASSERT(!request.wake().has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown timed_out"}, describe(request.m_attempt.result()));
        request.m_attempt.on_reply(0, booking_topology::make_reply("id-2", "other"), request.m_now);
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown timed_out"}, describe(request.m_attempt.result()));
        request.m_attempt.on_reply(0, booking_topology::make_reply("id-1", "net 4"), request.m_now);
        CPPUNIT_ASSERT_EQUAL(std::string{"completed net 4"}, describe(request.m_attempt.result()));
        CPPUNIT_ASSERT_EQUAL(0U, request.in_flight());
    }

    void ignores_events_of_ended_attempts()
    {
        single_attempt_fixture request;
        (void)request.start();
        const auto second = request.fail(0, attempt_failure::shed);
        CPPUNIT_ASSERT(second.has_value());
        request.m_attempt.on_reply(0, booking_topology::make_reply("id-1", "old"), request.m_now);
        CPPUNIT_ASSERT(!request.m_attempt.finished());
        CPPUNIT_ASSERT(!request.fail(0, attempt_failure::shed).has_value());
        CPPUNIT_ASSERT(!request.fail(9, attempt_failure::shed).has_value());
        request.m_attempt.on_not_sent(0, request.m_now);
        CPPUNIT_ASSERT(!request.m_attempt.finished());
        request.m_attempt.on_reply(1, booking_topology::make_reply("id-1", "net 4"), request.m_now);
        CPPUNIT_ASSERT_EQUAL(std::string{"completed net 4"}, describe(request.m_attempt.result()));
    }

    void is_refused_without_a_usable_replica()
    {
        single_attempt_fixture request{upstream_limits{4, 30, 1}, data_centre_state::out_of_service, false};
        CPPUNIT_ASSERT(!request.start().has_value());
        check_refusal(request, "refused no_replica");
    }

    void waits_for_a_cold_replica_until_the_deadline()
    {
        single_attempt_fixture request{upstream_limits{4, 30, 0}, data_centre_state::live, true};
        CPPUNIT_ASSERT(!request.start().has_value());
        CPPUNIT_ASSERT(!request.m_attempt.finished());
        request.m_now = request.m_attempt.next_wakeup();
        CPPUNIT_ASSERT(!request.wake().has_value());
        request.m_now = start_time + send_window;
        CPPUNIT_ASSERT(!request.wake().has_value());
        check_refusal(request, "refused cold");
    }

    void waits_for_capacity_until_the_deadline()
    {
        for (const bool frees_slot : {true, false})
        {
            single_attempt_fixture request{upstream_limits{1, 30, 1}};
            const shared_plan plan = booking_topology::make_plan(request.m_revision);
            for (std::uint32_t position = 0; position < replicas; ++position)
            {
                (void)request.m_upstreams.select(plan->targets().front(), request.m_revision->configuration(),
                                                 {}, request.m_random, request.m_now);
            }
            CPPUNIT_ASSERT(!request.start().has_value());
            CPPUNIT_ASSERT(!request.m_attempt.finished());
            CPPUNIT_ASSERT(request.m_attempt.next_wakeup() < start_time + send_window);
            request.m_now = request.m_attempt.next_wakeup();
            CPPUNIT_ASSERT(!request.wake().has_value());
            if (frees_slot)
            {
                request.m_upstreams.on_reply(booking_topology::upstream(1), 1, 5ms, request.m_now);
                request.m_now = request.m_attempt.next_wakeup();
                const auto sent = request.wake();
                CPPUNIT_ASSERT(sent.has_value());
                CPPUNIT_ASSERT(sent->chosen().upstream() == booking_topology::upstream(1));
                continue;
            }
            request.m_now = start_time + send_window;
            CPPUNIT_ASSERT(!request.wake().has_value());
            CPPUNIT_ASSERT_EQUAL(std::string{"refused at_capacity"}, describe(request.m_attempt.result()));
        }
    }

    void ends_within_the_attempt_limit_of_a_cold_upstream()
    {
        single_attempt_fixture request{upstream_limits{4, 30, 1}, data_centre_state::live, true};
        const auto sent = request.start();
        CPPUNIT_ASSERT(sent.has_value());
        CPPUNIT_ASSERT(sent->chosen().end_by() < start_time + send_window);
        CPPUNIT_ASSERT(sent->send_by() == sent->chosen().end_by());
        CPPUNIT_ASSERT(request.m_attempt.next_wakeup() == sent->chosen().end_by());
        request.m_now = sent->chosen().end_by();
        CPPUNIT_ASSERT(!request.wake().has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"unknown timed_out"}, describe(request.m_attempt.result()));
    }

    void sends_nothing_after_its_deadline()
    {
        single_attempt_fixture late;
        late.m_now += send_window;
        CPPUNIT_ASSERT(!late.start().has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"refused deadline"}, describe(late.m_attempt.result()));
        single_attempt_fixture failed;
        (void)failed.start();
        failed.m_now += send_window;
        CPPUNIT_ASSERT(!failed.fail(0, attempt_failure::shed).has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"refused failed"}, describe(failed.m_attempt.result()));
    }

    void is_refused_if_the_driver_did_not_send_the_attempt()
    {
        single_attempt_fixture request;
        const auto sent = request.start();
        request.m_now += 30s;
        request.m_attempt.on_not_sent(sent->attempt(), request.m_now);
        CPPUNIT_ASSERT_EQUAL(std::string{"refused deadline"}, describe(request.m_attempt.result()));
        CPPUNIT_ASSERT_EQUAL(0U, request.in_flight());
        // the stall of the driver must not count as latency of the upstream
        for (const upstream_status& status : request.m_upstreams.status(request.m_now))
        {
            CPPUNIT_ASSERT(status.latency() == duration::zero());
        }
    }

    void rejects_invalid_requests()
    {
        single_attempt_fixture other;
        const shared_plan plan = booking_topology::make_plan(other.m_revision);
        CPPUNIT_ASSERT_THROW((single_attempt{single_request{"id", plan, 1, start_time, start_time},
                                             other.m_upstreams, other.m_random}),
                             state_error);
        CPPUNIT_ASSERT_THROW((single_attempt{single_request{"id", plan, 0, start_time + 1ms, start_time},
                                             other.m_upstreams, other.m_random}),
                             state_error);
    }

  private:
    static void check_refusal(const single_attempt_fixture& request, const std::string& expected)
    {
        CPPUNIT_ASSERT_EQUAL(expected, describe(request.m_attempt.result()));
        CPPUNIT_ASSERT(verdict_of(request.m_attempt.result()) == verdict::not_run);
        CPPUNIT_ASSERT(std::get<single_refused>(request.m_attempt.result()).retry_after() > 0ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(single_attempt_test);

} // namespace
