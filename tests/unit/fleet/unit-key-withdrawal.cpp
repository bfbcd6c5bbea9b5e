#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <variant>

#include "relay_simulation.hpp"
#include "teasellead/kernel/authentication.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

constexpr auto withdrawal_limit = 3s;
const std::string account = "[[client_account]]\nname = \"school\"\nrate = 10\nburst = 10\n\n";
const std::string other_account = "[[client_account]]\nname = \"club\"\nrate = 10\nburst = 10\n\n";

/// a fleet whose first configuration declares one key, with a request authenticated by it queued on each node
class fleet_with_key
{
  public:
    fleet_with_key() : m_fleet(fleet_shape{}, 1), m_key(issue_key("s1", "school"))
    {
        m_fleet.publish(account + m_key.m_toml, true);
        for (std::size_t index = 0; index < m_fleet.nodes().size(); ++index)
        {
            m_fleet.start(index);
        }
        m_fleet.run_until(m_fleet.now() + 5s);
        for (const simulated_node& node : m_fleet.nodes())
        {
            m_queued.push_back(std::get<authenticated>(check(node)));
        }
    }

    [[nodiscard]] authentication check(const simulated_node& node) const
    {
        return authenticate(node.m_cell->get()->configuration(), m_key.m_presented);
    }

    /// checks that each node rejects the key on arrival and refuses the request queued with it at dispatch
    void expect_refused() const
    {
        for (std::size_t index = 0; index < m_queued.size(); ++index)
        {
            const simulated_node& node = m_fleet.nodes()[index];
            const configuration& declared = node.m_cell->get()->configuration();
            const std::string name = "node " + std::to_string(index);
            CPPUNIT_ASSERT_MESSAGE(name, check(node) == authentication{key_rejected{}});
            CPPUNIT_ASSERT_MESSAGE(name, reauthenticate(declared, m_queued[index]) ==
                                             reauthentication{key_withdrawn{"s1"}});
        }
    }

    mutable relay_simulation m_fleet;
    issued_key m_key;
    std::vector<authenticated> m_queued;
};

class key_withdrawal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(key_withdrawal_test);
    CPPUNIT_TEST(reaches_every_node);
    CPPUNIT_TEST(reaches_nodes_that_cannot_reach_the_platform);
    CPPUNIT_TEST(replaces_a_secret_under_the_same_id);
    CPPUNIT_TEST(moves_a_key_to_another_account);
    CPPUNIT_TEST(accepts_no_keys_after_a_stall_before_the_recheck);
    CPPUNIT_TEST_SUITE_END();

  public:
    void reaches_every_node()
    {
        fleet_with_key fleet;
        fleet.m_fleet.publish(account, true);
        fleet.m_fleet.run_until(fleet.m_fleet.now() + withdrawal_limit);
        fleet.expect_refused();
    }

    void reaches_nodes_that_cannot_reach_the_platform()
    {
        fleet_with_key fleet;
        for (std::size_t index = 1; index < fleet.m_fleet.nodes().size(); ++index)
        {
            fleet.m_fleet.set_platform(index, false, 0);
        }
        fleet.m_fleet.run_until(fleet.m_fleet.now() + 10s);
        fleet.m_fleet.publish(account, true);
        fleet.m_fleet.run_until(fleet.m_fleet.now() + withdrawal_limit);
        fleet.expect_refused();
    }

    void replaces_a_secret_under_the_same_id()
    {
        fleet_with_key fleet;
        const issued_key replaced = issue_key("s1", "school");
        fleet.m_fleet.publish(account + replaced.m_toml, true);
        fleet.m_fleet.run_until(fleet.m_fleet.now() + withdrawal_limit);
        fleet.expect_refused();
        const configuration& declared = fleet.m_fleet.nodes()[0].m_cell->get()->configuration();
        CPPUNIT_ASSERT(std::holds_alternative<authenticated>(authenticate(declared, replaced.m_presented)));
    }

    void moves_a_key_to_another_account()
    {
        fleet_with_key fleet;
        std::string moved = fleet.m_key.m_toml;
        moved.replace(moved.find("school"), 6, "club");
        fleet.m_fleet.publish(account + other_account + moved, true);
        fleet.m_fleet.run_until(fleet.m_fleet.now() + withdrawal_limit);
        for (std::size_t index = 0; index < fleet.m_queued.size(); ++index)
        {
            const simulated_node& node = fleet.m_fleet.nodes()[index];
            const auto outcome = fleet.check(node);
            CPPUNIT_ASSERT_EQUAL(std::string{"club"}, std::get<authenticated>(outcome).m_client_account);
            CPPUNIT_ASSERT(reauthenticate(node.m_cell->get()->configuration(), fleet.m_queued[index]) ==
                           reauthentication{key_moved{"s1"}});
        }
    }

    void accepts_no_keys_after_a_stall_before_the_recheck()
    {
        fleet_with_key fleet;
        simulated_node& node = fleet.m_fleet.nodes()[3];
        fleet.m_fleet.freeze(3);
        fleet.m_fleet.run_until(fleet.m_fleet.now() + 20s);
        fleet.m_fleet.publish(account, true);
        fleet.m_fleet.run_until(fleet.m_fleet.now() + withdrawal_limit);
        // the old configuration is still current on this node, so keys may be accepted only after the recheck
        CPPUNIT_ASSERT(std::holds_alternative<authenticated>(fleet.check(node)));
        CPPUNIT_ASSERT(node.m_relay->needs_recheck(fleet.m_fleet.now()));
        fleet.m_fleet.m_after_step = [&](std::size_t index)
        {
            const bool accepts_keys = index == 3 && !node.m_relay->needs_recheck(fleet.m_fleet.now());
            CPPUNIT_ASSERT(!accepts_keys || fleet.check(node) == authentication{key_rejected{}});
        };
        fleet.m_fleet.wake(3);
        fleet.m_fleet.run_until(fleet.m_fleet.now() + withdrawal_limit);
        CPPUNIT_ASSERT(!node.m_relay->needs_recheck(fleet.m_fleet.now()));
        fleet.expect_refused();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_withdrawal_test);

} // namespace
