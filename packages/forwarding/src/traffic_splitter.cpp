#include "teasellead/forwarding/traffic_splitter.hpp"

#include <algorithm>

namespace teasellead::forwarding
{

const std::string& traffic_splitter::choose(const std::string& name, const traffic_split& split)
{
    route_state& state = m_routes[name];
    if (state.m_split != split)
    {
        state = {split, std::vector<double>(split.m_services.size(), 0.0)};
    }
    double total = 0.0;
    for (std::size_t i = 0; i < split.m_services.size(); ++i)
    {
        state.m_credits[i] += split.m_services[i].m_weight;
        total += split.m_services[i].m_weight;
    }
    const auto most = std::max_element(state.m_credits.begin(), state.m_credits.end());
    *most -= total;
    return split.m_services[static_cast<std::size_t>(most - state.m_credits.begin())].m_service;
}

} // namespace teasellead::forwarding
