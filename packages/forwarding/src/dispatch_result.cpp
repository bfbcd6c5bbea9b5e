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
        conclude_single(now, result);
    }
}

void dispatch::conclude_single(time_point now, actions& result)
{
    sub_request& only = m_sub_requests.front();
    const bool is_late = now >= m_request.m_response_deadline;
    if (only.m_state == sub_request_state::pending && !is_late)
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
    const auto count = [this](sub_request_state state)
    {
        return static_cast<std::size_t>(std::count_if(m_sub_requests.begin(), m_sub_requests.end(),
                                                      [state](const sub_request& each)
                                                      { return each.m_state == state; }));
    };
    const std::size_t answered = count(sub_request_state::answered);
    const std::size_t pending = count(sub_request_state::pending);
    const double shards = static_cast<double>(m_sub_requests.size());
    const double min_coverage = m_request.m_scatter->m_min_coverage;
    const bool is_covered = answered > 0 && static_cast<double>(answered) / shards >= min_coverage;
    const bool is_reachable =
        static_cast<double>(answered + pending) / shards >= min_coverage && answered + pending > 0;
    const bool is_done = pending == 0 || (is_covered && now >= m_partial_from);
    if (is_covered && is_done)
    {
        gathered outcome;
        outcome.m_missing_shards = describe_missing();
        for (sub_request& each : m_sub_requests)
        {
            if (each.m_state == sub_request_state::answered)
            {
                outcome.m_shard_replies.push_back(std::move(*each.m_reply));
            }
        }
        outcome.m_missing = m_sub_requests.size() - answered;
        outcome.m_max_records = m_request.m_scatter->m_max_records;
        finish(std::move(outcome), result);
        return;
    }
    if (!is_reachable)
    {
        const auto missing =
            std::find_if(m_sub_requests.begin(), m_sub_requests.end(),
                         [](const sub_request& each) { return each.m_state == sub_request_state::missing; });
        finish(
            no_answer(missing == m_sub_requests.end() ? failure_reason::no_upstream : missing->m_reason, now),
            result);
    }
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

void dispatch::finish(dispatch_result outcome, actions& result)
{
    m_result = std::move(outcome);
    m_context->m_crash_guard.end_trial(m_trial_id);
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
    for (std::size_t i = 0; i < m_sub_requests.size(); ++i)
    {
        const auto end = m_context->m_directory.end_of_pause(m_request.m_services[i], now);
        if (end && m_sub_requests[i].m_state != sub_request_state::answered)
        {
            first = std::min(first.value_or(time_point::max()), *end);
        }
    }
    return first ? std::chrono::ceil<milliseconds>(*first - now) : milliseconds::zero();
}

unanswered dispatch::no_answer(failure_reason reason, time_point now) const
{
    if (reason == failure_reason::upstreams_paused)
    {
        return unanswered{reason, current_verdict(), until_end_of_pause(now)};
    }
    if (reason == failure_reason::isolated || reason == failure_reason::crashes_upstreams)
    {
        return unanswered{reason, current_verdict(), m_denied.m_retry_after};
    }
    if (reason == failure_reason::stopping)
    {
        // another node can serve the request at once
        return unanswered{reason, current_verdict(), milliseconds::zero()};
    }
    const milliseconds base =
        reason == failure_reason::overloaded ? busy_retry_after : unreachable_retry_after;
    const auto spread =
        static_cast<std::int64_t>(static_cast<double>(base.count()) * m_context->m_random.unit());
    return unanswered{reason, current_verdict(), base + milliseconds{spread}};
}

} // namespace teasellead::forwarding
