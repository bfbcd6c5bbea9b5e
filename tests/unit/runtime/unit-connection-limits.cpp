#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "connection_limits.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::runtime;

constexpr time_point start{1h};
constexpr std::size_t nodes = 74;
constexpr std::size_t upstreams = 3;
const std::string limited = "limited";

std::string data_centre(std::size_t index)
{
    return "dc-" + std::to_string(index);
}

std::string instance_of(std::size_t upstream)
{
    return "i-" + std::to_string(upstream);
}

std::vector<node_location> all_nodes()
{
    std::vector<node_location> result;
    for (std::size_t i = 0; i < nodes; ++i)
    {
        const endpoint address{static_cast<std::uint32_t>(0x0a000001 + i), 7740};
        result.push_back({address, data_centre_id_of(data_centre(i % 4))});
    }
    return result;
}

class connection_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_limits_test);
    CPPUNIT_TEST(limits_of_all_nodes_add_up_to_less_than_the_cap);
    CPPUNIT_TEST(services_without_a_cap_have_the_default);
    CPPUNIT_TEST(unsettled_node_holds_one_connection_at_most);
    CPPUNIT_TEST(node_whose_upstreams_are_unusable_gets_another);
    CPPUNIT_TEST(changes_of_the_directory_are_used_at_once);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        m_directory = std::make_unique<forwarding::upstream_directory>(data_centre(0));
        for (std::size_t i = 0; i < upstreams; ++i)
        {
            change(entry_of(i));
        }
    }

    void limits_of_all_nodes_add_up_to_less_than_the_cap()
    {
        struct row
        {
            std::uint32_t m_cap;
            std::size_t m_sum; ///< 90 % of the cap, or what one connection of each node needs
            std::size_t m_starved;
        };
        for (const row& each : {row{69, 62, 0}, row{570, 513, 0}, row{26, 25, 1}})
        {
            std::vector<std::size_t> sums(upstreams, 0);
            for (const node_location& node : all_nodes())
            {
                connection_limits limits = limits_of(node, each.m_cap);
                for (std::size_t i = 0; i < upstreams; ++i)
                {
                    sums[i] += limits.limit(*find(i), start);
                }
                CPPUNIT_ASSERT_EQUAL(each.m_starved, limits.starved_services());
                CPPUNIT_ASSERT(limits.allowed() > 0);
            }
            for (const std::size_t sum : sums)
            {
                CPPUNIT_ASSERT(sum <= each.m_sum);
            }
            CPPUNIT_ASSERT(std::accumulate(sums.begin(), sums.end(), std::size_t{0}) >= nodes);
        }
    }

    void services_without_a_cap_have_the_default()
    {
        connection_limits limits = limits_of(all_nodes()[0], 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, limits.limit(*find(0), start));
    }

    void unsettled_node_holds_one_connection_at_most()
    {
        connection_limits limits = limits_of(all_nodes()[0], 570);
        CPPUNIT_ASSERT(limits.limit(*find(0), start) >= 6);
        CPPUNIT_ASSERT(limits.on_members({all_nodes()[0]}, false));
        CPPUNIT_ASSERT(!limits.on_members({all_nodes()[0]}, false));
        std::size_t used = 0;
        for (std::size_t i = 0; i < upstreams; ++i)
        {
            const std::size_t limit = limits.limit(*find(i), start);
            CPPUNIT_ASSERT(limit <= 1);
            used += limit;
        }
        // fewer than all, so that nodes that don't know each other stay within the upstreams' limits
        CPPUNIT_ASSERT_EQUAL((upstreams * 2 + 2) / 3, used);
    }

    /// whatever set of upstreams is ejected, each node may connect to at least one of the others
    void node_whose_upstreams_are_unusable_gets_another()
    {
        constexpr std::size_t all = (1U << upstreams) - 1;
        for (std::size_t ejected = 0; ejected < all; ++ejected)
        {
            setUp();
            for (std::size_t i = 0; i < upstreams; ++i)
            {
                if ((ejected >> i & 1U) != 0)
                {
                    find(i)->on_start(start);
                    find(i)->on_failure(start, forwarding::attempt_failure::not_connected, start);
                }
            }
            for (const node_location& node : all_nodes())
            {
                connection_limits limits = limits_of(node, 31);
                std::size_t usable = 0;
                for (std::size_t i = 0; i < upstreams; ++i)
                {
                    usable += find(i)->is_ejected(start) ? 0 : limits.limit(*find(i), start);
                }
                CPPUNIT_ASSERT(usable >= 1);
            }
        }
    }

    void changes_of_the_directory_are_used_at_once()
    {
        connection_limits limits = limits_of(all_nodes()[0], 26);
        const auto allowed = [&]
        {
            std::vector<std::size_t> result;
            for (std::size_t i = 0; i < upstreams; ++i)
            {
                result.push_back(limits.limit(*find(i), start));
            }
            return result;
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sum_of(allowed()));
        m_directory->set_evacuated({data_centre(0), data_centre(1)});
        CPPUNIT_ASSERT((allowed() == std::vector<std::size_t>{0, 0, 1}));
        m_directory->set_evacuated({});
        forwarding::upstream_entry entry = entry_of(0);
        entry.m_is_draining = true;
        ++entry.m_sequence;
        change(entry);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, allowed()[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sum_of(allowed()));
    }

  private:
    static std::size_t sum_of(const std::vector<std::size_t>& values)
    {
        return std::accumulate(values.begin(), values.end(), std::size_t{0});
    }

    static forwarding::upstream_entry entry_of(std::size_t upstream)
    {
        forwarding::upstream_entry entry;
        entry.m_instance = instance_of(upstream);
        entry.m_service = limited;
        entry.m_address = endpoint{static_cast<std::uint32_t>(0x0b000001 + upstream), 8080};
        entry.m_data_centre = data_centre(upstream);
        entry.m_incarnation = 1;
        return entry;
    }

    void change(const forwarding::upstream_entry& entry)
    {
        m_directory->on_change({entry.m_instance, entry}, start);
    }

    [[nodiscard]] forwarding::shared_upstream find(std::size_t upstream) const
    {
        for (const forwarding::shared_upstream& each : m_directory->upstreams_of(limited))
        {
            if (each->entry().m_instance == instance_of(upstream))
            {
                return each;
            }
        }
        return nullptr;
    }

    [[nodiscard]] connection_limits limits_of(const node_location& node, std::uint32_t cap) const
    {
        connection_limits result{node, *m_directory};
        forwarding::declarations content;
        content.m_services.push_back({limited, cap, 0.0});
        result.on_table(std::make_shared<const forwarding::route_table>(content));
        CPPUNIT_ASSERT(result.on_members(all_nodes(), true));
        return result;
    }

    std::unique_ptr<forwarding::upstream_directory> m_directory;
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_limits_test);

} // namespace
