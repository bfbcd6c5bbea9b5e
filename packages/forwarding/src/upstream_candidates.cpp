#include <algorithm>
#include <tuple>

#include "teasellead/forwarding/upstream_directory.hpp"

namespace teasellead::forwarding
{

std::string_view to_string(candidate_state state) noexcept
{
    switch (state)
    {
    case candidate_state::usable:
        return "usable";
    case candidate_state::leaving:
        return "leaving";
    case candidate_state::evacuated:
        return "evacuated";
    case candidate_state::ejected:
        return "ejected";
    case candidate_state::paused:
        return "paused";
    case candidate_state::ramping_up:
        return "ramping_up";
    case candidate_state::full:
        return "full";
    }
    return "unknown";
}

candidate_state upstream_directory::state_of(const upstream& candidate, const capacity_check& has_capacity,
                                             time_point now) const
{
    if (candidate.is_leaving())
    {
        return candidate_state::leaving;
    }
    if (!may_receive(candidate))
    {
        return candidate_state::evacuated;
    }
    if (candidate.is_ejected(now))
    {
        return candidate_state::ejected;
    }
    if (candidate.is_paused(now))
    {
        return candidate_state::paused;
    }
    if (!candidate.is_below_ramp_up_limit(now))
    {
        return candidate_state::ramping_up;
    }
    return has_capacity(candidate) ? candidate_state::usable : candidate_state::full;
}

std::vector<upstream_candidate> upstream_directory::candidates(const std::string& service,
                                                               const work_estimate& work,
                                                               const capacity_check& has_capacity,
                                                               time_point now) const
{
    std::vector<upstream_candidate> result;
    for (const shared_upstream& each : upstreams_of(service))
    {
        result.push_back({each, state_of(*each, has_capacity, now),
                          expected_completion(*each, work, m_distances, m_has_connection, now)});
    }
    const auto order = [](const upstream_candidate& each)
    {
        return std::tuple{each.m_state != candidate_state::usable, each.m_expected.total()};
    };
    std::sort(result.begin(), result.end(),
              [order](const upstream_candidate& lhs, const upstream_candidate& rhs)
              { return order(lhs) < order(rhs); });
    return result;
}

} // namespace teasellead::forwarding
