#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "teasellead/forwarding/connection_shares.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::forwarding;

constexpr std::uint32_t first_node = 0x0a000001;
constexpr std::uint32_t first_upstream = 0x0b000001;
const std::string service = "recipes-7";

/// one deployment: a service whose upstreams are in all data centres but the last
struct row
{
    std::uint32_t m_nodes;
    std::uint32_t m_limit;
    std::uint32_t m_upstreams;
    std::uint32_t m_data_centres;

    [[nodiscard]] std::string name() const
    {
        return std::to_string(m_nodes) + " nodes, limit " + std::to_string(m_limit) + ", " +
               std::to_string(m_upstreams) + " upstreams, " + std::to_string(m_data_centres) +
               " data centres";
    }

    [[nodiscard]] std::vector<connection_end> nodes() const
    {
        std::vector<connection_end> result;
        for (std::uint32_t i = 0; i < m_nodes; ++i)
        {
            result.push_back({endpoint{first_node + i, 7740}, 100 + i % m_data_centres});
        }
        return result;
    }

    [[nodiscard]] std::vector<connection_end> upstreams() const
    {
        std::vector<connection_end> result;
        for (std::uint32_t i = 0; i < m_upstreams; ++i)
        {
            result.push_back({endpoint{first_upstream + i, 8080}, 100 + i % (m_data_centres - 1)});
        }
        return result;
    }

    [[nodiscard]] std::uint32_t usable() const
    {
        return m_limit * connection_shares::usable_percentage / 100;
    }

    /// largest sum of the shares of an upstream
    [[nodiscard]] std::size_t bound() const
    {
        return std::max(usable(), (m_nodes + m_upstreams - 1) / m_upstreams);
    }
};

/// what a set of nodes computes
struct view
{
    view(std::vector<connection_end> nodes, const row& input)
        : m_places(std::move(nodes)), m_shares(m_places, service, input.m_limit, input.upstreams())
    {
    }

    [[nodiscard]] std::size_t share(const connection_end& node, std::size_t upstream) const
    {
        return m_shares.share(m_places.find(node).value(), upstream);
    }

    node_places m_places;
    connection_shares m_shares;
};

std::vector<row> all_rows()
{
    std::vector<row> result;
    for (const std::uint32_t nodes : {8U, 30U, 74U, 85U, 295U, 6800U})
    {
        for (const std::uint32_t limit : {26U, 31U, 69U, 72U, 74U, 195U, 570U})
        {
            for (const std::uint32_t upstreams : {1U, 3U, 16U})
            {
                for (const std::uint32_t data_centres : {3U, 4U})
                {
                    result.push_back({nodes, limit, upstreams, data_centres});
                }
            }
        }
    }
    return result;
}

