#include "teasellead/routing/cold_permits.hpp"

#include <algorithm>

namespace teasellead
{

cold_permits::cold_permits(upstream_table& upstreams, std::uint64_t first_lease,
                           cold_permit_settings settings)
    : m_upstreams(&upstreams), m_next_lease(first_lease), m_settings(settings)
{
}

void cold_permits::return_finished_leases(time_point now, std::vector<permit_request>& result)
{
    for (auto& [upstream, request] : m_pending)
    {
        if (!request.m_granted)
        {
            continue;
        }
        const auto finished = m_upstreams->take_finished_lease(upstream, now);
        if (finished.has_value())
        {
            result.push_back({request.m_owner, upstream, *finished, std::chrono::milliseconds{0}});
            request.m_granted = false;
            request.m_retry_at = now;
        }
    }
}

std::vector<permit_request> cold_permits::on_tick(time_point now)
{
    std::vector<permit_request> result;
    return_finished_leases(now, result);
    std::erase_if(m_pending, [now](const auto& request) { return request.second.m_retry_at <= now; });
    for (const cold_demand& demand : m_upstreams->take_cold_demands())
    {
        // a grant that arrives later than this isn't used
        const time_point grant_by = now + m_settings.m_term / 2;
        const pending_request request{demand.m_owner, m_next_lease, now, grant_by, false};
        if (m_pending.emplace(demand.m_upstream, request).second)
        {
            result.push_back({demand.m_owner, demand.m_upstream, m_next_lease, m_settings.m_term});
            ++m_next_lease;
        }
    }
    return result;
}

std::vector<permit_grant> cold_permits::on_request(const endpoint& sender, const permit_request& requested,
                                                   time_point now)
{
    if (requested.m_term <= std::chrono::milliseconds{0})
    {
        m_upstreams->end_cold_lease(requested.m_upstream, sender, requested.m_lease);
        return {};
    }
    if (requested.m_term > m_settings.m_max_term)
    {
        return {{sender, requested.m_upstream, requested.m_lease, 0, std::nullopt}};
    }
    const cold_lease lease{sender, requested.m_lease, now + requested.m_term};
    const bool is_granted = m_upstreams->grant_cold_lease(requested.m_upstream, lease, now);
    return {{sender, requested.m_upstream, requested.m_lease, is_granted ? 1U : 0U,
             m_upstreams->evidence_about(requested.m_upstream)}};
}

void cold_permits::on_grant(const endpoint& sender, const permit_grant& granted, time_point now)
{
    const auto found = m_pending.find(granted.m_upstream);
    if (found == m_pending.end())
    {
        return;
    }
    pending_request& request = found->second;
    const bool is_expected =
        request.m_owner == sender && request.m_lease == granted.m_lease && !request.m_granted;
    const time_point start_until = request.m_sent + m_settings.m_term / 2;
    if (!is_expected || now >= start_until)
    {
        return;
    }
    if (granted.m_requests == 0)
    {
        request.m_retry_at = now + m_settings.m_retry;
        return;
    }
    request.m_granted = true;
    request.m_retry_at = request.m_sent + m_settings.m_term;
    m_upstreams->accept_cold_lease(granted.m_upstream, request.m_lease, start_until,
                                   request.m_sent + m_settings.m_term - m_settings.m_cancel_delay);
}

} // namespace teasellead
