#include <algorithm>
#include <utility>

#include "teasellead/forwarding/dispatch.hpp"

namespace teasellead::forwarding
{

double dispatch::chance_of_shard(std::size_t index, time_point now) const
{
    const std::string& service = m_request.m_services[index];
    const sub_request& target = m_sub_requests[index];
    const bool has_evidence = m_context->m_outlook.has_evidence(service, now);
    bool is_usable = false;
    bool has_room = false;
    std::vector<double> ratios;
    for (const shared_upstream& each : m_context->m_directory.upstreams_of(service))
    {
        if (!is_usable_for(target, *each, now))
        {
            continue;
        }
        is_usable = true;
        has_room = has_room || (each->is_below_ramp_up_limit(now) && has_capacity(*each, now));
        if (has_evidence)
        {
            ratios.push_back(m_context->m_failure_estimate(*each, now));
        }
    }
    if (!is_usable || (!has_room && !is_capacity_expected(target, service, now)))
    {
        return 0.0;
    }
    return has_evidence ? chance_of_reply(std::move(ratios), m_request.m_max_attempts) : 1.0;
}

std::optional<failure_reason> dispatch::reason_not_to_search(time_point now) const
{
    const std::vector<std::string>& services = m_request.m_services;
    std::vector<double> chances;
    for (std::size_t i = 0; i < services.size(); ++i)
    {
        chances.push_back(chance_of_shard(i, now));
    }
    const std::size_t needed = progress().needed();
    const auto reachable =
        std::count_if(chances.begin(), chances.end(), [](double chance) { return chance > 0.0; });
    if (static_cast<std::size_t>(reachable) < needed)
    {
        const auto usable = std::count_if(services.begin(), services.end(),
                                          [this, now](const std::string& service)
                                          { return m_context->m_directory.has_candidates(service, now); });
        const bool is_paused = until_end_of_pause(now) > std::chrono::milliseconds::zero();
        const failure_reason unusable =
            is_paused ? failure_reason::upstreams_paused : failure_reason::no_upstream;
        return static_cast<std::size_t>(usable) < needed ? unusable : failure_reason::overloaded;
    }
    const bool is_most_urgent = standing_at(services.front(), now).m_more_urgent == 0;
    const search_decision decision =
        m_context->m_outlook.decide(chances, needed, is_most_urgent, m_context->m_random);
    return decision == search_decision::refuse ? std::optional{failure_reason::unlikely_whole} : std::nullopt;
}

scatter_progress dispatch::progress() const
{
    return {m_sub_requests.size(), m_answered, m_pending,
            m_request.m_scatter ? m_request.m_scatter->m_min_coverage : 1.0};
}

void dispatch::conclude_scatter(time_point now, time_point input_read, actions& result)
{
    const scatter_progress current = progress();
    const bool is_done = current.m_pending == 0 || input_read >= m_partial_from;
    if (current.is_covered() && is_done)
    {
        finish(gather_replies(current), result);
        return;
    }
    if (!current.is_reachable())
    {
        const auto missing =
            std::find_if(m_sub_requests.begin(), m_sub_requests.end(),
                         [](const sub_request& each) { return each.m_state == sub_request_state::missing; });
        finish(
            no_answer(missing == m_sub_requests.end() ? failure_reason::no_upstream : missing->m_reason, now),
            result);
    }
}

gathered dispatch::gather_replies(const scatter_progress& current)
{
    gathered result;
    result.m_missing = current.m_shards - current.m_answered;
    result.m_missing_shards = describe_missing();
    result.m_max_records = m_request.m_scatter->m_max_records;
    for (sub_request& each : m_sub_requests)
    {
        if (each.m_state == sub_request_state::answered)
        {
            result.m_shard_replies.push_back(std::move(*each.m_reply));
        }
    }
    return result;
}

std::string dispatch::describe_missing() const
{
    std::string result;
    for (std::size_t i = 0; i < m_sub_requests.size(); ++i)
    {
        if (m_sub_requests[i].m_state == sub_request_state::answered)
        {
            continue;
        }
        const bool is_pending = m_sub_requests[i].m_state == sub_request_state::pending;
        result += result.empty() ? "" : ",";
        result += m_request.m_services[i] + ":";
        result += is_pending ? "slow" : std::string{to_string(m_sub_requests[i].m_reason)};
    }
    return result;
}

} // namespace teasellead::forwarding
