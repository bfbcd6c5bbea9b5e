#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "teasellead/fleet/publication_follower.hpp"
#include "teasellead/fleet/source_call_schedule.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;

constexpr time_point start{1h};
constexpr auto watch_time = 1200ms;
constexpr auto silent_time = 1000ms;
constexpr auto max_staleness = 1300ms;

class source_call_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(source_call_schedule_test);
    CPPUNIT_TEST(followers_leave_time_for_a_lost_call);
    CPPUNIT_TEST(watch_after_a_change_keeps_items_fresh_enough);
    CPPUNIT_TEST(held_watch_proves_its_whole_time);
    CPPUNIT_TEST(short_watch_may_hide_changes);
    CPPUNIT_TEST(lost_first_watch_is_repeated_soon);
    CPPUNIT_TEST_SUITE_END();

  public:
    // the shares of the time from a change to its use: a follower starts to read so early that a lost call
    // can be repeated within the bound
    void followers_leave_time_for_a_lost_call()
    {
        struct bound_case
        {
            duration m_key_freshness;
            duration m_change_bound;
            duration m_usable_age;
        };
        constexpr std::array<bound_case, 5> cases{{{4700ms, 3s, 2s},
                                                   {4700ms, 5s, 3290ms},
                                                   {4700ms, 6s, 3290ms},
                                                   {24h, 3s, 2s},
                                                   {24h, 1500ms, 750ms}}};
        for (const bound_case& each : cases)
        {
            const auto settings = follower_settings::for_bounds(each.m_key_freshness, each.m_change_bound);
            CPPUNIT_ASSERT(settings.m_usable_age == each.m_usable_age);
            // keys stay usable while a follower goes to the source
            CPPUNIT_ASSERT(settings.m_max_confirmation_age <= 3300ms);
            CPPUNIT_ASSERT(settings.m_max_confirmation_age + 1s < each.m_key_freshness);
        }
        CPPUNIT_ASSERT(source_call_schedule::catch_up_time() == 1s);
        CPPUNIT_ASSERT(follower_settings::for_bounds(4700ms, 3s).max_reader_staleness() == max_staleness);
    }

    void watch_after_a_change_keeps_items_fresh_enough()
    {
        source_call_schedule schedule{watch_time, silent_time, max_staleness};
        schedule.on_listing(start);
        CPPUNIT_ASSERT(schedule.watch_wait(start) == watch_time);
        // a change ends the watch after 700 ms
        schedule.on_watch_response(start, watch_time, true, start + 700ms);
        CPPUNIT_ASSERT(schedule.pause() == 60ms);
        CPPUNIT_ASSERT(schedule.watch_wait(start + 760ms) == 540ms);
        CPPUNIT_ASSERT(schedule.watch_wait(start + 5s) == 100ms);
    }

    void held_watch_proves_its_whole_time()
    {
        source_call_schedule schedule{watch_time, silent_time, max_staleness};
        const confirmation_times held =
            schedule.on_watch_response(start, watch_time, false, start + watch_time + 5ms);
        CPPUNIT_ASSERT((held == confirmation_times{start, start + watch_time}));
        const confirmation_times changed = schedule.on_watch_response(start, watch_time, true, start + 700ms);
        CPPUNIT_ASSERT((changed == confirmation_times{start, start}));
    }

    // guards against withdrawn keys that a source hides from a short watch before it drops its history
    void short_watch_may_hide_changes()
    {
        source_call_schedule schedule{watch_time, silent_time, max_staleness};
        const confirmation_times times = schedule.on_watch_response(start, 100ms, false, start + 105ms);
        CPPUNIT_ASSERT(times.m_confirmed_at == start + 100ms - silent_time);
        CPPUNIT_ASSERT(times.m_current_at == start + 100ms);
    }

    void lost_first_watch_is_repeated_soon()
    {
        source_call_schedule schedule{watch_time, silent_time, max_staleness};
        random_source random{1};
        schedule.on_start(true);
        const auto wait = schedule.watch_wait(start);
        CPPUNIT_ASSERT(schedule.time_limit(wait) == 500ms);
        CPPUNIT_ASSERT(schedule.on_failure(random) <= 100ms);
        // a source that is merely slow must have time for the next call
        CPPUNIT_ASSERT(schedule.time_limit(wait) == 1100ms);
        CPPUNIT_ASSERT(schedule.on_failure(random) >= 300ms);
        schedule.on_start(false);
        CPPUNIT_ASSERT(schedule.time_limit(0ms) == 1s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(source_call_schedule_test);

} // namespace