class connection_shares_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_shares_test);
    CPPUNIT_TEST(sums_stay_within_the_limit_and_nodes_are_equal);
    CPPUNIT_TEST(nodes_of_the_upstreams_data_centre_go_first);
    CPPUNIT_TEST(lost_node_moves_few_shares);
    CPPUNIT_TEST(different_views_exceed_the_limit_by_little);
    CPPUNIT_TEST(small_deployments_keep_their_connections);
    CPPUNIT_TEST(node_outside_the_view_has_no_place);
    CPPUNIT_TEST_SUITE_END();

  public:
    void sums_stay_within_the_limit_and_nodes_are_equal()
    {
        for (const row& each : all_rows())
        {
            const view agreed{each.nodes(), each};
            const std::size_t wanted =
                std::min<std::size_t>({2, each.m_upstreams, each.bound() * each.m_upstreams / each.m_nodes});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.name(), each.usable() * each.m_upstreams < each.m_nodes,
                                         agreed.m_shares.is_starved());
            std::vector<std::size_t> sums(each.m_upstreams, 0);
            std::vector<std::size_t> fewest(each.m_data_centres, each.bound() * each.m_upstreams);
            std::vector<std::size_t> most(each.m_data_centres, 0);
            for (const connection_end& node : each.nodes())
            {
                std::size_t held = 0;
                std::size_t reached = 0;
                for (std::size_t i = 0; i < each.m_upstreams; ++i)
                {
                    const std::size_t share = agreed.share(node, i);
                    sums[i] += share;
                    held += share;
                    reached += share > 0 ? 1 : 0;
                }
                CPPUNIT_ASSERT_MESSAGE(each.name(), reached >= wanted);
                const std::size_t centre = node.m_data_centre - 100;
                fewest[centre] = std::min(fewest[centre], held);
                most[centre] = std::max(most[centre], held);
            }
            for (std::size_t i = 0; i < each.m_data_centres; ++i)
            {
                CPPUNIT_ASSERT_MESSAGE(each.name(), most[i] <= fewest[i] + 1);
            }
            CPPUNIT_ASSERT_MESSAGE(each.name(), *std::max_element(sums.begin(), sums.end()) <= each.bound());
        }
    }

    void nodes_of_the_upstreams_data_centre_go_first()
    {
        for (const row& each : all_rows())
        {
            const view agreed{each.nodes(), each};
            for (std::size_t i = 0; i < each.m_upstreams; ++i)
            {
                const std::uint64_t home = each.upstreams()[i].m_data_centre;
                double local = 0.0;
                double remote = 0.0;
                for (const connection_end& node : each.nodes())
                {
                    (node.m_data_centre == home ? local : remote) +=
                        static_cast<double>(agreed.share(node, i));
                }
                const double count =
                    static_cast<double>(agreed.m_places.counts()[*agreed.m_places.find_data_centre(home)]);
                const double others = static_cast<double>(each.m_nodes) - count;
                CPPUNIT_ASSERT_MESSAGE(each.name(), local / count >= remote / others);
            }
        }
    }

    void lost_node_moves_few_shares()
    {
        for (const row& each : all_rows())
        {
            std::vector<connection_end> nodes = each.nodes();
            const view before{nodes, each};
            nodes.erase(nodes.begin() + each.m_nodes / 2);
            const view after{nodes, each};
            std::size_t moved = 0;
            for (const connection_end& node : nodes)
            {
                for (std::size_t i = 0; i < each.m_upstreams; ++i)
                {
                    moved += before.share(node, i) != after.share(node, i) ? 1 : 0;
                }
            }
            // of the node that was lost, and at both ends of each range
            const std::size_t ranges = std::size_t{each.m_upstreams} * each.m_data_centres;
            CPPUNIT_ASSERT_MESSAGE(each.name() + ": " + std::to_string(moved), moved <= 8 * ranges);
        }
    }

    void different_views_exceed_the_limit_by_little()
    {
        for (const row& each : all_rows())
        {
            // every third node has the whole view; the others don't know one or two nodes
            std::vector<view> views;
            for (std::size_t unknown = 0; unknown < 3; ++unknown)
            {
                std::vector<connection_end> nodes = each.nodes();
                nodes.erase(nodes.end() - static_cast<std::ptrdiff_t>(unknown), nodes.end());
                views.emplace_back(std::move(nodes), each);
            }
            for (std::size_t i = 0; i < each.m_upstreams; ++i)
            {
                std::size_t sum = 0;
                std::size_t index = 0;
                for (const connection_end& node : each.nodes())
                {
                    const std::size_t unknown = index + 2 < each.m_nodes ? index % views.size() : 0;
                    sum += views[unknown].share(node, i);
                    ++index;
                }
                // the nodes that lack others are in the limit's reserve, but for the largest shares
                constexpr std::size_t excess = 6;
                CPPUNIT_ASSERT_MESSAGE(each.name() + ": " + std::to_string(sum),
                                       sum <= std::max<std::size_t>(each.m_limit, each.bound()) + excess);
            }
        }
    }

    void small_deployments_keep_their_connections()
    {
        for (const row& each : {row{8, 31, 3, 3}, row{8, 195, 16, 4}, row{30, 570, 8, 3}})
        {
            const view agreed{each.nodes(), each};
            for (const connection_end& node : each.nodes())
            {
                for (std::size_t i = 0; i < each.m_upstreams; ++i)
                {
                    CPPUNIT_ASSERT_MESSAGE(each.name(),
                                           agreed.share(node, i) >= each.usable() / each.m_nodes);
                }
            }
        }
    }

    void node_outside_the_view_has_no_place()
    {
        const row input{8, 31, 3, 3};
        const node_places places{input.nodes()};
        CPPUNIT_ASSERT(!places.find({endpoint{first_upstream, 7740}, 100}));
        CPPUNIT_ASSERT(!places.find_data_centre(99));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_shares_test);

} // namespace
