#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <vector>

#include "upstream_checks.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace test_support;

const soak_time start = soak_time{} + 1h;

class soak_checks_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(soak_checks_test);
    CPPUNIT_TEST(requests_in_a_pause_count_unless_the_notice_was_discarded);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against a check that counts pauses of which no node could hear (soak seed 36002)
    void requests_in_a_pause_count_unless_the_notice_was_discarded()
    {
        struct fault_case
        {
            std::vector<disturbance> m_one_way_times;
            std::size_t m_broken;
        };
        const std::array<fault_case, 4> cases{{
            {{}, 1},
            // a fault that covers the notice, one that begins just after it, and one that ended before
            {{{start - 1s, soak_time::max()}}, 0},
            {{{start + 100ms, start + 300ms}}, 1},
            {{{start - 1s, start - 1ms}}, 1},
        }};
        std::vector<upstream_arrival> arrivals{{request_id_of(1, 0, 1), "/read", start, false, 3000ms}};
        for (int request = 1; request <= 3; ++request)
        {
            arrivals.push_back({request_id_of(1, request, 1), "/read", start + 1500ms, false, 0ms});
        }
        for (const fault_case& each : cases)
        {
            CPPUNIT_ASSERT_EQUAL(each.m_broken, check_notices(arrivals, {}, each.m_one_way_times).size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_checks_test);

} // namespace
