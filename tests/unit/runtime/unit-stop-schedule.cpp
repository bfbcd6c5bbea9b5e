#include <cppunit/extensions/HelperMacros.h>

#include <vector>

#include "teasellead/runtime/stop_schedule.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using runtime::stop_schedule;

constexpr time_point began{1h};
constexpr duration balancer_lag = 3500ms;

class stop_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stop_schedule_test);
    CPPUNIT_TEST(times_are_in_order_within_the_grace_period);
    CPPUNIT_TEST(admits_late_requests_only_if_they_end_in_time);
    CPPUNIT_TEST_SUITE_END();

  public:
    void times_are_in_order_within_the_grace_period()
    {
        for (const duration grace : std::vector<duration>{1s, 2s, 3s, 4s, 5s, 6s, 10s, 60s})
        {
            const stop_schedule stop{began, grace, balancer_lag};
            CPPUNIT_ASSERT(stop.connections_close() > began);
            CPPUNIT_ASSERT(stop.connections_close() <= stop.last_response());
            CPPUNIT_ASSERT(stop.last_response() < stop.process_end());
            CPPUNIT_ASSERT(stop.process_end() < began + grace);
            // upstreams that are still at work by then were given five sixths of the grace period
            CPPUNIT_ASSERT(stop.last_response() >= began + grace * 5 / 6);
        }
    }

    void admits_late_requests_only_if_they_end_in_time()
    {
        struct row
        {
            duration m_grace;
            duration m_arrival;
            duration m_limit;
            bool m_is_admitted;
        };
        for (const row& each : std::vector<row>{{6s, 0s, 60s, true},
                                                {6s, 2800ms, 5s, true},
                                                {6s, 3s, 5s, false},
                                                {6s, 3s, 2s, true},
                                                {6s, 3400ms, 2200ms, false},
                                                {6s, 5600ms, 1ms, false},
                                                {10s, 3s, 5s, true},
                                                {10s, 3s, 7s, false},
                                                {5s, 2400ms, 5s, true},
                                                {5s, 2600ms, 5s, false},
                                                {3s, 1400ms, 5s, true},
                                                {3s, 1600ms, 5s, false},
                                                {3s, 1600ms, 900ms, true},
                                                {1s, 600ms, 200ms, true},
                                                {1s, 600ms, 300ms, false}})
        {
            const stop_schedule stop{began, each.m_grace, balancer_lag};
            CPPUNIT_ASSERT_EQUAL(each.m_is_admitted,
                                 stop.admits(began + each.m_arrival, began + each.m_arrival + each.m_limit));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_schedule_test);

} // namespace
