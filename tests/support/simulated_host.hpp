#pragma once

#include <memory>

#include "teasellead/fleet/account_limiter.hpp"
#include "teasellead/fleet/membership.hpp"

namespace teasellead::testing
{

/// membership settings, limit policy, random network faults and periods of a simulated fleet
struct simulation_settings
{
    membership_settings m_membership;
    limit_policy m_policy{lending{}};
    double m_loss{0.0};
    double m_duplication{0.0};
    double m_long_delay{0.0};  ///< fraction of the messages that take up to 3 s
    double m_clock_drift{0.0}; ///< largest relative difference between clock rates
    duration m_tick{std::chrono::milliseconds{20}};
    duration m_list_period{std::chrono::milliseconds{700}};
};

/// a process of a simulated host
struct simulated_host
{
    listed_host m_host;
    node_incarnation m_incarnation{0};
    std::unique_ptr<membership> m_membership;
    std::unique_ptr<account_limiter> m_limiter;
    std::uint64_t m_views_version{0};
    revision_number m_revision{0};
    time_point m_paused_until;
    time_point m_exits_at;
    duration m_clock_offset{0};
    double m_clock_rate{1.0};
    unsigned m_side{0}; ///< side of a network partition; messages pass only between hosts on the same side
    double m_weight{1.0};
    bool m_reaches_platform{true};
    bool m_leaving{false};
};

} // namespace teasellead::testing
