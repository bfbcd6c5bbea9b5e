#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "relay_invariants.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

constexpr std::size_t large_text_entries = 16'500;
const std::string invalid_text = "[[client_account]]\nname = \"without limits\"\n";

/// a fleet into which a test injects faults one after another
class faulty_fleet
{
  public:
    explicit faulty_fleet(const fleet_shape& shape = {}, std::size_t entries = 3)
        : m_fleet(shape, 1), m_invariants(m_fleet, shape.m_settings), m_entries(entries)
    {
        publish();
        for (std::size_t index = 0; index < m_fleet.nodes().size(); ++index)
        {
            m_fleet.start(index);
        }
        pass(5s);
    }

    void publish()
    {
        m_invariants.publish(services_text(m_fleet.published().size(), m_entries), true);
    }

    void pass(duration length)
    {
        m_fleet.run_until(m_fleet.now() + length);
    }

    void set_platform(bool is_reachable, std::size_t lag, std::size_t first = 0, std::size_t step = 1)
    {
        for (std::size_t index = first; index < m_fleet.nodes().size(); index += step)
        {
            m_fleet.set_platform(index, is_reachable, lag);
        }
    }

    void restart(std::size_t index)
    {
        m_fleet.stop(index);
        pass(50ms);
        m_fleet.start(index);
    }

    /// starts or ends a network partition between even and odd nodes, which are in different data centres
    void cut(bool is_cut)
    {
        for (std::size_t lhs = 0; lhs < m_fleet.nodes().size(); lhs += 2)
        {
            for (std::size_t rhs = 1; rhs < m_fleet.nodes().size(); rhs += 2)
            {
                m_fleet.set_cut(lhs, rhs, is_cut);
            }
        }
    }

    /// checks that all running nodes serve with the given revision and that no invariant was violated
    void expect_everywhere(revision_number number)
    {
        for (const simulated_node& node : m_fleet.nodes())
        {
            if (node.is_running())
            {
                CPPUNIT_ASSERT_EQUAL(number, node.in_force());
                CPPUNIT_ASSERT(node.m_relay->may_serve(m_fleet.now()));
                CPPUNIT_ASSERT(!node.m_relay->needs_recheck(m_fleet.now()));
            }
        }
        const std::vector<std::string>& violations = m_invariants.violations();
        CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
    }

    relay_simulation m_fleet;
    relay_invariants m_invariants;

  private:
    std::size_t m_entries;
};

