#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <string>

#include "limiting_fleet.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

/// fleet size and limits of an account whose load is many times its limit
struct churn_case
{
    std::size_t m_nodes;
    double m_rate; ///< declared requests per second
    double m_burst;
    std::uint64_t m_seeds;
    std::size_t m_data_centres{1};
};

/// collects the seeds with which the bound was exceeded
class broken_seeds
{
  public:
    void check(const limiting_fleet& fleet, const churn_case& each, std::uint64_t seed)
    {
        if (fleet.most_beyond() > 0.0)
        {
            m_text += std::to_string(each.m_nodes) + " nodes in " + std::to_string(each.m_data_centres) +
                      " data centres, rate " + std::to_string(each.m_rate) + ", seed " +
                      std::to_string(seed) + ": " + std::to_string(fleet.most_beyond()) +
                      " above the bound\n";
        }
    }

    void assert_none() const
    {
        CPPUNIT_ASSERT_EQUAL(std::string{}, m_text);
    }

  private:
    std::string m_text;
};

/// number of seeds of a case; the environment variable TEASELLEAD_SEEDS multiplies it for long manual runs
std::uint64_t seeds_of(const churn_case& each)
{
    const char* const factor = std::getenv("TEASELLEAD_SEEDS");
    return factor == nullptr ? each.m_seeds : each.m_seeds * std::strtoull(factor, nullptr, 10);
}

