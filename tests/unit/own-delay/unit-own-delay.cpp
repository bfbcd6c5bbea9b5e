#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "slow_node.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::forwarding;
using namespace teasellead::test;

std::vector<std::string> shards_of(std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < count; ++i)
    {
        result.push_back("shard-" + std::to_string(i));
    }
    return result;
}

class own_delay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(own_delay_test);
    CPPUNIT_TEST(node_does_not_hedge_its_own_delay);
    CPPUNIT_TEST(partial_answer_leaves_out_only_what_has_not_arrived);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// guards against searches that send a second attempt to each shard since the node itself is slow
    void node_does_not_hedge_its_own_delay()
    {
        struct row
        {
            std::string m_name;
            node_costs m_costs;
            std::size_t m_silent;     ///< shards whose first upstream never replies
            std::size_t m_max_hedges; ///< those shards, and none for the node's delay
        };
        const std::vector<row> rows{
            {"fast node", {1us, 1us, 0}, 0, 0},
            {"slow to send", {700us, 1us, 0}, 0, 0},
            {"slow to send and to read", {200us, 200us, 0}, 0, 0},
            {"slow to connect", {200us, 200us, 2}, 0, 0},
            {"all connections are new", {200us, 200us, 1}, 0, 0},
            {"fast node, silent upstreams", {1us, 1us, 0}, 5, 5},
            {"slow node, silent upstreams", {200us, 200us, 2}, 5, 5},
        };
        std::string failed;
        for (const row& each : rows)
        {
            constexpr std::size_t shards = 135;
            slow_node node{shards_of(shards)};
            for (int search = 0; search < 3; ++search)
            {
                (void)node.search({1us, 1us, 0}, 0);
            }
            const search_outcome outcome = node.search(each.m_costs, each.m_silent);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_name, shards, outcome.m_replies);
            if (outcome.m_hedges > each.m_max_hedges)
            {
                failed += each.m_name + ": " + std::to_string(outcome.m_hedges) + " hedges; ";
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, failed);
    }

    /// guards against partial answers that leave out replies which lie unread at a slow node
    void partial_answer_leaves_out_only_what_has_not_arrived()
    {
        struct row
        {
            std::string m_name;
            node_costs m_costs;
            std::size_t m_silent;
        };
        const std::vector<row> rows{
            {"fast node", {1us, 1us, 0}, 0},
            {"slow to read", {1us, 400us, 0}, 0},
            {"slow to read, silent upstreams", {1us, 400us, 0}, 5},
        };
        constexpr std::size_t shards = 135;
        for (const row& each : rows)
        {
            slow_node node{shards_of(shards), 1};
            const search_outcome outcome = node.search(each.m_costs, each.m_silent, 0.85);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_name, shards - each.m_silent, outcome.m_replies);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(own_delay_test);

} // namespace
