#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "limiting_fleet.hpp"

namespace teasellead::testing
{

/// size of a fleet and limit of its account
struct calm_fleet
{
    std::size_t m_nodes;
    std::size_t m_data_centres;
    double m_rate; ///< declared requests per second, also used as the burst
};

/// a fault, and what an account that is far from its limit may feel of it
struct calm_case
{
    std::string m_name;
    std::function<void(limiting_fleet&, double requests_per_s)> m_fault;
    duration m_excused;        ///< time after the fault in which requests may be refused
    double m_refused_fraction; ///< largest fraction of the requests that may be refused after that
};

// load on the account as a part of its rate
inline constexpr double calm_load = 0.625;
inline constexpr std::uint64_t calm_seeds = 6;

inline std::vector<calm_fleet> calm_fleet_sizes()
{
    return {{7, 3, 30.0}, {9, 4, 120.0}, {88, 3, 30.0}};
}

/// returns a line if more requests were refused than allowed
inline std::string play(const calm_fleet& size, const calm_case& each)
{
    std::size_t asked = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= calm_seeds; ++seed)
    {
        limiting_fleet fleet{size.m_nodes,
                             {limiting_fleet::account_name, size.m_rate, size.m_rate, {}},
                             seed,
                             size.m_data_centres};
        fleet.run(std::chrono::seconds{8}, calm_load * size.m_rate);
        std::size_t asked_before = fleet.asked();
        std::size_t refused_before = fleet.refused();
        each.m_fault(fleet, calm_load * size.m_rate);
        if (each.m_excused > duration::zero())
        {
            fleet.run(each.m_excused, calm_load * size.m_rate);
            asked_before = fleet.asked();
            refused_before = fleet.refused();
        }
        fleet.run(std::chrono::seconds{6}, calm_load * size.m_rate);
        fleet.check_bound();
        asked += fleet.asked() - asked_before;
        refused += fleet.refused() - refused_before;
    }
    const double fraction = static_cast<double>(refused) / static_cast<double>(asked);
    if (fraction <= each.m_refused_fraction)
    {
        return {};
    }
    return std::to_string(size.m_nodes) + " nodes in " + std::to_string(size.m_data_centres) +
           " data centres, " + each.m_name + ": " + std::to_string(fraction) + " refused\n";
}

} // namespace teasellead::testing
