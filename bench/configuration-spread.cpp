// Spreads configuration changes over simulated fleets of growing size and prints the cost.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "relay_simulation.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

constexpr auto warm_up = 10s;
constexpr auto longest_poll_period = 240s; // of 309 hosts in one data centre
constexpr auto read_window = 60s;
constexpr auto change_period = 6'171ms; // 14,000 changes a day
constexpr std::uint64_t changes = 5;

struct spread_result
{
    double m_reads_per_second{0};
    double m_mean_bytes{0}; ///< relay bytes per node and change
    double m_max_bytes{0};  ///< the same for the node that sends most
    double m_mean_hellos{0};
    std::chrono::milliseconds m_slowest{0}; ///< time until the last node has received a change
};

/// time from a publication until every node has received it
std::chrono::milliseconds time_to_all(relay_simulation& fleet, revision_number number)
{
    const time_point published = fleet.now();
    const auto has_it = [number](const simulated_node& node)
    {
        return node.in_force() >= number;
    };
    while (!std::all_of(fleet.nodes().begin(), fleet.nodes().end(), has_it) && fleet.now() < published + 60s)
    {
        fleet.run_until(fleet.now() + 1ms);
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now() - published);
}

fleet_shape shape_of(std::size_t nodes, std::size_t data_centres, std::chrono::milliseconds tick)
{
    fleet_shape shape;
    shape.m_nodes = nodes;
    shape.m_data_centres = data_centres;
    shape.m_tick = tick;
    shape.m_has_periodic_hellos = false;
    shape.m_settings.m_peer_timeout = std::chrono::hours{24};
    return shape;
}

void start_all(relay_simulation& fleet, std::size_t entries)
{
    fleet.publish(services_text(0, entries), true);
    for (std::size_t index = 0; index < fleet.nodes().size(); ++index)
    {
        fleet.start(index);
    }
}

/// reads per second in steady state, at the usual rate of changes
double reads_per_second(std::size_t nodes, std::size_t data_centres)
{
    relay_simulation fleet{shape_of(nodes, data_centres, 1s), 1};
    start_all(fleet, 1);
    fleet.run_until(fleet.now() + longest_poll_period);
    const std::uint64_t before = fleet.platform_reads();
    const time_point end = fleet.now() + read_window;
    for (std::uint64_t change = 1; fleet.now() < end; ++change)
    {
        fleet.publish(services_text(change, 1), true);
        fleet.run_until(std::min(end, fleet.now() + change_period));
    }
    return static_cast<double>(fleet.platform_reads() - before) /
           std::chrono::duration<double>(read_window).count();
}

spread_result measure(std::size_t nodes, std::size_t data_centres, std::size_t entries)
{
    relay_simulation fleet{shape_of(nodes, data_centres, 250ms), 1};
    start_all(fleet, entries);
    fleet.run_until(fleet.now() + warm_up);
    for (simulated_node& node : fleet.nodes())
    {
        node.m_sent_bytes = 0;
        node.m_sent_hellos = 0;
    }
    spread_result result;
    for (std::uint64_t change = 1; change <= changes; ++change)
    {
        const time_point next = fleet.now() + change_period;
        fleet.publish(services_text(change, entries), true);
        result.m_slowest = std::max(result.m_slowest, time_to_all(fleet, change + 1));
        fleet.run_until(next);
    }
    result.m_reads_per_second = reads_per_second(nodes, data_centres);
    for (const simulated_node& node : fleet.nodes())
    {
        const double bytes = static_cast<double>(node.m_sent_bytes) / static_cast<double>(changes);
        result.m_mean_bytes += bytes / static_cast<double>(nodes);
        result.m_max_bytes = std::max(result.m_max_bytes, bytes);
        result.m_mean_hellos +=
            static_cast<double>(node.m_sent_hellos) / static_cast<double>(nodes * changes);
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    struct row
    {
        std::size_t m_nodes;
        std::size_t m_data_centres;
    };
    const std::size_t entries = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 30;
    const std::size_t max_nodes = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 6'800;
    std::printf("text of %zu bytes\n", services_text(0, entries).size());
    std::printf("nodes  data centres  reads/s  mean B/change  max B/change  hellos/change  slowest ms\n");
    for (const row& each :
         {row{9, 4}, row{44, 22}, row{220, 22}, row{1'100, 22}, row{2'200, 22}, row{6'800, 22}})
    {
        if (each.m_nodes > max_nodes)
        {
            break;
        }
        const spread_result result = measure(each.m_nodes, each.m_data_centres, entries);
        std::printf("%5zu  %12zu  %7.1f  %13.0f  %12.0f  %13.0f  %10lld\n", each.m_nodes, each.m_data_centres,
                    result.m_reads_per_second, result.m_mean_bytes, result.m_max_bytes, result.m_mean_hellos,
                    static_cast<long long>(result.m_slowest.count()));
    }
    return 0;
}
