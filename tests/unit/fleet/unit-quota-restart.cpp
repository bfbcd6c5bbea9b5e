#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "limiting_fleet.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

// time after a restart within which a fleet must recover, and the fraction of the requests in this time
// that must be admitted, averaged over the seeds
constexpr duration recovery = 12s;
constexpr double min_admitted_fraction = 0.97;

/// size of a fleet and load on its only account
struct restart_case
{
    std::size_t m_nodes;
    double m_rate;  ///< declared requests per second, also used as the burst
    double m_load;  ///< offered load in requests per second
    duration m_off; ///< time without requests after the nodes are killed
};

class quota_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_restart_test);
    CPPUNIT_TEST(restart_of_all_nodes_keeps_the_bound);
    CPPUNIT_TEST(restart_of_many_nodes_keeps_the_bound);
    CPPUNIT_TEST(account_is_served_soon_after_a_restart);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// the bound holds in any window, also in one that begins before the restart
    void restart_of_all_nodes_keeps_the_bound()
    {
        for (const restart_case& each : cases())
        {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                limiting_fleet fleet{
                    each.m_nodes, {limiting_fleet::account_name, each.m_rate, each.m_rate, {}}, seed};
                fleet.run(8s, each.m_load);
                fleet.kill_first(each.m_nodes);
                fleet.run(each.m_off, 0.0);
                fleet.run(4s, each.m_load);
                fleet.kill_first(each.m_nodes);
                fleet.run(4s, each.m_load);
                fleet.check_bound();
            }
        }
    }

    void restart_of_many_nodes_keeps_the_bound()
    {
        for (const restart_case& each : cases())
        {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                limiting_fleet fleet{
                    each.m_nodes, {limiting_fleet::account_name, each.m_rate, each.m_rate, {}}, seed};
                fleet.run(8s, each.m_load);
                fleet.kill_first(each.m_nodes * 2 / 3);
                fleet.run(each.m_off, 0.0);
                fleet.run(6s, each.m_load);
                fleet.check_bound();
            }
        }
    }

    /// the load is within the limit, so requests are refused only because of the restart
    void account_is_served_soon_after_a_restart()
    {
        for (const restart_case& each : {restart_case{8, 30.0, 18.0, 0s}, restart_case{9, 120.0, 72.0, 0s},
                                         restart_case{69, 60.0, 36.0, 0s}, restart_case{80, 60.0, 36.0, 0s}})
        {
            std::size_t admitted = 0;
            std::size_t asked = 0;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                limiting_fleet fleet{
                    each.m_nodes, {limiting_fleet::account_name, each.m_rate, each.m_rate, {}}, seed};
                fleet.run(8s, each.m_load);
                fleet.kill_first(each.m_nodes);
                fleet.run(500ms, 0.0);
                const std::size_t admitted_before = fleet.admitted();
                const std::size_t asked_before = fleet.asked();
                fleet.run(recovery, each.m_load);
                fleet.check_bound();
                admitted += fleet.admitted() - admitted_before;
                asked += fleet.asked() - asked_before;
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted) + " of " + std::to_string(asked),
                                   static_cast<double>(admitted) >=
                                       min_admitted_fraction * static_cast<double>(asked));
        }
    }

  private:
    static constexpr std::uint64_t seeds = 5;

    static std::vector<restart_case> cases()
    {
        return {{8, 30.0, 200.0, 0s},  {9, 120.0, 600.0, 0s}, {9, 8.0, 100.0, 500ms},
                {69, 30.0, 200.0, 0s}, {80, 30.0, 300.0, 0s}, {80, 30.0, 300.0, 500ms},
                {80, 3.0, 100.0, 0s}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_restart_test);

} // namespace
