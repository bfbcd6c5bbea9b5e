#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "dispatch_fixture.hpp"
#include "teasellead/forwarding/capacity_forecast.hpp"
#include "teasellead/forwarding/capacity_queue.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::forwarding;
using namespace teasellead::test;

constexpr time_point start = dispatch_start;

class capacity_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(capacity_queue_test);
    CPPUNIT_TEST(first_of_two_waiters);
    CPPUNIT_TEST(arrival_gives_way_to_waiters);
    CPPUNIT_TEST(full_queue_drops_the_last);
    CPPUNIT_TEST(places_end_with_their_objects);
    CPPUNIT_TEST(tried_upstream_is_left_to_others);
    CPPUNIT_TEST(overload_starves_nobody);
    CPPUNIT_TEST(forecast_of_free_capacity);
    CPPUNIT_TEST_SUITE_END();

  public:
    void first_of_two_waiters()
    {
        struct row
        {
            const char* m_load;
            capacity_waiter m_left;
            capacity_waiter m_right;
            duration m_after; ///< time of the decision
            int m_sent;       ///< number of attempts made until then
            bool m_is_left_first;
        };
        const std::vector<row> rows{
            {"urgent search behind a batch", waiter(2, "", 100ms), waiter(0, "", 100ms), 10ms, 0, false},
            {"one priority, no accounts", waiter(0, "", 30ms), waiter(0, "", 20ms), 10ms, 0, false},
            {"equal in all", waiter(0, "", 30ms), waiter(0, "", 30ms), 10ms, 0, true},
            {"account with many requests", waiter(1, "busy", 20ms), waiter(1, "calm", 30ms), 1ms, 0, false},
            {"priority before accounts", waiter(0, "busy", 30ms), waiter(1, "calm", 30ms), 1ms, 0, true},
            {"batch that has nearly waited enough", waiter(2, "", 100ms), waiter(0, "", 200ms), 80ms, 3,
             true},
            {"late batch after another", waiter(2, "", 100ms), waiter(0, "", 200ms), 80ms, 2, false},
            {"batch that isn't late", waiter(2, "", 100ms), waiter(0, "", 200ms), 70ms, 3, false},
            {"one priority, long and short waits", waiter(1, "", 100ms), waiter(1, "", 95ms), 90ms, 3, false},
            {"waiter whose time is over", waiter(0, "", 20ms), waiter(1, "", 90ms), 20ms, 0, false},
        };
        for (const row& each : rows)
        {
            capacity_queue queue;
            for (int sent = 0; sent < 5; ++sent)
            {
                queue.on_sent("b", "busy", nullptr, start);
            }
            const auto left = queue.join("a", each.m_left, start);
            const auto right = queue.join("a", each.m_right, start);
            const time_point now = start + each.m_after;
            send(queue, each.m_sent, now);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_load, !each.m_is_left_first,
                                         right->may_take(*m_upstream, now));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_load, each.m_is_left_first ? 1UL : 0UL,
                                         static_cast<unsigned long>(right->ahead(now)));
        }
    }

    void arrival_gives_way_to_waiters()
    {
        struct row
        {
            std::uint32_t m_waiting;
            std::uint32_t m_arriving;
            duration m_after;
            bool m_may_take;
        };
        for (const row& each : {row{1, 0, 1ms, true}, row{1, 1, 1ms, false}, row{1, 2, 1ms, false},
                                row{1, 0, 90ms, false}, row{1, 1, 100ms, true}})
        {
            capacity_queue queue;
            const auto place = queue.join("a", waiter(each.m_waiting, "", 100ms), start);
            const time_point now = start + each.m_after;
            send(queue, 3, now);
            const capacity_waiter arrival = waiter(each.m_arriving, "", 200ms);
            CPPUNIT_ASSERT_EQUAL(each.m_may_take, queue.may_take("a", arrival, *m_upstream, now));
            CPPUNIT_ASSERT(queue.may_take("b", arrival, *m_upstream, now));
        }
    }

    void full_queue_drops_the_last()
    {
        for (const std::uint32_t priority : {0U, 1U, 2U})
        {
            capacity_queue queue;
            std::vector<capacity_queue::place> places;
            while (places.size() < capacity_queue::max_waiting)
            {
                places.push_back(std::move(*queue.join("a", waiter(1, "", 50ms), start)));
            }
            const auto added = queue.join("a", waiter(priority, "", 50ms), start);
            CPPUNIT_ASSERT_EQUAL(priority == 0, added.has_value());
            CPPUNIT_ASSERT_EQUAL(priority == 0, places.back().is_lost());
            CPPUNIT_ASSERT(!places.front().is_lost());
            CPPUNIT_ASSERT(capacity_queue::max_waiting == queue.size("a"));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.displaced());
        }
    }

    void places_end_with_their_objects()
    {
        auto queue = std::make_unique<capacity_queue>();
        auto first = queue->join("a", waiter(0, "", 50ms), start);
        {
            auto second = queue->join("a", waiter(1, "", 50ms), start);
            std::optional<capacity_queue::place> moved{std::move(second)};
            CPPUNIT_ASSERT(
                (queue->count_by_priority() == std::map<std::uint32_t, std::size_t>{{0, 1}, {1, 1}}));
        }
        CPPUNIT_ASSERT((queue->count_by_priority() == std::map<std::uint32_t, std::size_t>{{0, 1}}));
        queue.reset();
        CPPUNIT_ASSERT(first->is_lost());
    }

    void tried_upstream_is_left_to_others()
    {
        capacity_queue queue;
        capacity_waiter retry = waiter(0, "", 50ms);
        retry.m_tried = {m_upstream};
        const auto first = queue.join("a", retry, start);
        const auto second = queue.join("a", waiter(1, "", 50ms), start);
        CPPUNIT_ASSERT(second->may_take(*m_upstream, start));
        CPPUNIT_ASSERT(!second->may_take(*m_other, start));
        CPPUNIT_ASSERT(first->may_take(*m_other, start));
    }

    // more urgent requests than there is capacity, beside a batch: in 10 s, one attempt can be made each 5 ms
    void overload_starves_nobody()
    {
        struct held_place
        {
            bool m_is_urgent;
            time_point m_until;
            capacity_queue::place m_place;
        };
        capacity_queue queue;
        std::vector<held_place> waiting;
        std::size_t urgent = 0;
        std::size_t batch = 0;
        for (time_point now = start; now < start + 10s; now += 1ms)
        {
            const auto tick = (now - start) / 1ms;
            std::erase_if(waiting, [now](const held_place& each) { return now >= each.m_until; });
            for (const bool is_urgent : {true, false})
            {
                const duration wait = is_urgent ? 11ms : 220ms;
                if (tick % (is_urgent ? 2 : 50) == 0)
                {
                    auto place = queue.join("a", {is_urgent ? 0U : 2U, {}, now, now + wait}, now);
                    waiting.push_back({is_urgent, now + wait, std::move(*place)});
                }
            }
            const auto first = std::find_if(waiting.begin(), waiting.end(),
                                            [this, now](const held_place& each)
                                            { return each.m_place.may_take(*m_upstream, now); });
            if (tick % 5 == 0 && first != waiting.end())
            {
                ++(first->m_is_urgent ? urgent : batch);
                queue.on_sent("a", "", &first->m_place, now);
                waiting.erase(first);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2000}, urgent + batch);
        // 200 of the batch were to be made
        CPPUNIT_ASSERT(batch > 150);
    }

    void forecast_of_free_capacity()
    {
        struct row
        {
            const char* m_load;
            duration m_latency;             ///< of each of the two upstreams
            int m_in_flight;                ///< at each
            std::optional<duration> m_wait; ///< expected until the second end of an attempt
        };
        for (const row& each :
             {row{"no replies yet", 0ms, 1, std::nullopt}, row{"other limits", 10ms, 0, std::nullopt},
              row{"one each", 10ms, 1, 10ms}, row{"slow", 400ms, 2, 200ms}})
        {
            const std::vector<shared_upstream> upstreams{std::make_shared<upstream>(entry_of("a", 0), start),
                                                         std::make_shared<upstream>(entry_of("a", 1), start)};
            for (const shared_upstream& target : upstreams)
            {
                if (each.m_latency > 0ms)
                {
                    target->on_start(start);
                    target->on_reply(start, start + each.m_latency);
                }
                for (int i = 0; i < each.m_in_flight; ++i)
                {
                    target->on_start(start);
                }
            }
            const auto forecast = capacity_forecast::of(upstreams);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_load, each.m_wait.has_value(), forecast.has_value());
            if (forecast)
            {
                const duration error = forecast->expected_wait(2) - *each.m_wait;
                CPPUNIT_ASSERT_MESSAGE(each.m_load, error < 1ms && error > -1ms);
                CPPUNIT_ASSERT(forecast->chance(1, *each.m_wait) > forecast->chance(2, *each.m_wait));
                CPPUNIT_ASSERT(forecast->chance(1, 0ms) < 0.001);
                CPPUNIT_ASSERT(forecast->chance(20, *each.m_wait) < 0.001);
            }
        }
    }

  private:
    /// makes attempts that didn't wait
    static void send(capacity_queue& queue, int attempts, time_point now)
    {
        for (int i = 0; i < attempts; ++i)
        {
            queue.on_sent("a", "", nullptr, now);
        }
    }

    static capacity_waiter waiter(std::uint32_t priority, std::string account, duration wait)
    {
        return {priority, std::move(account), start, start + wait};
    }

    shared_upstream m_upstream{std::make_shared<upstream>(entry_of("a", 0), start)};
    shared_upstream m_other{std::make_shared<upstream>(entry_of("a", 1), start)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(capacity_queue_test);

} // namespace
