#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "dispatch_fixture.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::forwarding;
using namespace teasellead::test;

const unanswered& unanswered_of(const dispatch& request)
{
    return std::get<unanswered>(request.result());
}

class dispatch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatch_test);
    CPPUNIT_TEST(failure_decides_about_a_second_send);
    CPPUNIT_TEST(verdict_of_an_unanswered_request_is_correct);
    CPPUNIT_TEST(status_of_the_upstream_is_passed_on);
    CPPUNIT_TEST(refuses_at_once_what_no_upstream_can_run);
    CPPUNIT_TEST(waits_for_capacity_only_for_a_fraction_of_the_objective);
    CPPUNIT_TEST(hedges_an_overdue_attempt_and_uses_the_first_reply);
    CPPUNIT_TEST(never_hedges_a_non_idempotent_request);
    CPPUNIT_TEST(empty_budget_allows_no_second_send);
    CPPUNIT_TEST(scatter_gathers_all_shard_replies);
    CPPUNIT_TEST(scatter_ends_partial_once_waiting_costs_more);
    CPPUNIT_TEST(scatter_counts_the_objective_from_the_arrival);
    CPPUNIT_TEST(scatter_waits_below_its_min_coverage);
    CPPUNIT_TEST(scatter_completes_without_an_unavailable_shard);
    CPPUNIT_TEST(scatter_that_cannot_reach_its_coverage_is_not_started);
    CPPUNIT_TEST(ends_at_its_deadline);
    CPPUNIT_TEST(single_request_ends_early_with_what_is_known);
    CPPUNIT_TEST(search_ends_early_with_the_replies_so_far);
    CPPUNIT_TEST(wakeups_increase);
    CPPUNIT_TEST(request_is_refused_at_once_if_all_upstreams_are_paused);
    CPPUNIT_TEST(search_continues_without_a_paused_shard);
    CPPUNIT_TEST(isolated_search_tries_one_shard_first);
    CPPUNIT_TEST(refused_request_ends_at_once);
    CPPUNIT_TEST_SUITE_END();

  public:
    void failure_decides_about_a_second_send()
    {
        struct row
        {
            repeatability m_kind;
            attempt_failure m_failure;
            bool m_is_sent_again;
        };
        constexpr std::array<row, 10> rows{{
            {repeatability::idempotent, attempt_failure::not_connected, true},
            {repeatability::idempotent, attempt_failure::shed, true},
            {repeatability::idempotent, attempt_failure::wrong_instance, true},
            {repeatability::idempotent, attempt_failure::broken, true},
            {repeatability::idempotent, attempt_failure::failed, true},
            {repeatability::non_idempotent, attempt_failure::not_connected, true},
            {repeatability::non_idempotent, attempt_failure::shed, true},
            {repeatability::non_idempotent, attempt_failure::wrong_instance, true},
            {repeatability::non_idempotent, attempt_failure::broken, false},
            {repeatability::non_idempotent, attempt_failure::abandoned, false},
        }};
        for (const row& each : rows)
        {
            dispatch_fixture fixture{{"a"}};
            dispatch request = fixture.single(each.m_kind);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends_of(request.start(dispatch_start)).size());
            const auto actions = request.on_failure(0, each.m_failure, dispatch_start + 1ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string{to_string(each.m_failure)}, each.m_is_sent_again,
                                         !sends_of(actions).empty());
        }
    }

    void verdict_of_an_unanswered_request_is_correct()
    {
        struct row
        {
            attempt_failure m_first;
            attempt_failure m_second;
            verdict m_expected;
        };
        constexpr std::array<row, 4> rows{{
            {attempt_failure::shed, attempt_failure::shed, verdict::not_run},
            {attempt_failure::not_connected, attempt_failure::wrong_instance, verdict::not_run},
            {attempt_failure::shed, attempt_failure::broken, verdict::may_have_run},
            {attempt_failure::not_connected, attempt_failure::broken, verdict::may_have_run},
        }};
        for (const row& each : rows)
        {
            dispatch_fixture fixture{{"a"}};
            dispatch request = fixture.single(repeatability::non_idempotent, 2);
            (void)request.start(dispatch_start);
            (void)request.on_failure(0, each.m_first, dispatch_start + 1ms);
            (void)request.on_failure(1, each.m_second, dispatch_start + 2ms);
            CPPUNIT_ASSERT(request.is_finished());
            CPPUNIT_ASSERT(unanswered_of(request).m_verdict == each.m_expected);
        }
    }

    void status_of_the_upstream_is_passed_on()
    {
        struct row
        {
            repeatability m_kind;
            unsigned m_status;
            std::size_t m_sends; ///< number of further attempts after the first
        };
        constexpr std::array<row, 4> rows{{
            {repeatability::idempotent, 200, 0},
            {repeatability::idempotent, 404, 0},
            {repeatability::idempotent, 500, 1},
            {repeatability::non_idempotent, 500, 0},
        }};
        for (const row& each : rows)
        {
            dispatch_fixture fixture{{"a"}};
            dispatch request = fixture.single(each.m_kind);
            (void)request.start(dispatch_start);
            const auto actions = request.on_reply(0, reply_of(each.m_status), dispatch_start + 1ms);
            CPPUNIT_ASSERT_EQUAL(each.m_sends, sends_of(actions).size());
            if (each.m_sends > 0)
            {
                (void)request.on_reply(1, reply_of(each.m_status), dispatch_start + 2ms);
            }
            CPPUNIT_ASSERT_EQUAL(each.m_status, std::get<forwarded>(request.result()).m_reply.m_status);
        }
    }

    void refuses_at_once_what_no_upstream_can_run()
    {
        dispatch_fixture fixture{{"b"}};
        dispatch request = fixture.single(repeatability::idempotent);
        CPPUNIT_ASSERT(request.start(dispatch_start).empty());
        CPPUNIT_ASSERT(request.is_finished());
        CPPUNIT_ASSERT(unanswered_of(request).m_verdict == verdict::not_run);
        CPPUNIT_ASSERT(unanswered_of(request).m_retry_after > 0ms);
    }

    void waits_for_capacity_only_for_a_fraction_of_the_objective()
    {
        dispatch_fixture fixture{{"a"}};
        fixture.m_has_room = false;
        dispatch request = fixture.single(repeatability::idempotent);
        CPPUNIT_ASSERT(request.start(dispatch_start).empty());
        CPPUNIT_ASSERT(!request.is_finished());
        time_point now = dispatch_start;
        while (!request.is_finished())
        {
            now = request.next_wakeup();
            CPPUNIT_ASSERT(now < dispatch_start + 25ms);
            CPPUNIT_ASSERT(sends_of(request.on_timer(now)).empty());
        }
        CPPUNIT_ASSERT(unanswered_of(request).m_reason == failure_reason::overloaded);
        CPPUNIT_ASSERT(unanswered_of(request).m_verdict == verdict::not_run);
    }

    // guards against requests that get no answer, or an untrue one, when their node stops
    void single_request_ends_early_with_what_is_known()
    {
        dispatch_fixture fixture{{"a"}};
        dispatch running = fixture.single(repeatability::non_idempotent);
        (void)running.start(dispatch_start);
        const auto actions = running.end_early(failure_reason::stopping, dispatch_start + 5ms);
        CPPUNIT_ASSERT(actions == std::vector<dispatch_action>{release_attempt{0}});
        CPPUNIT_ASSERT(unanswered_of(running).m_reason == failure_reason::stopping);
        CPPUNIT_ASSERT(unanswered_of(running).m_verdict == verdict::may_have_run);

        dispatch failed = fixture.single(repeatability::idempotent);
        (void)failed.start(dispatch_start);
        (void)failed.on_reply(0, reply_of(500), dispatch_start + 1ms);
        (void)failed.end_early(failure_reason::stopping, dispatch_start + 5ms);
        CPPUNIT_ASSERT_EQUAL(500U, std::get<forwarded>(failed.result()).m_reply.m_status);

        fixture.m_has_room = false;
        dispatch waiting = fixture.single(repeatability::non_idempotent);
        CPPUNIT_ASSERT(waiting.start(dispatch_start).empty());
        (void)waiting.end_early(failure_reason::stopping, dispatch_start + 5ms);
        CPPUNIT_ASSERT(unanswered_of(waiting).m_verdict == verdict::not_run);
        // nothing changes afterwards
        CPPUNIT_ASSERT(waiting.end_early(failure_reason::timed_out, dispatch_start + 9ms).empty());
        CPPUNIT_ASSERT(unanswered_of(waiting).m_reason == failure_reason::stopping);
    }

    void search_ends_early_with_the_replies_so_far()
    {
        struct row
        {
            double m_min_coverage;
            bool m_is_gathered;
        };
        for (const row& each : {row{0.5, true}, row{0.9, false}})
        {
            dispatch_fixture fixture{{"a", "b"}};
            dispatch request = fixture.over_shards({"a", "b"}, each.m_min_coverage);
            (void)request.start(dispatch_start);
            (void)request.on_reply(0, reply_of(200, "of a"), dispatch_start + 1ms);
            (void)request.end_early(failure_reason::stopping, dispatch_start + 5ms);
            CPPUNIT_ASSERT(request.is_finished());
            const auto* const result = std::get_if<gathered>(&request.result());
            CPPUNIT_ASSERT_EQUAL(each.m_is_gathered, result != nullptr);
            CPPUNIT_ASSERT(result == nullptr || result->m_missing_shards == "b:stopping");
            CPPUNIT_ASSERT(result != nullptr || unanswered_of(request).m_verdict != verdict::not_run);
        }
    }

    void hedges_an_overdue_attempt_and_uses_the_first_reply()
    {
        dispatch_fixture fixture{{"a"}};
        dispatch request = fixture.single(repeatability::idempotent);
        (void)request.start(dispatch_start);
        const time_point hedge_at = request.next_wakeup();
        CPPUNIT_ASSERT(hedge_at < dispatch_start + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends_of(request.on_timer(hedge_at)).size());
        const auto actions = request.on_reply(1, reply_of(200, "second"), hedge_at + 5ms);
        CPPUNIT_ASSERT(actions == std::vector<dispatch_action>{release_attempt{0}} || actions.size() == 2);
        CPPUNIT_ASSERT_EQUAL(std::string{"second"}, std::get<forwarded>(request.result()).m_reply.m_body);
        // the late reply of the first attempt is ignored
        CPPUNIT_ASSERT(request.on_reply(0, reply_of(200, "first"), hedge_at + 9ms).empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"second"}, std::get<forwarded>(request.result()).m_reply.m_body);
    }

    void never_hedges_a_non_idempotent_request()
    {
        dispatch_fixture fixture{{"a"}};
        dispatch request = fixture.single(repeatability::non_idempotent);
        (void)request.start(dispatch_start);
        while (!request.is_finished())
        {
            CPPUNIT_ASSERT(sends_of(request.on_timer(request.next_wakeup())).empty());
        }
        CPPUNIT_ASSERT(unanswered_of(request).m_verdict == verdict::may_have_run);
    }

    void empty_budget_allows_no_second_send()
    {
        dispatch_fixture fixture{{"a"}, 2, 0.0};
        dispatch request = fixture.single(repeatability::idempotent);
        (void)request.start(dispatch_start);
        CPPUNIT_ASSERT(sends_of(request.on_failure(0, attempt_failure::shed, dispatch_start + 1ms)).empty());
        CPPUNIT_ASSERT(unanswered_of(request).m_verdict == verdict::not_run);
    }

    void scatter_gathers_all_shard_replies()
    {
        dispatch_fixture fixture{{"a", "b"}};
        dispatch request = fixture.over_shards({"a", "b"}, 0.5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sends_of(request.start(dispatch_start)).size());
        (void)request.on_reply(1, reply_of(200, "of b"), dispatch_start + 1ms);
        CPPUNIT_ASSERT(!request.is_finished());
        (void)request.on_reply(0, reply_of(200, "of a"), dispatch_start + 2ms);
        const gathered& result = std::get<gathered>(request.result());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, result.m_shard_replies.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.m_missing);
    }

    void scatter_ends_partial_once_waiting_costs_more()
    {
        dispatch_fixture fixture{{"a", "b"}, 1};
        dispatch request = fixture.over_shards({"a", "b"}, 0.5);
        (void)request.start(dispatch_start);
        (void)request.on_reply(0, reply_of(200, "of a"), dispatch_start + 1ms);
        (void)request.on_timer(dispatch_start + 60ms);
        CPPUNIT_ASSERT(!request.is_finished());
        (void)request.on_timer(dispatch_start + 90ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, std::get<gathered>(request.result()).m_missing);
    }

    /// the request was delayed by its account's limit before dispatch began
    void scatter_counts_the_objective_from_the_arrival()
    {
        dispatch_fixture fixture{{"a", "b"}, 1};
        constexpr duration waited = 40ms;
        dispatch request = fixture.over_shards({"a", "b"}, 0.5, dispatch_start + waited);
        (void)request.start(dispatch_start + waited);
        (void)request.on_reply(0, reply_of(200, "of a"), dispatch_start + waited + 1ms);
        (void)request.on_timer(dispatch_start + 90ms);
        CPPUNIT_ASSERT(request.is_finished());
    }

    void scatter_waits_below_its_min_coverage()
    {
        dispatch_fixture fixture{{"a", "b"}, 1};
        dispatch request = fixture.over_shards({"a", "b"}, 0.9);
        (void)request.start(dispatch_start);
        (void)request.on_reply(0, reply_of(200, "of a"), dispatch_start + 1ms);
        (void)request.on_timer(dispatch_start + 500ms);
        CPPUNIT_ASSERT(!request.is_finished());
        (void)request.on_reply(1, reply_of(200, "of b"), dispatch_start + 600ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, std::get<gathered>(request.result()).m_missing);
    }

    void scatter_completes_without_an_unavailable_shard()
    {
        dispatch_fixture fixture{{"a"}};
        dispatch request = fixture.over_shards({"a", "b"}, 0.5);
        (void)request.start(dispatch_start);
        (void)request.on_reply(0, reply_of(200, "of a"), dispatch_start + 1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, std::get<gathered>(request.result()).m_missing);
    }

    void scatter_that_cannot_reach_its_coverage_is_not_started()
    {
        dispatch_fixture fixture{{"a"}};
        dispatch request = fixture.over_shards({"a", "b"}, 0.9);
        CPPUNIT_ASSERT(request.start(dispatch_start).empty());
        CPPUNIT_ASSERT(unanswered_of(request).m_verdict == verdict::not_run);
    }

    void ends_at_its_deadline()
    {
        dispatch_fixture fixture{{"a"}, 1};
        dispatch request = fixture.single(repeatability::idempotent);
        (void)request.start(dispatch_start);
        (void)request.on_timer(dispatch_start + 1s);
        CPPUNIT_ASSERT(unanswered_of(request).m_reason == failure_reason::timed_out);
        CPPUNIT_ASSERT(unanswered_of(request).m_verdict == verdict::may_have_run);
    }

    void wakeups_increase()
    {
        dispatch_fixture fixture{{"a", "b"}};
        dispatch request = fixture.over_shards({"a", "b"}, 1.0);
        (void)request.start(dispatch_start);
        time_point last = dispatch_start;
        while (!request.is_finished())
        {
            const time_point next = request.next_wakeup();
            CPPUNIT_ASSERT(next > last);
            (void)request.on_timer(next);
            last = next;
        }
    }
    void request_is_refused_at_once_if_all_upstreams_are_paused()
    {
        dispatch_fixture fixture{{"a"}};
        dispatch request = fixture.single(repeatability::non_idempotent);
        const auto first = sends_of(request.start(dispatch_start));
        request.on_notice(first.at(0), {false, 700ms}, dispatch_start);
        const auto second = sends_of(request.on_failure(first.at(0), attempt_failure::shed, dispatch_start));
        request.on_notice(second.at(0), {false, 300ms}, dispatch_start);
        (void)request.on_failure(second.at(0), attempt_failure::shed, dispatch_start);
        dispatch next = fixture.single(repeatability::non_idempotent);
        CPPUNIT_ASSERT(sends_of(next.start(dispatch_start + 100ms)).empty());
        const unanswered expected{failure_reason::upstreams_paused, verdict::not_run, 200ms};
        CPPUNIT_ASSERT(std::get<unanswered>(next.result()) == expected);
    }

    void search_continues_without_a_paused_shard()
    {
        for (const double least_coverage : {0.5, 1.0})
        {
            dispatch_fixture fixture{{"a", "b"}, 1};
            dispatch before = fixture.over_shards({"a", "b"}, 0.5);
            const auto sent = sends_of(before.start(dispatch_start));
            before.on_notice(sent.at(0), {false, 400ms}, dispatch_start);
            (void)before.on_failure(sent.at(0), attempt_failure::shed, dispatch_start);
            dispatch search = fixture.over_shards({"a", "b"}, least_coverage);
            const std::size_t sends = sends_of(search.start(dispatch_start)).size();
            CPPUNIT_ASSERT_EQUAL(std::size_t{least_coverage < 1.0 ? 1U : 0U}, sends);
            CPPUNIT_ASSERT(sends == 1 || std::get<unanswered>(search.result()).m_retry_after == 400ms);
        }
    }

    // guards against an isolated search that crashes a replica of each shard again, and against one that
    // goes on waiting after its trial has ended
    void isolated_search_tries_one_shard_first()
    {
        for (const bool is_answered : {true, false})
        {
            dispatch_fixture fixture{{"a", "b", "c"}, 3};
            fixture.isolate("a");
            dispatch search = fixture.over_shards({"c", "b", "a"}, 0.5);
            CPPUNIT_ASSERT(sends_of(search.start(dispatch_start)).empty());
            grant(fixture);
            const time_point trial_start = dispatch_start + 4ms;
            const auto trial = sends_of(search.on_timer(trial_start));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, trial.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"a"}, search.upstream_of(trial[0]).entry().m_service);
            CPPUNIT_ASSERT(sends_of(search.on_timer(trial_start + 60ms)).empty());
            if (is_answered)
            {
                (void)search.on_reply(trial[0], reply_of(200), trial_start + 60ms);
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sends_of(search.on_timer(trial_start + 64ms)).size());
                continue;
            }
            (void)search.on_failure(trial[0], attempt_failure::broken, trial_start + 60ms);
            CPPUNIT_ASSERT(sends_of(search.on_timer(trial_start + 64ms)).empty());
            CPPUNIT_ASSERT(std::get<unanswered>(search.result()).m_reason == failure_reason::isolated);
        }
    }

    void refused_request_ends_at_once()
    {
        dispatch_fixture fixture{{"a"}, 3};
        for (int lost = 0; lost < 3; ++lost)
        {
            fixture.m_crashes.on_lost("f00d", "a", {"a-" + std::to_string(lost), 1}, lost > 0,
                                      dispatch_start);
            fixture.m_crashes.on_ended({"a-" + std::to_string(lost), 1}, dispatch_start);
        }
        dispatch request = fixture.single(repeatability::idempotent);
        CPPUNIT_ASSERT(sends_of(request.start(dispatch_start)).empty());
        const unanswered expected{failure_reason::crashes_upstreams, verdict::not_run, 30s};
        CPPUNIT_ASSERT(std::get<unanswered>(request.result()) == expected);
    }

  private:
    /// grants all requested trials
    static void grant(dispatch_fixture& fixture)
    {
        for (const requested_trial& each : fixture.m_crashes.take_requested_trials())
        {
            fixture.m_crashes.on_trial_reply(each.m_trial_id, true, 0ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_test);

} // namespace