class relay_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_faults_test);
    CPPUNIT_TEST(platform_down_for_long);
    CPPUNIT_TEST(platform_returns_older_revisions);
    CPPUNIT_TEST(half_of_the_nodes_cannot_reach_the_platform);
    CPPUNIT_TEST(all_readers_of_a_data_centre_killed);
    CPPUNIT_TEST(readers_cannot_reach_the_platform);
    CPPUNIT_TEST(node_started_while_the_platform_is_down);
    CPPUNIT_TEST(node_restarted_with_a_stale_platform);
    CPPUNIT_TEST(partition_between_data_centres);
    CPPUNIT_TEST(stalled_node_cannot_reach_the_platform);
    CPPUNIT_TEST(invalid_text_between_two_valid_ones);
    CPPUNIT_TEST(two_publications_at_once);
    CPPUNIT_TEST(text_of_1_megabyte);
    CPPUNIT_TEST_SUITE_END();

  public:
    void platform_down_for_long()
    {
        faulty_fleet fleet;
        fleet.set_platform(false, 0);
        fleet.pass(10min);
        fleet.expect_everywhere(1);
        fleet.publish();
        fleet.set_platform(true, 0);
        fleet.pass(5s);
        fleet.expect_everywhere(2);
    }

    void platform_returns_older_revisions()
    {
        faulty_fleet fleet;
        fleet.publish();
        fleet.publish();
        fleet.pass(1s);
        const std::uint64_t reads = fleet.m_fleet.platform_reads();
        fleet.set_platform(true, 2);
        fleet.pass(60s);
        fleet.expect_everywhere(3);
        // a platform that replies without waiting isn't polled again immediately
        CPPUNIT_ASSERT(fleet.m_fleet.platform_reads() - reads < 9 * 60);
    }

    void half_of_the_nodes_cannot_reach_the_platform()
    {
        faulty_fleet fleet;
        fleet.set_platform(false, 0, 0, 2);
        fleet.pass(5s);
        fleet.publish();
        fleet.pass(1s);
        fleet.expect_everywhere(2);
    }

    void all_readers_of_a_data_centre_killed()
    {
        fleet_shape shape;
        shape.m_nodes = 16;
        shape.m_data_centres = 2;
        faulty_fleet fleet{shape};
        fleet.cut(true);
        fleet.pass(5s);
        std::size_t killed = 0;
        for (std::size_t index = 0; index < shape.m_nodes; index += 2)
        {
            if (fleet.m_fleet.nodes()[index].m_relay->is_reader())
            {
                fleet.m_fleet.stop(index);
                ++killed;
            }
        }
        CPPUNIT_ASSERT_EQUAL(shape.m_settings.m_reads.m_readers, killed);
        fleet.publish();
        fleet.pass(5s);
        fleet.expect_everywhere(2);
    }

    void readers_cannot_reach_the_platform()
    {
        fleet_shape shape;
        shape.m_nodes = 16;
        shape.m_data_centres = 2;
        faulty_fleet fleet{shape};
        fleet.cut(true);
        for (std::size_t index = 0; index < shape.m_nodes; ++index)
        {
            const bool is_reader = fleet.m_fleet.nodes()[index].m_relay->is_reader();
            fleet.m_fleet.set_platform(index, !is_reader, 0);
        }
        fleet.pass(10s);
        fleet.publish();
        fleet.pass(5s);
        fleet.expect_everywhere(2);
    }

    void node_started_while_the_platform_is_down()
    {
        faulty_fleet fleet;
        fleet.publish();
        fleet.pass(1s);
        fleet.set_platform(false, 0);
        fleet.restart(0);
        fleet.pass(1s);
        fleet.expect_everywhere(2);
    }

    void node_restarted_with_a_stale_platform()
    {
        faulty_fleet fleet;
        fleet.publish();
        fleet.pass(1s);
        fleet.set_platform(true, 1);
        for (std::size_t index = 0; index < fleet.m_fleet.nodes().size(); ++index)
        {
            fleet.restart(index);
            fleet.pass(1s);
            fleet.expect_everywhere(2);
        }
    }

    void partition_between_data_centres()
    {
        faulty_fleet fleet;
        fleet.cut(true);
        fleet.set_platform(false, 0, 0, 2);
        fleet.pass(5s);
        fleet.publish();
        fleet.pass(10s);
        CPPUNIT_ASSERT_EQUAL(revision_number{1}, fleet.m_fleet.nodes()[0].in_force());
        CPPUNIT_ASSERT_EQUAL(revision_number{2}, fleet.m_fleet.nodes()[1].in_force());
        fleet.cut(false);
        fleet.pass(1s);
        fleet.expect_everywhere(2);
    }

    void stalled_node_cannot_reach_the_platform()
    {
        faulty_fleet fleet;
        simulated_node& node = fleet.m_fleet.nodes()[0];
        fleet.m_fleet.freeze(0);
        fleet.m_fleet.set_platform(0, false, 0);
        fleet.pass(30s);
        fleet.publish();
        fleet.pass(1s);
        // the node detects the stall even before it handles an event after it
        CPPUNIT_ASSERT(node.m_relay->needs_recheck(fleet.m_fleet.now()));
        fleet.m_invariants.wake(0);
        fleet.pass(1s);
        fleet.expect_everywhere(2);
    }

    void invalid_text_between_two_valid_ones()
    {
        faulty_fleet fleet;
        fleet.publish();
        fleet.pass(500ms);
        fleet.m_invariants.publish(invalid_text, false);
        fleet.pass(500ms);
        fleet.expect_everywhere(2);
        CPPUNIT_ASSERT_EQUAL(revision_number{3}, fleet.m_fleet.nodes()[0].m_relay->rejection()->m_number);
        fleet.publish();
        fleet.pass(1s);
        fleet.expect_everywhere(4);
        CPPUNIT_ASSERT(!fleet.m_fleet.nodes()[0].m_relay->rejection().has_value());
    }

    void two_publications_at_once()
    {
        faulty_fleet fleet;
        fleet.publish();
        fleet.publish();
        fleet.pass(1ms);
        fleet.publish();
        fleet.pass(1s);
        fleet.expect_everywhere(4);
    }

    void text_of_1_megabyte()
    {
        fleet_shape shape;
        shape.m_nodes = 16;
        const std::size_t size = services_text(1, large_text_entries).size();
        CPPUNIT_ASSERT(size > 1'000'000 && size <= max_services_text_bytes);
        faulty_fleet fleet{shape, large_text_entries};
        for (simulated_node& node : fleet.m_fleet.nodes())
        {
            node.m_sent_bytes = 0;
        }
        fleet.publish();
        fleet.pass(5s);
        fleet.expect_everywhere(2);
        for (const simulated_node& node : fleet.m_fleet.nodes())
        {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(node.m_sent_bytes), node.m_sent_bytes < 28'000);
        }
        // a node that starts while the platform is unreachable needs one full text
        fleet.set_platform(false, 0);
        fleet.restart(0);
        fleet.pass(5s);
        fleet.expect_everywhere(2);
        std::uint64_t bytes = 0;
        for (const simulated_node& node : fleet.m_fleet.nodes())
        {
            bytes += node.m_sent_bytes;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes), bytes < 2 * max_services_text_bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_faults_test);

} // namespace
