#include "teasellead/forwarding/dispatch.hpp"

#include <algorithm>
#include <cmath>

namespace teasellead::forwarding
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned first_server_error = 500;
// fractions of the latency objective
constexpr double capacity_wait_fraction = 0.22;
constexpr double min_hedge_fraction = 0.08;
constexpr double max_hedge_fraction = 0.4;
constexpr double min_partial_fraction = 0.65;
// time for the response to reach the caller, and for the caller to connect before its request
constexpr duration caller_network_time = milliseconds{16};
constexpr int overdue_factor = 2;

duration fraction_of(duration whole, double fraction)
{
    return std::chrono::duration_cast<duration>(whole * fraction);
}

} // namespace

std::string_view to_string(failure_reason reason) noexcept
{
    switch (reason)
    {
    case failure_reason::no_upstream:
        return "no_upstream";
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

dispatch::dispatch(dispatch_request request, dispatch_context& context, time_point now)
    : m_request(std::move(request)), m_context(&context),
      m_partial_from(m_request.m_arrived +
                     std::max(m_request.m_objective - caller_network_time,
                              fraction_of(m_request.m_objective, min_partial_fraction))),
      m_capacity_wait_end(now + fraction_of(m_request.m_objective, capacity_wait_fraction)),
      m_sub_requests(m_request.m_services.size())
{
}

std::vector<dispatch_action> dispatch::start(time_point now)
{
    actions result;
    for (const std::string& service : m_request.m_services)
    {
        m_context->m_budget.on_request(service, now);
    }
    // a scatter that can't reach the required coverage sends nothing
    if (m_request.m_scatter)
    {
        const auto reachable = std::count_if(m_request.m_services.begin(), m_request.m_services.end(),
                                             [this, now](const std::string& service)
                                             { return m_context->m_directory.has_candidates(service, now); });
        const double coverage = static_cast<double>(reachable) / static_cast<double>(m_sub_requests.size());
        if (reachable == 0 || coverage < m_request.m_scatter->m_min_coverage)
        {
            const bool is_paused = until_end_of_pause(now) > milliseconds::zero();
            finish(no_answer(is_paused ? failure_reason::upstreams_paused : failure_reason::no_upstream, now),
                   result);
            return result;
        }
    }
    for (std::size_t i = 0; i < m_sub_requests.size(); ++i)
    {
        try_send(m_sub_requests[i], i, now, result);
    }
    conclude(now, result);
    return result;
}

void dispatch::try_send(sub_request& target, std::size_t index, time_point now, actions& result)
{
    if (target.m_sent >= m_request.m_max_attempts)
    {
        return;
    }
    const std::string& service = m_request.m_services[index];
    const guard_decision decision = check_crash_guard(service, now);
    if (decision == guard_decision::wait || decision == guard_decision::denied)
    {
        wait_or_end(target, decision, now);
        return;
    }
    const auto has_capacity = [this, now](const upstream& candidate)
    {
        return m_context->m_cold_starts.may_send(candidate, now) && m_context->m_has_capacity(candidate);
    };
    const auto chosen =
        m_context->m_directory.choose(service, target.m_tried, has_capacity, m_context->m_random, now);
    if (const auto* reason = std::get_if<no_upstream>(&chosen))
    {
        on_no_upstream(target, *reason, now);
        return;
    }
    const bool is_extra = target.m_sent > 0;
    if (is_extra && !m_context->m_budget.try_spend(service, now))
    {
        on_no_upstream(target, no_upstream::all_tried, now);
        return;
    }
    send(index, std::get<shared_upstream>(chosen), decision == guard_decision::trial, now, result);
}

void dispatch::send(std::size_t index, const shared_upstream& selected, bool is_trial, time_point now,
                    actions& result)
{
    sub_request& target = m_sub_requests[index];
    m_is_trial_active = m_is_trial_active || is_trial;
    target.m_is_waiting = false;
    target.m_tried.push_back(selected);
    ++target.m_sent;
    ++target.m_in_flight;
    target.m_next_check = is_trial ? time_point::max() : now + hedge_delay();
    m_attempts.push_back({index, selected, now, is_trial});
    selected->on_start(now);
    m_context->m_cold_starts.on_send(*selected, now);
    result.emplace_back(send_attempt{m_attempts.size() - 1, selected});
}

void dispatch::on_no_upstream(sub_request& target, no_upstream reason, time_point now)
{
    if (target.m_in_flight > 0)
    {
        target.m_next_check = time_point::max();
        return;
    }
    if (reason == no_upstream::all_busy && now < m_capacity_wait_end)
    {
        wait(target, m_capacity_wait_end, now);
        return;
    }
    if (reason == no_upstream::all_paused)
    {
        end_sub_request(target, sub_request_state::missing, failure_reason::upstreams_paused);
        return;
    }
    const bool is_full = reason == no_upstream::all_busy;
    const failure_reason known =
        target.m_sent > 0 ? failure_reason::upstreams_failed : failure_reason::no_upstream;
    end_sub_request(target, sub_request_state::missing, is_full ? failure_reason::overloaded : known);
}

duration dispatch::hedge_delay() const
{
    const duration longest = fraction_of(m_request.m_objective, max_hedge_fraction);
    const auto known = m_context->m_latency_estimates.find(m_request.m_route);
    const auto late =
        known == m_context->m_latency_estimates.end() ? std::nullopt : known->second.late_threshold();
    return late ? std::clamp(*late, fraction_of(m_request.m_objective, min_hedge_fraction), longest)
                : longest;
}

void dispatch::on_notice(attempt_number attempt, const upstream_notice& notice, time_point now)
{
    m_context->m_directory.on_notice(*m_attempts.at(attempt).m_upstream, notice, now);
}

std::vector<dispatch_action> dispatch::on_reply(attempt_number attempt, upstream_reply reply, time_point now)
{
    actions result;
    attempt_state& answered = m_attempts.at(attempt);
    if (!answered.m_is_active)
    {
        return result;
    }
    answered.m_is_active = false;
    sub_request& target = m_sub_requests[answered.m_sub_request];
    --target.m_in_flight;
    answered.m_verdict = verdict::ran;
    m_is_trial_active = m_is_trial_active && !answered.m_is_trial;
    m_context->m_crash_guard.on_reply(m_request.m_fingerprint, m_request.m_services[answered.m_sub_request],
                                      answered.m_upstream->process(), answered.m_began, now);
    const bool is_success = reply.is_success();
    const bool is_retryable = may_repeat() && reply.m_status >= first_server_error;
    if (is_success)
    {
        answered.m_upstream->on_reply(answered.m_began, now);
        m_context->m_latency_estimates[m_request.m_route].add(
            std::min(now - answered.m_began, m_request.m_objective));
    }
    else
    {
        answered.m_upstream->on_failure(answered.m_began, attempt_failure::failed, now);
    }
    if (target.m_state != sub_request_state::pending || m_result)
    {
        return result;
    }
    target.m_reply = std::move(reply);
    // an error reply doesn't count as a shard reply, but is forwarded to the caller of a single request
    if (is_success || (!m_request.m_scatter && !is_retryable))
    {
        end_sub_request(target, sub_request_state::answered, failure_reason::upstreams_failed);
        release_sub_request(answered.m_sub_request, result);
    }
    else
    {
        retry_or_end(answered.m_sub_request, failure_reason::upstreams_failed, now, result);
    }
    conclude(now, result);
    return result;
}

std::vector<dispatch_action> dispatch::on_failure(attempt_number attempt, attempt_failure failure,
                                                  time_point now)
{
    actions result;
    attempt_state& failed = m_attempts.at(attempt);
    if (!failed.m_is_active)
    {
        return result;
    }
    failed.m_is_active = false;
    sub_request& target = m_sub_requests[failed.m_sub_request];
    --target.m_in_flight;
    record_failure(failed, failure, now);
    const bool never_arrived =
        failure == attempt_failure::not_connected || failure == attempt_failure::not_sent;
    if (never_arrived)
    {
        --target.m_sent;
    }
    if (target.m_state != sub_request_state::pending || m_result)
    {
        return result;
    }
    retry_or_end(failed.m_sub_request, failure_reason::upstreams_failed, now, result);
    conclude(now, result);
    return result;
}

void dispatch::record_failure(attempt_state& failed, attempt_failure failure, time_point now)
{
    failed.m_verdict = proves_not_run(failure) ? verdict::not_run : verdict::may_have_run;
    if (failed.m_is_trial)
    {
        m_is_trial_active = false;
        m_is_trial_used = failed.m_verdict != verdict::not_run;
    }
    report_to_crash_guard(failed, failure, now);
    if (failure == attempt_failure::not_sent)
    {
        // nothing was sent, so this isn't evidence of a fault of the upstream
        failed.m_upstream->on_cancelled(failed.m_began);
        return;
    }
    failed.m_upstream->on_failure(failed.m_began, failure, now);
}

void dispatch::report_to_crash_guard(const attempt_state& failed, attempt_failure failure, time_point now)
{
    crash_guard& guard = m_context->m_crash_guard;
    const std::string& service = m_request.m_services[failed.m_sub_request];
    const upstream_process process = failed.m_upstream->process();
    switch (failure)
    {
    case attempt_failure::failed:
        guard.on_reply(m_request.m_fingerprint, service, process, failed.m_began, now);
        return;
    case attempt_failure::shed:
    case attempt_failure::unusable:
        guard.on_process_alive(process, failed.m_began, now);
        return;
    case attempt_failure::wrong_instance:
        guard.on_ended(process, now);
        return;
    case attempt_failure::broken:
        // an upstream that is shutting down closes its connections intentionally
        if (!failed.m_upstream->is_leaving())
        {
            guard.on_lost(m_request.m_fingerprint, service, process, failed.m_is_trial, now);
        }
        return;
    case attempt_failure::not_connected:
    case attempt_failure::not_sent:
    case attempt_failure::abandoned:
        return;
    }
}

void dispatch::on_abandoned(attempt_number attempt, time_point now)
{
    attempt_state& ended = m_attempts.at(attempt);
    if (!ended.m_is_active)
    {
        return;
    }
    ended.m_is_active = false;
    --m_sub_requests[ended.m_sub_request].m_in_flight;
    const duration expected =
        std::max(ended.m_upstream->mean_latency(), fraction_of(m_request.m_objective, 1.0));
    if (now - ended.m_began > expected * overdue_factor)
    {
        ended.m_upstream->on_failure(ended.m_began, attempt_failure::abandoned, now);
        return;
    }
    ended.m_upstream->on_cancelled(ended.m_began);
}

void dispatch::retry_or_end(std::size_t index, failure_reason reason, time_point now, actions& result)
{
    sub_request& target = m_sub_requests[index];
    target.m_reason = reason;
    const bool may_retry = may_repeat() || current_verdict() == verdict::not_run;
    if (may_retry && target.m_sent < m_request.m_max_attempts)
    {
        try_send(target, index, now, result);
        return;
    }
    if (target.m_in_flight == 0)
    {
        end_sub_request(target, sub_request_state::missing, reason);
    }
}

void dispatch::end_sub_request(sub_request& target, sub_request_state state, failure_reason reason)
{
    target.m_state = state;
    target.m_reason = reason;
    target.m_is_waiting = false;
}

void dispatch::end_pending(failure_reason reason)
{
    for (sub_request& target : m_sub_requests)
    {
        if (target.m_state == sub_request_state::pending)
        {
            end_sub_request(target, sub_request_state::missing, reason);
        }
    }
}

void dispatch::release_sub_request(std::size_t index, actions& result)
{
    for (attempt_number i = 0; i < m_attempts.size(); ++i)
    {
        if (m_attempts[i].m_sub_request == index && m_attempts[i].m_is_active)
        {
            result.emplace_back(release_attempt{i});
        }
    }
}

std::vector<dispatch_action> dispatch::on_timer(time_point now)
{
    actions result;
    m_checked_at = now;
    if (m_result)
    {
        return result;
    }
    if (now >= m_request.m_response_deadline)
    {
        end_pending(failure_reason::timed_out);
    }
    for (std::size_t i = 0; i < m_sub_requests.size(); ++i)
    {
        check(i, now, result);
    }
    conclude(now, result);
    return result;
}

void dispatch::check(std::size_t index, time_point now, actions& result)
{
    sub_request& target = m_sub_requests[index];
    if (target.m_state != sub_request_state::pending || now < target.m_next_check)
    {
        return;
    }
    if (target.m_is_waiting)
    {
        try_send(target, index, now, result);
        return;
    }
    // hedge: a second attempt while the first one is slow
    target.m_next_check = time_point::max();
    if (may_repeat() && !target.m_is_hedged)
    {
        target.m_is_hedged = true;
        try_send(target, index, now, result);
    }
}

std::vector<dispatch_action> dispatch::end_early(failure_reason reason, time_point now)
{
    actions result;
    if (!m_result)
    {
        end_pending(reason);
        conclude(now, result);
    }
    return result;
}

std::vector<dispatch_action> dispatch::cancel()
{
    actions result;
    m_context->m_crash_guard.end_trial(m_trial_id);
    for (std::size_t i = 0; i < m_sub_requests.size(); ++i)
    {
        end_sub_request(m_sub_requests[i], sub_request_state::missing, failure_reason::timed_out);
        release_sub_request(i, result);
    }
    return result;
}

time_point dispatch::next_wakeup() const
{
    time_point result = m_request.m_response_deadline;
    if (m_request.m_scatter && m_checked_at < m_partial_from)
    {
        result = std::min(result, m_partial_from);
    }
    for (const sub_request& target : m_sub_requests)
    {
        if (target.m_state == sub_request_state::pending)
        {
            result = std::min(result, target.m_next_check);
        }
    }
    return result;
}

verdict dispatch::current_verdict() const noexcept
{
    verdict result = verdict::not_run;
    for (const attempt_state& each : m_attempts)
    {
        result = combine(result, each.m_verdict);
    }
    return result;
}

} // namespace teasellead::forwarding
