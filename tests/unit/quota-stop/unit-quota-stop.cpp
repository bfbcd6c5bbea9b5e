#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "calm_account.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

/// half of the nodes begin to stop within a few hundred milliseconds
void stop_together(limiting_fleet& fleet, double requests_per_s)
{
    for (std::size_t node = 0; node < fleet.nodes() / 2; ++node)
    {
        fleet.stop(node, 1s);
        fleet.run(50ms, requests_per_s);
    }
}

/// Pattern: many nodes stop as planned at nearly the same time while no account is near its limit.
class quota_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_stop_test);
    CPPUNIT_TEST(calm_account_is_served_while_nodes_stop_together);
    CPPUNIT_TEST_SUITE_END();

  public:
    void calm_account_is_served_while_nodes_stop_together()
    {
        std::string failures;
        for (const calm_fleet& size : calm_fleet_sizes())
        {
            failures += play(size, {"nodes stop together", stop_together, 0ms, 0.01});
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, failures);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_stop_test);

} // namespace
