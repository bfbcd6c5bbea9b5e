#include <cppunit/extensions/HelperMacros.h>

#include "teasellead/routing/warm_up.hpp"

namespace
{

using namespace teasellead;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr warm_up_settings settings{2, milliseconds{10}, seconds{1}};
constexpr std::uint32_t cold_requests = 1;
constexpr std::uint32_t full = 4;

class warm_up_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(warm_up_test);
    CPPUNIT_TEST(grows_by_replies_and_time);
    CPPUNIT_TEST(earlier_requests_do_not_count);
    CPPUNIT_TEST(halves_and_slows_down);
    CPPUNIT_TEST(never_grows_above_its_target);
    CPPUNIT_TEST_SUITE_END();

  public:
    void grows_by_replies_and_time()
    {
        warm_up state;
        CPPUNIT_ASSERT_EQUAL(cold_requests, state.allowance(cold_requests, full));
        // many replies at the same time raise the limit by at most one step
        for (int number = 0; number < 100; ++number)
        {
            state = state.after_fast_reply(cold_requests, full, settings, at(0), at(0));
        }
        CPPUNIT_ASSERT_EQUAL(1U, state.allowance(cold_requests, full));
        state = state.after_fast_reply(cold_requests, full, settings, at(5), at(10));
        CPPUNIT_ASSERT_EQUAL(2U, state.allowance(cold_requests, full));
        // at a limit of two requests a step needs four replies
        for (int number = 0; number < 3; ++number)
        {
            state = state.after_fast_reply(cold_requests, full, settings, at(15), at(30));
        }
        CPPUNIT_ASSERT_EQUAL(2U, state.allowance(cold_requests, full));
        state = state.after_fast_reply(cold_requests, full, settings, at(15), at(30));
        CPPUNIT_ASSERT_EQUAL(3U, state.allowance(cold_requests, full));
    }

    void earlier_requests_do_not_count()
    {
        warm_up state;
        state = state.after_fast_reply(cold_requests, full, settings, at(0), at(100));
        for (int number = 0; number < 100; ++number)
        {
            state = state.after_fast_reply(cold_requests, full, settings, at(99), at(200));
        }
        CPPUNIT_ASSERT_EQUAL(1U, state.allowance(cold_requests, full));
    }

    void halves_and_slows_down()
    {
        warm_up state = warm_up::already_warm();
        state = state.after_shed(full, settings, at(0));
        CPPUNIT_ASSERT_EQUAL(2U, state.allowance(cold_requests, full));
        state = state.after_shed(full, settings, at(0));
        CPPUNIT_ASSERT_EQUAL(1U, state.allowance(cold_requests, full));
        state = state.after_shed(full, settings, at(0));
        CPPUNIT_ASSERT_EQUAL(1U, state.allowance(cold_requests, full));
        // three refusals: the shortest step is eight times as long
        for (int number = 0; number < 100; ++number)
        {
            state = state.after_fast_reply(cold_requests, full, settings, at(1), at(79));
        }
        CPPUNIT_ASSERT_EQUAL(1U, state.allowance(cold_requests, full));
        state = state.after_fast_reply(cold_requests, full, settings, at(1), at(80));
        CPPUNIT_ASSERT_EQUAL(2U, state.allowance(cold_requests, full));
    }

    void never_grows_above_its_target()
    {
        warm_up state;
        for (int number = 0; number < 1000; ++number)
        {
            state =
                state.after_fast_reply(cold_requests, full, settings, at(number * 10), at(number * 10 + 5));
        }
        CPPUNIT_ASSERT(state.state() == warm_up_state::warm);
        CPPUNIT_ASSERT_EQUAL(full, state.allowance(cold_requests, full));
    }

  private:
    static time_point at(int after)
    {
        return time_point{seconds{100}} + milliseconds{after};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(warm_up_test);

} // namespace
