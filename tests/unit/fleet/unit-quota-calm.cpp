#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "calm_account.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

void kill_data_centre(limiting_fleet& fleet, duration down)
{
    for (std::size_t node = 0; node < fleet.nodes(); ++node)
    {
        if (fleet.data_centre_of(node) == 0)
        {
            fleet.kill(node, down);
        }
    }
}

/// Pattern: faults of nodes and networks while no account is near its limit. Nobody may be refused for long
/// because the node that held the account's bucket is lost.
class quota_calm_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_calm_test);
    CPPUNIT_TEST(calm_account_is_served_through_faults);
    CPPUNIT_TEST(busy_account_gets_its_rate_and_burst_in_each_window);
    CPPUNIT_TEST_SUITE_END();

  public:
    void calm_account_is_served_through_faults()
    {
        std::string failures;
        for (const calm_fleet& size : calm_fleet_sizes())
        {
            for (const calm_case& each : cases())
            {
                failures += play(size, each);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, failures);
    }

    /// an account that sends far more than its limit is still owed rate x window + burst
    void busy_account_gets_its_rate_and_burst_in_each_window()
    {
        constexpr double overload = 3.0;
        // tokens that expire unused at one of the nodes
        constexpr double expired = 0.02;
        for (const calm_fleet& size :
             {calm_fleet{7, 3, 30.0}, calm_fleet{9, 4, 120.0}, calm_fleet{8, 1, 40.0}})
        {
            limiting_fleet fleet{size.m_nodes,
                                 {limiting_fleet::account_name, size.m_rate, size.m_rate, {}},
                                 1,
                                 size.m_data_centres};
            fleet.run(8s, calm_load * size.m_rate);
            for (int window = 0; window < 4; ++window)
            {
                const std::size_t before = fleet.admitted();
                fleet.run(limiting_fleet::bound.m_window, overload * size.m_rate);
                const double owed = 6.0 * size.m_rate;
                CPPUNIT_ASSERT(static_cast<double>(fleet.admitted() - before) >= (1.0 - expired) * owed);
            }
            fleet.check_bound();
        }
    }

  private:
    static std::vector<calm_case> cases()
    {
        return {
            {"a data centre is cut off", [](limiting_fleet& fleet, double) { fleet.cut_data_centre(0); }, 0ms,
             0.01},
            {"a cut ends",
             [](limiting_fleet& fleet, double requests_per_s)
             {
                 fleet.cut_data_centre(0);
                 fleet.run(4s, requests_per_s);
                 fleet.cut({});
             },
             0ms, 0.01},
            {"one node is killed", [](limiting_fleet& fleet, double) { fleet.kill(0, 2s); }, 0ms, 0.01},
            {"a data centre loses power", [](limiting_fleet& fleet, double) { kill_data_centre(fleet, 2s); },
             0ms, 0.01},
            {"nodes stop in turn", stop_in_turn, 0ms, 0.01},
            // new buckets begin empty, and give little until the nodes know each other
            {"all nodes are killed", [](limiting_fleet& fleet, double) { fleet.kill_first(fleet.nodes()); },
             1s, 0.05},
        };
    }

    static void stop_in_turn(limiting_fleet& fleet, double requests_per_s)
    {
        constexpr std::size_t stopped = 6;
        for (std::size_t node = 0; node < stopped; ++node)
        {
            fleet.stop(node, 700ms);
            fleet.run(1s, requests_per_s);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_calm_test);

} // namespace
