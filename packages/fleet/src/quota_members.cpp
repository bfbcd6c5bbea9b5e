#include "teasellead/fleet/quota_members.hpp"

#include <algorithm>
#include <chrono>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

// number of nodes that a search for a bucket asks
constexpr std::size_t order_size = 4;

// time after which all nodes have detected a network partition or its end
constexpr std::chrono::milliseconds partition_detection_time{2500};

struct scored_node
{
    std::uint64_t m_score{0};
    endpoint m_address;
};

void insert(std::vector<scored_node>& first, const scored_node& node)
{
    const auto position = std::find_if(
        first.begin(), first.end(), [&node](const scored_node& each) { return each.m_score < node.m_score; });
    if (position == first.end() && first.size() >= order_size)
    {
        return;
    }
    first.insert(position, node);
    first.resize(std::min(first.size(), order_size));
}

std::vector<endpoint> addresses_of(const std::vector<scored_node>& nodes)
{
    std::vector<endpoint> result;
    result.reserve(nodes.size());
    for (const scored_node& each : nodes)
    {
        result.push_back(each.m_address);
    }
    return result;
}

} // namespace

bool quota_members::update(member_view view, time_point now)
{
    std::sort(view.m_others.begin(), view.m_others.end());
    const bool has_changed = view != m_view;
    if (has_changed)
    {
        m_view = std::move(view);
        ++m_version;
    }
    const auto responsive =
        1 + std::count_if(m_view.m_others.begin(), m_view.m_others.end(),
                          [](const peer_status& each) { return !each.m_is_unresponsive; });
    const double part = static_cast<double>(responsive) / static_cast<double>(m_view.m_others.size() + 1);
    // the other side of a network partition may still count nodes that this side has just reached again
    if (part <= m_responsive_fraction || now >= m_responsive_fraction_until)
    {
        m_responsive_fraction = part;
        m_responsive_fraction_until = now + partition_detection_time;
    }
    return has_changed;
}

const peer_status* quota_members::find(const endpoint& address) const
{
    const std::vector<peer_status>& others = m_view.m_others;
    const auto found = std::lower_bound(others.begin(), others.end(), address,
                                        [](const peer_status& each, const endpoint& wanted)
                                        { return each.m_address < wanted; });
    return found != others.end() && found->m_address == address ? &*found : nullptr;
}

holder_order quota_members::order_of(std::uint64_t key) const
{
    std::vector<scored_node> responsive;
    std::vector<scored_node> all;
    const auto add = [&](const endpoint& address, bool is_unresponsive)
    {
        const scored_node node{rendezvous_score(key, address.packed()), address};
        insert(all, node);
        if (!is_unresponsive)
        {
            insert(responsive, node);
        }
    };
    for (const peer_status& each : m_view.m_others)
    {
        if (!each.m_is_leaving)
        {
            add(each.m_address, each.m_is_unresponsive);
        }
    }
    if (!m_view.m_is_leaving)
    {
        add(m_self, false);
    }
    return {addresses_of(responsive), addresses_of(all)};
}

} // namespace teasellead