class quota_churn_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_churn_test);
    CPPUNIT_TEST(rolling_restart_keeps_the_bound);
    CPPUNIT_TEST(random_changes_keep_the_bound);
    CPPUNIT_TEST(fault_at_each_node_in_turn_keeps_the_bound);
    CPPUNIT_TEST(survivor_of_repeated_kills_keeps_the_bound);
    CPPUNIT_TEST(rolling_restart_of_many_nodes_keeps_the_bound);
    CPPUNIT_TEST(random_changes_of_many_nodes_keep_the_bound);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// nodes are stopped two at a time while the load is twelve times the limit
    void rolling_restart_keeps_the_bound()
    {
        restart_in_turn(cases());
    }

    void rolling_restart_of_many_nodes_keeps_the_bound()
    {
        restart_in_turn(large_cases());
    }

    /// each node in turn fails, so that the holder of the bucket is hit whichever node it is
    void fault_at_each_node_in_turn_keeps_the_bound()
    {
        using fault = std::function<void(limiting_fleet&, std::size_t node)>;
        const std::vector<fault> faults{
            [](limiting_fleet& fleet, std::size_t node) { fleet.kill(node, 0ms); },
            [](limiting_fleet& fleet, std::size_t node) { fleet.kill(node, 3500ms); },
            [](limiting_fleet& fleet, std::size_t node) { fleet.freeze(node, 3500ms); },
            [](limiting_fleet& fleet, std::size_t node)
            {
                std::vector<std::size_t> groups(fleet.nodes(), 0);
                groups.at(node) = 1;
                fleet.cut(std::move(groups));
            },
            [](limiting_fleet& fleet, std::size_t node)
            {
                std::vector<std::size_t> groups(fleet.nodes(), 0);
                std::fill(groups.begin(), groups.begin() + static_cast<std::ptrdiff_t>(fleet.nodes() / 2), 1);
                fleet.cut(std::move(groups));
                fleet.kill(node, 0ms);
            }};
        broken_seeds broken;
        for (const churn_case& each : cases())
        {
            for (std::uint64_t seed = 1; seed <= seeds_of(each); ++seed)
            {
                limiting_fleet fleet{each.m_nodes, account_of(each), seed, each.m_data_centres};
                fleet.run(6s, 0.4 * each.m_rate);
                fleet.run(3s, load * each.m_rate);
                for (std::size_t node = 0; node < each.m_nodes; ++node)
                {
                    faults.at(seed % faults.size())(fleet, node);
                    fleet.run(std::chrono::milliseconds{400 + fleet.random().below(1200)},
                              load * each.m_rate);
                }
                fleet.cut({});
                fleet.run(6s, load * each.m_rate);
                broken.check(fleet, each, seed);
            }
        }
        broken.assert_none();
    }

    /// All nodes but one are killed again and again. The others can't know at once that the survivor still
    /// holds a bucket.
    void survivor_of_repeated_kills_keeps_the_bound()
    {
        constexpr int kills = 8;
        broken_seeds broken;
        for (const churn_case& each : cases())
        {
            for (std::uint64_t seed = 1; seed <= seeds_of(each); ++seed)
            {
                limiting_fleet fleet{each.m_nodes, account_of(each), seed, each.m_data_centres};
                fleet.run(6s, 0.4 * each.m_rate);
                const std::size_t survivor = seed % each.m_nodes;
                for (int kill = 0; kill < kills; ++kill)
                {
                    for (std::size_t node = 0; node < each.m_nodes; ++node)
                    {
                        if (node != survivor)
                        {
                            fleet.kill(node, 0ms);
                        }
                    }
                    fleet.run(std::chrono::milliseconds{500 + fleet.random().below(900)}, load * each.m_rate);
                }
                fleet.run(3s, load * each.m_rate);
                broken.check(fleet, each, seed);
            }
        }
        broken.assert_none();
    }

    /// stops, kills, stalls, network partitions and changed limits follow and overlap each other
    void random_changes_keep_the_bound()
    {
        change_in_series(cases());
    }

    void random_changes_of_many_nodes_keep_the_bound()
    {
        change_in_series(large_cases());
    }

  private:
    static constexpr double load = 12.0;
    static constexpr int changes = 12;

    static void restart_in_turn(const std::vector<churn_case>& rows)
    {
        broken_seeds broken;
        for (const churn_case& each : rows)
        {
            for (std::uint64_t seed = 1; seed <= seeds_of(each); ++seed)
            {
                limiting_fleet fleet{each.m_nodes, account_of(each), seed, each.m_data_centres};
                fleet.run(6s, 0.4 * each.m_rate);
                fleet.run(3s, load * each.m_rate);
                roll(fleet, each, 0.9, 2, 700ms);
                fleet.run(4s, load * each.m_rate);
                broken.check(fleet, each, seed);
            }
        }
        broken.assert_none();
    }

    static void change_in_series(const std::vector<churn_case>& rows)
    {
        broken_seeds broken;
        for (const churn_case& each : rows)
        {
            for (std::uint64_t seed = 1; seed <= seeds_of(each); ++seed)
            {
                limiting_fleet fleet{each.m_nodes, account_of(each), seed, each.m_data_centres};
                fleet.run(6s, 0.4 * each.m_rate);
                for (int change = 0; change < changes; ++change)
                {
                    disturb(fleet, each);
                    fleet.run(std::chrono::milliseconds{100 + fleet.random().below(1400)},
                              load * each.m_rate);
                }
                fleet.cut({});
                fleet.run(6s, load * each.m_rate);
                broken.check(fleet, each, seed);
            }
        }
        broken.assert_none();
    }

    static std::vector<churn_case> cases()
    {
        return {{7, 36.0, 36.0, 20},     {9, 42.0, 42.0, 20},    {9, 120.0, 30.0, 10},
                {8, 6.0, 6.0, 10},       {7, 36.0, 36.0, 20, 3}, {9, 42.0, 42.0, 20, 4},
                {9, 120.0, 30.0, 10, 4}, {8, 6.0, 6.0, 10, 4}};
    }

    static std::vector<churn_case> large_cases()
    {
        return {{70, 36.0, 36.0, 1}, {300, 40.0, 40.0, 1}, {88, 36.0, 36.0, 1, 3}, {300, 40.0, 40.0, 1, 6}};
    }

    static forwarding::account account_of(const churn_case& each)
    {
        return {limiting_fleet::account_name, each.m_rate, each.m_burst, {}};
    }

    static void roll(limiting_fleet& fleet, const churn_case& each, double share, std::size_t at_once,
                     duration gap)
    {
        const auto stopped = static_cast<std::size_t>(share * static_cast<double>(each.m_nodes));
        constexpr std::size_t max_stopped = 30;
        for (std::size_t node = 0; node < std::min(stopped, max_stopped); ++node)
        {
            fleet.stop(node, 3500ms);
            if (node % at_once == at_once - 1)
            {
                fleet.run(gap, load * each.m_rate);
            }
        }
    }

    static std::vector<std::size_t> groups_of(limiting_fleet& fleet)
    {
        std::vector<std::size_t> result;
        const double fraction = 0.1 + 0.4 * fleet.random().unit();
        for (std::size_t node = 0; node < fleet.nodes(); ++node)
        {
            result.push_back(fleet.random().unit() < fraction ? 1 : 0);
        }
        return result;
    }

    static void disturb(limiting_fleet& fleet, const churn_case& each)
    {
        random_source& random = fleet.random();
        const std::size_t some = 1 + random.below(std::max<std::size_t>(each.m_nodes / 3, 1));
        switch (random.below(7))
        {
        case 0:
            fleet.cut(groups_of(fleet));
            break;
        case 1:
            fleet.cut({});
            break;
        case 2:
            fleet.declare(each.m_rate * (0.5 + random.unit()), each.m_burst, 1500ms);
            break;
        case 3:
            for (std::size_t i = 0; i < some; ++i)
            {
                fleet.kill(random.below(each.m_nodes), std::chrono::milliseconds{random.below(3000)});
            }
            break;
        case 4:
            for (std::size_t i = 0; i < some; ++i)
            {
                fleet.freeze(random.below(each.m_nodes), std::chrono::milliseconds{random.below(4000)});
            }
            break;
        default:
            for (std::size_t i = 0; i < some; ++i)
            {
                fleet.stop(random.below(each.m_nodes), std::chrono::milliseconds{100 + random.below(4000)});
            }
            break;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_churn_test);

} // namespace
