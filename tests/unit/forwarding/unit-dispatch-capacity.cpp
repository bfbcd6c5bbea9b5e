#include <cppunit/extensions/HelperMacros.h>

#include <utility>
#include <vector>

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

class dispatch_capacity_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatch_capacity_test);
    CPPUNIT_TEST(freed_capacity_goes_to_the_most_urgent);
    CPPUNIT_TEST(waiters_leave_the_queue_however_they_end);
    CPPUNIT_TEST(nobody_waits_for_capacity_that_comes_too_late);
    CPPUNIT_TEST(search_over_busy_shards_sends_nothing);
    CPPUNIT_TEST(hedge_gives_way_to_waiters);
    CPPUNIT_TEST(hopeless_search_releases_its_attempts);
    CPPUNIT_TEST(search_over_failing_shards_is_refused_or_a_probe);
    CPPUNIT_TEST_SUITE_END();

  public:
    // a burst of urgent requests while a batch waits
    void freed_capacity_goes_to_the_most_urgent()
    {
        dispatch_fixture fixture{{"a"}};
        fixture.m_has_room = false;
        dispatch batch = fixture.single(repeatability::idempotent, 2, 1);
        dispatch urgent = fixture.single(repeatability::idempotent, 2, 0);
        CPPUNIT_ASSERT(batch.start(dispatch_start).empty());
        CPPUNIT_ASSERT(urgent.start(dispatch_start).empty());
        fixture.m_has_room = true;
        const time_point freed = dispatch_start + 4ms;
        dispatch arrival = fixture.single(repeatability::idempotent, 2, 1);
        CPPUNIT_ASSERT(arrival.start(freed).empty());
        CPPUNIT_ASSERT(batch.on_timer(freed).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends_of(urgent.on_timer(freed)).size());
        CPPUNIT_ASSERT(batch.next_wakeup() <= freed + 4ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends_of(batch.on_timer(freed + 4ms)).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends_of(arrival.on_timer(freed + 4ms)).size());
    }

    void waiters_leave_the_queue_however_they_end()
    {
        using ending = void (*)(dispatch_fixture&, dispatch&);
        static constexpr time_point later = dispatch_start + 8ms;
        const std::vector<ending> endings{
            [](dispatch_fixture&, dispatch& each) { (void)each.cancel(); },
            [](dispatch_fixture&, dispatch& each) { (void)each.end_early(failure_reason::stopping, later); },
            [](dispatch_fixture&, dispatch& each) { (void)each.on_timer(dispatch_start + 30ms); },
            [](dispatch_fixture&, dispatch& each) { (void)each.on_timer(dispatch_start + 1s); },
            [](dispatch_fixture& fixture, dispatch& each)
            {
                fixture.m_has_room = true;
                (void)each.on_timer(later);
            },
            [](dispatch_fixture& fixture, dispatch& each)
            {
                fixture.isolate("a");
                (void)each.on_timer(later);
            },
            [](dispatch_fixture&, dispatch&) {},
        };
        for (const ending end : endings)
        {
            dispatch_fixture fixture{{"a", "b"}};
            fixture.m_has_room = false;
            {
                dispatch search = fixture.over_shards({"a", "b"}, 1.0);
                CPPUNIT_ASSERT(search.start(dispatch_start).empty());
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.m_context.m_capacity_queue.size("a"));
                end(fixture, search);
                const bool is_removed = fixture.m_context.m_capacity_queue.size("a") == 0;
                CPPUNIT_ASSERT_EQUAL(end != endings.back(), is_removed);
            }
            CPPUNIT_ASSERT(fixture.m_context.m_capacity_queue.count_by_priority().empty());
        }
    }

    void nobody_waits_for_capacity_that_comes_too_late()
    {
        for (const auto& [latency, is_refused] : {std::pair{30ms, false}, std::pair{5000ms, true}})
        {
            dispatch_fixture fixture{{"a"}, 1};
            dispatch before = fixture.single(repeatability::idempotent);
            (void)before.start(dispatch_start - latency);
            (void)before.on_reply(0, reply_of(200), dispatch_start);
            dispatch running = fixture.single(repeatability::idempotent);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sends_of(running.start(dispatch_start)).size());
            fixture.m_has_room = false;
            dispatch next = fixture.single(repeatability::idempotent);
            CPPUNIT_ASSERT(next.start(dispatch_start).empty());
            CPPUNIT_ASSERT_EQUAL(is_refused, next.is_finished());
            if (is_refused)
            {
                CPPUNIT_ASSERT(unanswered_of(next).m_reason == failure_reason::overloaded);
                CPPUNIT_ASSERT(unanswered_of(next).m_verdict == verdict::not_run);
                CPPUNIT_ASSERT(unanswered_of(next).m_retry_after > 100ms);
                const refusal_kind kind{failure_reason::overloaded, 0};
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.m_context.m_statistics.m_refusals.at(kind));
            }
        }
    }

    // the only upstream of a shard is busy for seconds, the others are free
    void search_over_busy_shards_sends_nothing()
    {
        for (const double min_coverage : {0.5, 1.0})
        {
            dispatch_fixture fixture{{"a", "b"}, 1};
            fixture.m_context.m_has_capacity = [](const upstream& each)
            {
                return each.entry().m_service == "b" || each.in_flight() == 0;
            };
            dispatch before = fixture.single(repeatability::idempotent);
            (void)before.start(dispatch_start - 5s);
            (void)before.on_reply(0, reply_of(200), dispatch_start);
            dispatch running = fixture.single(repeatability::idempotent);
            (void)running.start(dispatch_start);
            dispatch search = fixture.over_shards({"b", "a"}, min_coverage);
            const std::size_t sent = sends_of(search.start(dispatch_start)).size();
            CPPUNIT_ASSERT_EQUAL(std::size_t{min_coverage < 1.0 ? 1U : 0U}, sent);
            if (sent == 0)
            {
                CPPUNIT_ASSERT(unanswered_of(search).m_reason == failure_reason::overloaded);
                CPPUNIT_ASSERT(unanswered_of(search).m_verdict == verdict::not_run);
            }
        }
    }

    void hedge_gives_way_to_waiters()
    {
        for (const bool is_contended : {false, true})
        {
            dispatch_fixture fixture{{"a"}};
            dispatch slow = fixture.single(repeatability::idempotent);
            (void)slow.start(dispatch_start);
            const time_point hedge_at = slow.next_wakeup();
            fixture.m_has_room = !is_contended;
            dispatch other = fixture.single(repeatability::idempotent);
            const std::size_t sent = sends_of(other.start(dispatch_start + 1ms)).size();
            CPPUNIT_ASSERT_EQUAL(std::size_t{is_contended ? 0U : 1U}, sent);
            const auto waiting = fixture.m_context.m_capacity_queue.join(
                "a", {0, {}, dispatch_start, is_contended ? dispatch_start + 1s : dispatch_start}, hedge_at);
            fixture.m_has_room = true;
            CPPUNIT_ASSERT_EQUAL(is_contended, sends_of(slow.on_timer(hedge_at)).empty());
        }
    }

    // replicas of many shards reject
    void hopeless_search_releases_its_attempts()
    {
        dispatch_fixture fixture{{"a", "b"}, 1};
        dispatch search = fixture.over_shards({"a", "b"}, 1.0);
        (void)search.start(dispatch_start);
        const auto actions = search.on_failure(0, attempt_failure::shed, dispatch_start + 1ms);
        CPPUNIT_ASSERT(actions == std::vector<dispatch_action>{release_attempt{1}});
        CPPUNIT_ASSERT(unanswered_of(search).m_verdict == verdict::may_have_run);
    }

    void search_over_failing_shards_is_refused_or_a_probe()
    {
        struct row
        {
            const char* m_load;
            double m_failure_ratio;
            duration m_evidence_age;
            bool m_is_refused; ///< unless it is a probe
        };
        for (const row& each :
             {row{"eight of ten replicas reject", 0.8, 10ms, true},
              row{"a third of the attempts fail", 0.3, 10ms, false}, row{"results are old", 0.8, 2s, false}})
        {
            dispatch_fixture fixture{{"a", "b", "c"}};
            fixture.m_context.m_failure_estimate = [&each](const upstream&, time_point)
            {
                return each.m_failure_ratio;
            };
            std::size_t refused = 0;
            for (int count = 0; count < 100; ++count)
            {
                for (const char* const shard : {"a", "b", "c"})
                {
                    fixture.m_context.m_outlook.on_result(shard, dispatch_start - each.m_evidence_age);
                }
                dispatch search = fixture.over_shards({"a", "b", "c"}, 1.0);
                const bool is_sent = !sends_of(search.start(dispatch_start)).empty();
                CPPUNIT_ASSERT_EQUAL(is_sent, !search.is_finished());
                refused += is_sent ? 0U : 1U;
                CPPUNIT_ASSERT(is_sent || unanswered_of(search).m_reason == failure_reason::unlikely_whole);
                CPPUNIT_ASSERT(is_sent || unanswered_of(search).m_verdict == verdict::not_run);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_load, each.m_is_refused, refused > 50);
            CPPUNIT_ASSERT_MESSAGE(each.m_load, refused < 100 && (each.m_is_refused || refused == 0));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_capacity_test);

} // namespace
