#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

#include "booking_simulation.hpp"

namespace
{

using namespace booking_simulation;

constexpr std::uint64_t seeds = 1000;
constexpr std::uint64_t defect_seeds = 200;

tally run_seeds(defect injected, std::uint64_t first, std::uint64_t last)
{
    tally counted;
    for (std::uint64_t seed = first; seed <= last; ++seed)
    {
        simulation simulated{seed, injected, counted};
        simulated.run();
    }
    return counted;
}

/// in how many seeds a defect was detected, and by which violations
struct detection
{
    std::uint64_t m_seeds{0};
    std::string m_first;
    bool m_ran_twice{false};
    bool m_reported_wrongly{false};
};

detection detect(defect injected)
{
    detection detected;
    for (std::uint64_t seed = 1; seed <= defect_seeds; ++seed)
    {
        const tally counted = run_seeds(injected, seed, seed);
        detected.m_seeds += counted.m_violations.empty() ? 0 : 1;
        for (const std::string& violation : counted.m_violations)
        {
            detected.m_first = detected.m_first.empty() ? violation : detected.m_first;
            const bool is_wrong_verdict = violation.find("was told not_run") != std::string::npos;
            (is_wrong_verdict ? detected.m_reported_wrongly : detected.m_ran_twice) = true;
        }
    }
    return detected;
}

class at_most_once_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(at_most_once_test);
    CPPUNIT_TEST(no_booking_runs_twice_and_not_run_is_correct);
    CPPUNIT_TEST(every_defect_is_detected);
    CPPUNIT_TEST_SUITE_END();

  public:
    void no_booking_runs_twice_and_not_run_is_correct()
    {
        const tally counted = run_seeds(defect::none, 1, seeds);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(counted.m_violations.empty() ? "" : counted.m_violations.front(),
                                     std::size_t{0}, counted.m_violations.size());
        // every fault occurred at every step, and every path was executed
        for (std::size_t at = 0; at < steps; ++at)
        {
            for (std::size_t number = 0; number < faults; ++number)
            {
                const std::string where =
                    "fault " + std::to_string(number) + " at step " + std::to_string(at);
                CPPUNIT_ASSERT_MESSAGE(where, counted.m_faults[at][number] > 0);
            }
        }
        for (const std::uint64_t count :
             {counted.m_told_ran, counted.m_told_not_run, counted.m_told_may_have_run, counted.m_withheld,
              counted.m_lost_after_running, counted.m_late_replies, counted.m_forwarded,
              counted.m_keeper_gone, counted.m_expired, counted.m_answered_from_memory, counted.m_waited,
              counted.m_memory_full})
        {
            CPPUNIT_ASSERT(count > 0);
        }
        std::cout << "\nbookings " << counted.m_bookings << ", runs " << counted.m_ran << ", reported ran "
                  << counted.m_told_ran << ", not_run " << counted.m_told_not_run << ", may_have_run "
                  << counted.m_told_may_have_run << "; not sent " << counted.m_withheld
                  << ", lost after running " << counted.m_lost_after_running << ", late replies "
                  << counted.m_late_replies << ", forwarded " << counted.m_forwarded << ", issuing host lost "
                  << counted.m_keeper_gone << ", expired " << counted.m_expired << ", from memory "
                  << counted.m_answered_from_memory << ", waited " << counted.m_waited << ", memory full "
                  << counted.m_memory_full << '\n';
    }

    void every_defect_is_detected()
    {
        struct row
        {
            defect m_defect;
            const char* m_name;
            bool m_runs_twice; ///< if false, the defect causes an incorrect not_run instead
        };
        for (const row& each :
             {row{defect::resends_after_loss, "resends_after_loss", true},
              row{defect::resends_after_timeout, "resends_after_timeout", true},
              row{defect::admits_every_repeat, "admits_every_repeat", true},
              row{defect::hashes_for_an_owner, "hashes_for_an_owner", true},
              row{defect::hashes_and_restarts, "hashes_and_restarts", true},
              row{defect::ignores_incarnation, "ignores_incarnation", true},
              row{defect::refuses_expired_as_not_run, "refuses_expired_as_not_run", false},
              row{defect::refuses_limited_as_not_run, "refuses_limited_as_not_run", false},
              row{defect::refuses_unreachable_as_not_run, "refuses_unreachable_as_not_run", false},
              row{defect::forgets_refusals, "forgets_refusals", false},
              row{defect::reports_paused_as_not_run, "reports_paused_as_not_run", false}})
        {
            const detection detected = detect(each.m_defect);
            CPPUNIT_ASSERT_MESSAGE(each.m_name,
                                   each.m_runs_twice ? detected.m_ran_twice : detected.m_reported_wrongly);
            std::cout << "\n"
                      << each.m_name << ": " << detected.m_seeds << " of " << defect_seeds << " seeds, first "
                      << detected.m_first;
        }
        std::cout << '\n';
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(at_most_once_test);

} // namespace
