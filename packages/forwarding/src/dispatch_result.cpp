#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "teasellead/forwarding/dispatch.hpp"
#include "teasellead/forwarding/retry_after.hpp"

namespace teasellead::forwarding
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds busy_retry_after{100};
constexpr milliseconds unreachable_retry_after{400};

} // namespace

std::string_view to_string(failure_reason reason) noexcept
{
    switch (reason)
    {
    case failure_reason::no_upstream:
        return "no_upstream";
    case failure_reason::unlikely_whole:
        return "unlikely_whole";
    case failure_reason::overloaded:
        return "overloaded";
    case failure_reason::upstreams_failed:
        return "upstreams_failed";
    case failure_reason::upstreams_paused:
        return "upstreams_paused";
    case failure_reason::isolated:
        return "isolated";
    case failure_reason::crashes_upstreams:
        return "crashes_upstreams";
    case failure_reason::timed_out:
        return "timed_out";
    case failure_reason::stopping:
        return "stopping";
    }
    return "unknown";
}

void dispatch::conclude(time_point now, time_point input_read, actions& result)
{
    if (m_result)
    {
        return;
    }
    if (m_request.m_scatter)
    {
        conclude_scatter(now, input_read, result);
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

void dispatch::finish(dispatch_result outcome, actions& result)
{
    m_result = std::move(outcome);
    const auto* const failed = std::get_if<unanswered>(&*m_result);
    if (failed != nullptr && failed->m_verdict == verdict::not_run)
    {
        ++m_context->m_statistics.m_refusals[{failed->m_reason, m_request.m_priority}];
    }
    for (sub_request& each : m_sub_requests)
    {
        each.m_place.reset();
    }
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
    const bool is_temporary =
        reason == failure_reason::overloaded || reason == failure_reason::unlikely_whole;
    return_conditions conditions;
    conditions.m_base = is_temporary ? busy_retry_after : unreachable_retry_after;
    conditions.m_expected_wait = reason == failure_reason::overloaded ? expected_wait(now) : duration::zero();
    conditions.m_more_urgent = standing_at(m_request.m_services.front(), now).m_more_urgent;
    conditions.m_time_left = m_request.m_response_deadline - now;
    return unanswered{reason, current_verdict(), retry_after_of(conditions, m_context->m_random)};
}

} // namespace teasellead::forwarding
