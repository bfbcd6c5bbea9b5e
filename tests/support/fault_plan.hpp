#pragma once

#include <string>

#include "teasellead/fleet/limit_policy.hpp"
#include "teasellead/fleet/membership.hpp"

namespace teasellead::testing
{

/// parameters of a run with random faults: length, fleet size, fault rate and the account's limit
struct fault_plan
{
    duration m_length{std::chrono::seconds{40}};
    std::size_t m_data_centres{3};
    std::size_t m_hosts{7};
    double m_faults_per_second{0.3};
    double m_rate{50.0};
    double m_burst{10.0};
    limit_policy m_policy{lending{}};
};

/// name of a data centre in a simulated fleet
inline std::string name_of(std::size_t data_centre)
{
    return "dc" + std::to_string(data_centre);
}

/// settings with short times, so that many of these time limits expire within a run
inline membership_settings short_windows()
{
    membership_settings settings;
    settings.m_list_lag = std::chrono::seconds{1};
    settings.m_list_freshness = std::chrono::seconds{2};
    settings.m_isolation_window = std::chrono::seconds{15};
    return settings;
}

} // namespace teasellead::testing
