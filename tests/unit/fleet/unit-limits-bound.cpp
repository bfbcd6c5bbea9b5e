#include <cppunit/extensions/HelperMacros.h>

#include "fleet_faults.hpp"

namespace
{

using namespace teasellead;
using teasellead::testing::fault_plan;
using teasellead::testing::fleet_faults;

constexpr double tolerance = 1e-6;

/// the number of data centres and hosts depends on the seed; every fifth seed uses the static split
fault_plan plan_of(std::uint64_t seed)
{
    fault_plan plan;
    plan.m_data_centres = 1 + seed % 3;
    plan.m_hosts = 3 + seed % 5;
    plan.m_policy = seed % 5 == 4 ? limit_policy{static_split{}} : limit_policy{lending{}};
    return plan;
}

class limits_bound_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limits_bound_test);
    CPPUNIT_TEST(no_interval_exceeds_the_limit_under_random_faults);
    CPPUNIT_TEST_SUITE_END();

  public:
    void no_interval_exceeds_the_limit_under_random_faults()
    {
        constexpr std::uint64_t seeds = 1000;
        std::uint64_t admissions = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            const auto outcome = fleet_faults{plan_of(seed), seed}.run();
            admissions += outcome.m_total.m_admitted;
            const std::string run = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(run + ": admissions exceed the limit by " +
                                       std::to_string(-outcome.m_total.m_worst),
                                   outcome.m_total.m_worst >= -tolerance);
            CPPUNIT_ASSERT_MESSAGE(run + ": shares exceed the limit by a fraction of " +
                                       std::to_string(outcome.m_excess),
                                   outcome.m_excess <= tolerance);
        }
        CPPUNIT_ASSERT(admissions > 1'000'000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_bound_test);

} // namespace
