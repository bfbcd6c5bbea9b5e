#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "teasellead/forwarding/dispatch.hpp"

namespace teasellead::forwarding
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds busy_retry_after{100};
constexpr milliseconds unreachable_retry_after{400};

} // namespace

void dispatch::conclude(time_point now, actions& result)
{
    if (m_result)
    {
        return;
    }
    if (m_request.m_scatter)
    {
        conclude_scatter(now, result);
    }
    else
    {
        conclude_one(now, result);
    }
}

void dispatch::conclude_one(time_point now, actions& result)
{
    leg& only = m_legs.front();
    const bool is_late = now >= m_request.m_end;
    if (only.m_state == leg_state::open && !is_late)
    {
        return;
    }
    if (only.m_reply)
    {
        finish(forwarded{std::move(*only.m_reply)}, result);
        return;
    }
    finish(no_answer(only.m_reason, now), result);
}

void dispatch::conclude_scatter(time_point now, actions& result)
{
    const auto count = [this](leg_state state)
    {
        return static_cast<std::size_t>(std::count_if(
            m_legs.begin(), m_legs.end(), [state](const leg& each) { return each.m_state == state; }));
    };
    const std::size_t answered = count(leg_state::answered);
    const std::size_t open = count(leg_state::open);
    const double shards = static_cast<double>(m_legs.size());
    const double min_coverage = m_request.m_scatter->m_least_coverage;
    const bool is_covered = answered > 0 && static_cast<double>(answered) / shards >= min_coverage;
    const bool is_reachable =
        static_cast<double>(answered + open) / shards >= min_coverage && answered + open > 0;
    const bool is_done = open == 0 || (is_covered && now >= m_partial_from);
    if (is_covered && is_done)
    {
        gathered outcome;
        outcome.m_missing_shards = describe_missing();
        for (leg& each : m_legs)
        {
            if (each.m_state == leg_state::answered)
            {
                outcome.m_parts.push_back(std::move(*each.m_reply));
            }
        }
        outcome.m_missing = m_legs.size() - answered;
        outcome.m_top = m_request.m_scatter->m_top;
        finish(std::move(outcome), result);
        return;
    }
    if (!is_reachable)
    {
        const auto missing = std::find_if(m_legs.begin(), m_legs.end(),
                                          [](const leg& each) { return each.m_state == leg_state::missing; });
        finish(no_answer(missing == m_legs.end() ? failure_reason::no_upstream : missing->m_reason, now),
               result);
    }
}

std::string dispatch::describe_missing() const
{
    std::string result;
    for (std::size_t i = 0; i < m_legs.size(); ++i)
    {
        if (m_legs[i].m_state == leg_state::answered)
        {
            continue;
        }
        const bool is_open = m_legs[i].m_state == leg_state::open;
        result += result.empty() ? "" : ",";
        result += m_request.m_services[i] + ":";
        result += is_open ? "slow" : std::string{to_string(m_legs[i].m_reason)};
    }
    return result;
}

void dispatch::finish(dispatch_result outcome, actions& result)
{
    m_result = std::move(outcome);
    m_context->m_crashes.end_trial(m_ticket);
    for (attempt_number i = 0; i < m_attempts.size(); ++i)
    {
        if (m_attempts[i].m_is_active)
        {
            result.emplace_back(release_attempt{i});
        }
    }
}

milliseconds dispatch::until_end_of_pause(time_point now) const
{
    std::optional<time_point> first;
    for (std::size_t i = 0; i < m_legs.size(); ++i)
    {
        const auto end = m_context->m_directory.end_of_pause(m_request.m_services[i], now);
        if (end && m_legs[i].m_state != leg_state::answered)
        {
            first = std::min(first.value_or(time_point::max()), *end);
        }
    }
    return first ? std::chrono::ceil<milliseconds>(*first - now) : milliseconds::zero();
}

unanswered dispatch::no_answer(failure_reason reason, time_point now) const
{
    if (reason == failure_reason::paused)
    {
        return unanswered{reason, current_verdict(), until_end_of_pause(now)};
    }
    if (reason == failure_reason::isolated || reason == failure_reason::crashes)
    {
        return unanswered{reason, current_verdict(), m_denied.m_retry_after};
    }
    const milliseconds base =
        reason == failure_reason::overloaded ? busy_retry_after : unreachable_retry_after;
    const auto spread =
        static_cast<std::int64_t>(static_cast<double>(base.count()) * m_context->m_random.unit());
    return unanswered{reason, current_verdict(), base + milliseconds{spread}};
}

} // namespace teasellead::forwarding
