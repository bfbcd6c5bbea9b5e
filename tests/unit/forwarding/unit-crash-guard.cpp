#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/forwarding/crash_guard.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::forwarding;

constexpr time_point start{1h};
const std::string request = "f00d";
const std::string service = "shard-1";

upstream_process process_of(int number)
{
    return {"instance-" + std::to_string(number), 7};
}

/// what happens to an upstream process after a connection to it was lost
enum class fate
{
    unknown,
    ends,
    survives
};

/// one lost connection to an upstream
struct loss_step
{
    int m_upstream{0};
    bool m_in_isolation{false};
    fate m_fate{fate::unknown};
};

struct standing_case
{
    const char* m_name;
    std::vector<loss_step> m_losses;
    request_restriction m_standing;
};

class crash_guard_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_guard_test);
    CPPUNIT_TEST(restriction_follows_from_losses);
    CPPUNIT_TEST(reply_of_the_service_lifts_the_restriction);
    CPPUNIT_TEST(records_merge_in_any_order);
    CPPUNIT_TEST(isolated_request_needs_a_trial);
    CPPUNIT_TEST(refused_request_has_two_late_trials);
    CPPUNIT_TEST(refusal_disregards_losses_of_concurrent_requests);
    CPPUNIT_TEST(operator_lifts_a_refusal);
    CPPUNIT_TEST(many_new_records_evict_no_refusal);
    CPPUNIT_TEST_SUITE_END();

  public:
    void restriction_follows_from_losses()
    {
        const std::vector<standing_case> cases{
            {"one loss", {{1}}, request_restriction::clear},
            {"the same upstream twice", {{1}, {1}}, request_restriction::clear},
            {"two losses", {{1}, {2}}, request_restriction::isolated},
            {"one of two survived", {{1, false, fate::survives}, {2}}, request_restriction::clear},
            {"many ended, none in isolation",
             {{1, false, fate::ends}, {2, false, fate::ends}, {3, false, fate::ends}, {4, false, fate::ends}},
             request_restriction::isolated},
            {"resets, the last in isolation", {{1}, {2}, {3, true}}, request_restriction::isolated},
            {"two ended, one of them in isolation",
             {{1, false, fate::ends}, {2}, {3, true, fate::ends}},
             request_restriction::isolated},
            {"three ended, one of them in isolation",
             {{1, false, fate::ends}, {2, false, fate::ends}, {3, true, fate::ends}},
             request_restriction::isolated},
            {"three ended, two of them in isolation",
             {{1, false, fate::ends}, {2}, {3, true, fate::ends}, {4, true, fate::ends}},
             request_restriction::refused},
            {"the one in isolation survived",
             {{1, false, fate::ends},
              {2, false, fate::ends},
              {3, false, fate::ends},
              {4, true, fate::survives}},
             request_restriction::isolated}};
        for (const standing_case& each : cases)
        {
            crash_guard guard;
            play(guard, each.m_losses);
            CPPUNIT_ASSERT_MESSAGE(each.m_name, restriction_of(*guard.find(request)) == each.m_standing);
        }
    }

    void reply_of_the_service_lifts_the_restriction()
    {
        crash_guard guard;
        make_refused(guard);
        guard.on_reply(request, "shard-2", process_of(9), start + 1s, start + 1s);
        CPPUNIT_ASSERT(is_denied(guard, 1, start + 2s));
        guard.on_reply(request, service, process_of(9), start + 1s, start + 2s);
        CPPUNIT_ASSERT(std::holds_alternative<attempt_allowed>(guard.check(request, 1, service, start + 2s)));
    }

    void records_merge_in_any_order()
    {
        const upstream_loss plain{service, process_of(1)};
        const upstream_loss ended{service, process_of(1), false, true, false};
        const upstream_loss other{service, process_of(2), true, false, false};
        const std::vector<crash_record> records{{request, 0, 0, {plain}},
                                                {request, 0, 1, {ended}},
                                                {request, 0, 0, {other}},
                                                {request, 1, 0, {}}};
        std::vector<std::size_t> order{0, 1, 2, 3};
        do
        {
            crash_record known{request, 0, 0, {}};
            for (const std::size_t each : order)
            {
                (void)merge(known, records[each]);
            }
            CPPUNIT_ASSERT((known == crash_record{request, 1, 0, {}}));
        } while (std::next_permutation(order.begin(), order.end()));
    }

    void isolated_request_needs_a_trial()
    {
        crash_guard guard;
        play(guard, {{1}, {2}});
        CPPUNIT_ASSERT(std::holds_alternative<trial_pending>(guard.check(request, 5, service, start)));
        CPPUNIT_ASSERT(
            (guard.take_requested_trials() == std::vector<requested_trial>{{5, request, service}}));
        guard.on_trial_reply(5, true, 0ms);
        CPPUNIT_ASSERT(std::holds_alternative<trial_allowed>(guard.check(request, 5, service, start)));
        // each request needs the reply to its own request for a trial
        CPPUNIT_ASSERT(std::holds_alternative<trial_pending>(guard.check(request, 6, service, start)));
        guard.on_trial_reply(6, false, 100ms);
        CPPUNIT_ASSERT(
            (guard.check(request, 6, service, start) == crash_check{attempt_denied{false, 100ms}}));
        guard.end_trial(5);
        guard.end_trial(6);
        CPPUNIT_ASSERT((guard.take_ended_trials() == std::vector<requested_trial>{{5, request, service}}));
        // the next trial is allowed after a delay only
        guard.on_lost(request, service, process_of(3), true, start);
        CPPUNIT_ASSERT(is_denied(guard, 7, start + 1s));
        CPPUNIT_ASSERT(!is_denied(guard, 7, start + 2s));
    }

    void refused_request_has_two_late_trials()
    {
        crash_guard guard;
        make_refused(guard);
        time_point now = start + 1ms; // when the end of the last lost upstream process was reported
        for (const duration pause : {duration{30s}, duration{10min}})
        {
            CPPUNIT_ASSERT(is_denied(guard, 1, now + pause - 1s));
            now += pause;
            CPPUNIT_ASSERT(now >= guard.next_trial(request));
            guard.count_trial(request, now);
        }
        CPPUNIT_ASSERT(!guard.next_trial(request));
        guard.on_tick(now + 10h);
        CPPUNIT_ASSERT(is_denied(guard, 2, now + 10h));
    }

    // guards against harmless requests that stay isolated because another request crashed the upstreams on
    // which they were running
    void refusal_disregards_losses_of_concurrent_requests()
    {
        crash_guard guard;
        for (const int upstream : {1, 2})
        {
            guard.on_lost("beside", service, process_of(upstream), false, start);
        }
        CPPUNIT_ASSERT(guard.is_restricted("beside"));
        make_refused(guard);
        CPPUNIT_ASSERT(!guard.is_restricted("beside"));
        guard.on_lost("beside", service, process_of(3), true, start + 1ms);
        CPPUNIT_ASSERT(!guard.is_restricted("beside"));
        CPPUNIT_ASSERT(guard.is_restricted(request));
    }

    void operator_lifts_a_refusal()
    {
        crash_guard guard;
        make_refused(guard);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, guard.lift("beef", start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, guard.lift("f0", start));
        CPPUNIT_ASSERT(std::holds_alternative<attempt_allowed>(guard.check(request, 1, service, start)));
        // an outdated record of another node doesn't restore the refusal
        guard.merge_record({request, 0, 0, {{service, process_of(1)}, {service, process_of(2)}}}, start);
        CPPUNIT_ASSERT(std::holds_alternative<attempt_allowed>(guard.check(request, 1, service, start)));
    }

    void many_new_records_evict_no_refusal()
    {
        crash_guard guard;
        make_refused(guard);
        for (int other = 0; other < 3000; ++other)
        {
            guard.on_lost("other-" + std::to_string(other), service, process_of(other), false, start + 1s);
        }
        CPPUNIT_ASSERT(is_denied(guard, 1, start + 2s));
    }

  private:
    static void play(crash_guard& guard, const std::vector<loss_step>& losses)
    {
        for (const loss_step& each : losses)
        {
            const upstream_process lost = process_of(each.m_upstream);
            guard.on_lost(request, service, lost, each.m_in_isolation, start);
            if (each.m_fate == fate::ends)
            {
                guard.on_ended(lost, start + 1ms);
            }
            if (each.m_fate == fate::survives)
            {
                guard.on_process_alive(lost, start + 1ms, start + 2ms);
            }
        }
    }

    static void make_refused(crash_guard& guard)
    {
        play(guard, {{1, false, fate::ends}, {2, true, fate::ends}, {3, true, fate::ends}});
    }

    static bool is_denied(crash_guard& guard, trial_id trial, time_point now)
    {
        return std::holds_alternative<attempt_denied>(guard.check(request, trial, service, now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_guard_test);

} // namespace
