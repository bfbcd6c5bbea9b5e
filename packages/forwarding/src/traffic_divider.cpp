#include "teasellead/forwarding/traffic_divider.hpp"

#include <algorithm>

namespace teasellead::forwarding
{

const std::string& traffic_divider::choose(const std::string& name, const traffic_division& division)
{
    route_state& state = m_routes[name];
    if (state.m_division != division)
    {
        state = {division, std::vector<double>(division.m_parts.size(), 0.0)};
    }
    double total = 0.0;
    for (std::size_t i = 0; i < division.m_parts.size(); ++i)
    {
        state.m_credits[i] += division.m_parts[i].m_weight;
        total += division.m_parts[i].m_weight;
    }
    const auto most = std::max_element(state.m_credits.begin(), state.m_credits.end());
    *most -= total;
    return division.m_parts[static_cast<std::size_t>(most - state.m_credits.begin())].m_service;
}

} // namespace teasellead::forwarding
