#include "teasellead/forwarding/recent_priorities.hpp"

#include <algorithm>

namespace teasellead::forwarding
{

namespace
{

constexpr std::size_t max_priorities = 8;

} // namespace

void recent_priorities::on_request(const std::string& service, std::uint32_t priority, time_point now)
{
    std::vector<seen_priority>& seen = m_services[service];
    const auto known =
        std::find_if(seen.begin(), seen.end(),
                     [priority](const seen_priority& each) { return each.m_priority == priority; });
    if (known != seen.end())
    {
        known->m_seen_at = now;
        return;
    }
    if (seen.size() < max_priorities)
    {
        seen.push_back({priority, now});
        return;
    }
    const auto oldest = std::min_element(seen.begin(), seen.end(),
                                         [](const seen_priority& left, const seen_priority& right)
                                         { return left.m_seen_at < right.m_seen_at; });
    *oldest = {priority, now};
}

priority_standing recent_priorities::standing_of(const std::string& service, std::uint32_t priority,
                                                 time_point now) const
{
    priority_standing result;
    const auto known = m_services.find(service);
    if (known == m_services.end())
    {
        return result;
    }
    for (const seen_priority& each : known->second)
    {
        const bool is_recent = now - each.m_seen_at < window;
        result.m_more_urgent += is_recent && each.m_priority < priority ? 1U : 0U;
        result.m_less_urgent += is_recent && each.m_priority > priority ? 1U : 0U;
    }
    return result;
}

} // namespace teasellead::forwarding
