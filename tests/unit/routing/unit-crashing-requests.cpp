#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

#include "crash_simulation.hpp"

namespace
{

using namespace crash_simulation;

constexpr std::uint64_t seeds = 1000;

/// sums, minima and maxima over many seeds
struct summary
{
    std::uint64_t m_max_lost{0};
    std::uint64_t m_lost{0};
    std::uint64_t m_crashing_refusals{0};
    std::uint64_t m_min_answers{~0ULL};
    std::uint64_t m_other_answers{0};
    std::uint64_t m_other_refusals{0};
    std::uint64_t m_refused_seeds{0};
    std::uint64_t m_other_losses{0};
};

summary run_seeds(const scenario& tested)
{
    summary result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        const outcome seen = simulation{seed, tested}.run();
        result.m_max_lost = std::max(result.m_max_lost, seen.m_lost_upstreams);
        result.m_lost += seen.m_lost_upstreams;
        result.m_crashing_refusals += seen.m_crashing_refusals;
        result.m_min_answers = std::min(result.m_min_answers, seen.m_other_answers);
        result.m_other_answers += seen.m_other_answers;
        result.m_other_refusals += seen.m_other_refusals;
        result.m_refused_seeds += seen.m_other_refusals > 0 ? 1 : 0;
        result.m_other_losses += seen.m_other_losses;
    }
    return result;
}

void print(const std::string& name, const summary& result)
{
    std::cout << '\n'
              << name << ": upstreams lost at most " << result.m_max_lost << ", in all " << result.m_lost
              << "; refusals of the crashing request " << result.m_crashing_refusals << "; others: answers "
              << result.m_other_answers << " (fewest " << result.m_min_answers << "), refusals "
              << result.m_other_refusals << " in " << result.m_refused_seeds << " seeds, lost "
              << result.m_other_losses;
}

class crashing_requests_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crashing_requests_test);
    CPPUNIT_TEST(lost_upstreams_are_bounded);
    CPPUNIT_TEST_SUITE_END();

  public:
    void lost_upstreams_are_bounded()
    {
        // at most two upstreams are lost per concurrent caller; without reports between the hosts, each host
        // has to detect the crashing request itself
        constexpr std::uint64_t per_caller = 2;
        struct row
        {
            const char* m_name;
            scenario m_scenario;
            std::uint64_t m_max_lost;
            std::uint64_t m_max_refused_seeds; ///< number of seeds in which another request was refused too
        };
        for (const row& each :
             {row{"1 caller", {9, 1, 6, reports::in_time, true}, per_caller, 30},
              row{"1 caller, no retries", {9, 1, 6, reports::in_time, true, false}, per_caller, 30},
              row{"3 callers, no retries", {9, 3, 6, reports::in_time, true, false}, 3 * per_caller, 90},
              row{"3 callers", {9, 3, 6, reports::in_time, true}, 3 * per_caller, 90},
              row{"6 callers", {9, 6, 6, reports::in_time, true}, 6 * per_caller, 90},
              row{"1 caller, half of the reports lost",
                  {9, 1, 6, reports::some_lost, true},
                  9 * per_caller,
                  60},
              row{"1 caller, no reports", {9, 1, 6, reports::none, true}, 9 * per_caller, 180}})
        {
            const summary result = run_seeds(each.m_scenario);
            print(each.m_name, result);
            CPPUNIT_ASSERT_MESSAGE(each.m_name, result.m_max_lost <= each.m_max_lost);
            CPPUNIT_ASSERT_MESSAGE(each.m_name, result.m_lost >= 2 * seeds);
            CPPUNIT_ASSERT_MESSAGE(each.m_name, result.m_crashing_refusals > 0);
            CPPUNIT_ASSERT_MESSAGE(each.m_name, result.m_refused_seeds <= each.m_max_refused_seeds);
            CPPUNIT_ASSERT_MESSAGE(each.m_name, result.m_min_answers > 0);
        }
        const summary baseline = run_seeds({9, 1, 6, reports::in_time, false});
        print("baseline", baseline);
        std::cout << '\n';
        CPPUNIT_ASSERT(baseline.m_lost > 20 * seeds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_requests_test);

} // namespace
