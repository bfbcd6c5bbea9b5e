#include "teasellead/forwarding/peer_view.hpp"

#include <algorithm>

namespace teasellead::forwarding
{

namespace
{

// a load changes sooner than the state of a failing upstream
constexpr duration peer_load_lifetime = std::chrono::milliseconds{500};

constexpr double min_work_factor = 0.1;
constexpr double max_work_factor = 20.0;
constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_waiting_per_slot = 100;

/// limits what a single reporter may claim
reported_load capped(const reported_load& load) noexcept
{
    reported_load result = load;
    result.m_running = std::min(load.m_running, load.m_slots);
    result.m_waiting = std::min(load.m_waiting, load.m_slots);
    result.m_work_factor = std::min(load.m_work_factor, peer_view::single_work_factor);
    return result;
}

bool is_lower(const reported_load& left, const reported_load& right) noexcept
{
    return left.pressure() < right.pressure();
}

} // namespace

std::string_view to_string(upstream_trouble trouble) noexcept
{
    switch (trouble)
    {
    case upstream_trouble::none:
        return "none";
    case upstream_trouble::shed:
        return "shed";
    case upstream_trouble::broken:
        return "broken";
    case upstream_trouble::slow:
        return "slow";
    case upstream_trouble::other:
        return "other";
    }
    return "unknown";
}

reported_load bounded(reported_load load) noexcept
{
    load.m_slots = std::clamp(load.m_slots, 1U, max_slots);
    const std::uint32_t most = load.m_slots * max_waiting_per_slot;
    load.m_running = std::min(load.m_running, most);
    load.m_waiting = std::min(load.m_waiting, most);
    load.m_work_factor = std::clamp(load.m_work_factor, min_work_factor, max_work_factor);
    return load;
}

void peer_view::add(const std::optional<endpoint>& reporter, const upstream_observation& observed,
                    time_point now)
{
    const time_point observed_at = now - observed.m_age;
    const auto same = std::find_if(m_reports.begin(), m_reports.end(),
                                   [&](const report& each) { return each.m_reporter == reporter; });
    if (same != m_reports.end())
    {
        if (observed_at >= same->m_observed_at)
        {
            *same = {reporter, observed, observed_at};
        }
        return;
    }
    if (m_reports.size() < max_reporters)
    {
        m_reports.push_back({reporter, observed, observed_at});
        return;
    }
    const auto oldest = std::min_element(m_reports.begin(), m_reports.end(),
                                         [](const report& left, const report& right)
                                         { return left.m_observed_at < right.m_observed_at; });
    if (oldest->m_observed_at <= observed_at)
    {
        *oldest = {reporter, observed, observed_at};
    }
}

double peer_view::failure_ratio(time_point now) const noexcept
{
    double highest = 0.0;        // of all reports
    double highest_direct = 0.0; // of the reporters themselves
    double confirmed = 0.0;      // the second highest of these
    for (const report& each : m_reports)
    {
        if (now - each.m_observed_at >= observation_lifetime)
        {
            continue;
        }
        const double ratio = each.m_observed.m_failure_ratio;
        highest = std::max(highest, ratio);
        if (each.m_reporter)
        {
            confirmed = std::max(confirmed, std::min(highest_direct, ratio));
            highest_direct = std::max(highest_direct, ratio);
        }
    }
    return std::max(confirmed, std::min(highest, single_failure_ratio));
}

std::optional<reported_load> peer_view::load(time_point now) const noexcept
{
    std::optional<reported_load> highest;
    std::optional<reported_load> highest_direct;
    std::optional<reported_load> confirmed;
    for (const report& each : m_reports)
    {
        const auto& load = each.m_observed.m_load;
        if (!load || now - each.m_observed_at >= peer_load_lifetime)
        {
            continue;
        }
        if (!highest || is_lower(*highest, *load))
        {
            highest = load;
        }
        if (!each.m_reporter)
        {
            continue;
        }
        if (!highest_direct || is_lower(*highest_direct, *load))
        {
            confirmed = highest_direct;
            highest_direct = load;
        }
        else if (!confirmed || is_lower(*confirmed, *load))
        {
            confirmed = load;
        }
    }
    if (!highest)
    {
        return std::nullopt;
    }
    reported_load result = capped(*highest);
    if (confirmed && is_lower(result, *confirmed))
    {
        result = *confirmed;
    }
    // peers can't make an upstream look faster than it usually is
    result.m_work_factor = std::max(result.m_work_factor, 1.0);
    return result;
}

} // namespace teasellead::forwarding
