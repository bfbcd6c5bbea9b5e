#include "teasellead/fleet/remote_members.hpp"

#include <algorithm>
#include <utility>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

void remote_members::update(const std::vector<peer_status>& others)
{
    std::vector<data_centre_nodes> next;
    for (const peer_status& each : others)
    {
        if (each.m_is_unresponsive || each.m_is_leaving)
        {
            continue;
        }
        const auto known = std::find_if(next.begin(), next.end(),
                                        [&each](const data_centre_nodes& group)
                                        { return group.m_data_centre == each.m_data_centre; });
        data_centre_nodes& group = known != next.end() ? *known : next.emplace_back();
        group.m_data_centre = each.m_data_centre;
        group.m_nodes.push_back(each.m_address);
    }
    if (next != m_data_centres)
    {
        m_data_centres = std::move(next);
        ++m_version;
    }
}

std::vector<data_centre_nodes> remote_members::preferred(std::uint64_t key, std::size_t count) const
{
    std::vector<data_centre_nodes> result = m_data_centres;
    for (data_centre_nodes& each : result)
    {
        const std::size_t wanted = std::min(count, each.m_nodes.size());
        std::partial_sort(
            each.m_nodes.begin(), each.m_nodes.begin() + static_cast<std::ptrdiff_t>(wanted),
            each.m_nodes.end(),
            [key](const endpoint& lhs, const endpoint& rhs)
            { return rendezvous_score(key, lhs.packed()) > rendezvous_score(key, rhs.packed()); });
        each.m_nodes.resize(wanted);
    }
    const auto score = [this, key](const data_centre_nodes& each)
    {
        return rendezvous_score(key ^ each.m_data_centre, m_self.packed());
    };
    std::sort(result.begin(), result.end(),
              [&score](const data_centre_nodes& lhs, const data_centre_nodes& rhs)
              { return score(lhs) > score(rhs); });
    return result;
}

} // namespace teasellead
