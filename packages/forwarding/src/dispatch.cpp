#include "teasellead/forwarding/dispatch.hpp"
#include "teasellead/kernel/scaled_duration.hpp"

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
constexpr double min_partial_fraction = 0.65;
// time for the response to reach the caller, and for the caller to connect before its request
constexpr duration caller_network_time = milliseconds{16};
// for events other than the timer, since more input may have arrived with theirs
constexpr time_point input_unread = time_point::min();

} // namespace

dispatch::dispatch(dispatch_request request, dispatch_context& context, time_point now)
    : m_request(std::move(request)),
      m_profile(m_request.m_route, m_request.m_fingerprint, m_request.m_body_bytes), m_context(&context),
      m_partial_from(m_request.m_arrived + std::max(m_request.m_objective - caller_network_time,
                                                    scaled(m_request.m_objective, min_partial_fraction))),
      m_capacity_wait_end(now + scaled(m_request.m_objective, capacity_wait_fraction)),
      m_sub_requests(m_request.m_services.size()), m_pending(m_sub_requests.size())
{
}

std::vector<dispatch_action> dispatch::start(time_point now)
{
    actions result;
    for (const std::string& service : m_request.m_services)
    {
        m_context->m_budget.on_request(service, now);
        m_context->m_priorities.on_request(service, m_request.m_priority, now);
    }
    if (m_request.m_scatter)
    {
        // a search that can't reach the required coverage sends nothing
        if (const auto reason = reason_not_to_search(now))
        {
            finish(no_answer(*reason, now), result);
            return result;
        }
    }
    for (std::size_t i = 0; i < m_sub_requests.size(); ++i)
    {
        try_send(m_sub_requests[i], i, now, result);
    }
    conclude(now, input_unread, result);
    return result;
}

void dispatch::try_send(sub_request& target, std::size_t index, time_point now, actions& result)
{
    if (target.m_sent >= m_request.m_max_attempts)
    {
        return;
    }
    if (target.m_place && target.m_place->is_lost())
    {
        end_sub_request(target, sub_request_state::missing, failure_reason::overloaded);
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
        return this->has_capacity(candidate, now);
    };
    const work_estimate work = m_context->m_work.estimate(m_profile, service);
    const auto chosen =
        m_context->m_directory.choose(service, work, target.m_tried, has_capacity, m_context->m_random, now);
    if (const auto* reason = std::get_if<no_upstream>(&chosen))
    {
        on_no_upstream(target, service, *reason, now);
        return;
    }
    if (!may_take(target, service, *std::get<upstream_choice>(chosen).m_upstream, now))
    {
        on_no_upstream(target, service, no_upstream::all_busy, now);
        return;
    }
    const bool is_extra = target.m_sent > 0;
    if (is_extra && !try_spend(target, service, now))
    {
        on_no_upstream(target, service, no_upstream::all_tried, now);
        return;
    }
    send(index, std::get<upstream_choice>(chosen), decision == guard_decision::trial, now, result);
}

void dispatch::send(std::size_t index, const upstream_choice& choice, bool is_trial, time_point now,
                    actions& result)
{
    const shared_upstream& selected = choice.m_upstream;
    ++m_context->m_choices;
    m_context->m_rerouted_choices += choice.m_is_rerouted ? 1 : 0;
    sub_request& target = m_sub_requests[index];
    m_is_trial_active = m_is_trial_active || is_trial;
    target.m_is_waiting = false;
    m_context->m_capacity_queue.on_sent(m_request.m_services[index], m_request.m_account,
                                        target.m_place ? &*target.m_place : nullptr, now);
    target.m_place.reset();
    target.m_tried.push_back(selected);
    const bool is_hedge = target.m_in_flight > 0;
    m_hedges += is_hedge ? 1 : 0;
    m_context->m_statistics.m_hedges += is_hedge ? 1 : 0;
    ++target.m_sent;
    ++target.m_in_flight;
    set_next_check(target, is_trial ? time_point::max() : now + hedge_delay(choice));
    m_attempts.push_back({index, selected, now, now, choice.m_work, choice.m_expected, is_trial});
    selected->on_start(now, expected_attempt_of(choice.m_expected, choice.m_work));
    m_context->m_cold_starts.on_send(*selected, now);
    result.emplace_back(send_attempt{m_attempts.size() - 1, selected});
}

void dispatch::on_handed_over(attempt_number attempt, time_point now)
{
    attempt_state& sent = m_attempts.at(attempt);
    if (!sent.m_is_active)
    {
        return;
    }
    const duration delay = now - sent.m_began;
    m_longest_hand_over = std::max(m_longest_hand_over, now - sent.m_planned);
    m_context->m_statistics.m_hand_over_delay += delay;
    sent.m_upstream->on_delayed(sent.m_began, now);
    sent.m_began = now;
    sub_request& target = m_sub_requests[sent.m_sub_request];
    const bool awaits_hedge = !sent.m_is_trial && !target.m_is_hedged && target.m_in_flight == 1;
    if (awaits_hedge && target.m_next_check != time_point::max())
    {
        target.m_next_check += delay;
    }
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
    m_context->m_outlook.on_result(m_request.m_services[answered.m_sub_request], now);
    m_context->m_crash_guard.on_reply(m_request.m_fingerprint, m_request.m_services[answered.m_sub_request],
                                      answered.m_upstream->process(), answered.m_began, now);
    const bool is_success = reply.is_success();
    const bool is_retryable = may_repeat() && reply.m_status >= first_server_error;
    if (is_success)
    {
        answered.m_upstream->on_reply(answered.m_began, now);
        learn_work(answered, now);
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
    conclude(now, input_unread, result);
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
    conclude(now, input_unread, result);
    return result;
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
    m_pending -= target.m_state == sub_request_state::pending ? 1 : 0;
    m_answered -= target.m_state == sub_request_state::answered ? 1 : 0;
    m_answered += state == sub_request_state::answered ? 1 : 0;
    target.m_state = state;
    target.m_reason = reason;
    target.m_is_waiting = false;
    target.m_place.reset();
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
    if (m_sub_requests[index].m_in_flight == 0)
    {
        return;
    }
    for (attempt_number i = 0; i < m_attempts.size(); ++i)
    {
        if (m_attempts[i].m_sub_request == index && m_attempts[i].m_is_active)
        {
            result.emplace_back(release_attempt{i});
        }
    }
}

std::vector<dispatch_action> dispatch::on_timer(time_point now, time_point input_read)
{
    actions result;
    m_input_read = input_read;
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
        check(i, now, input_read, result);
    }
    find_next_check();
    conclude(now, input_read, result);
    return result;
}

void dispatch::check(std::size_t index, time_point now, time_point input_read, actions& result)
{
    sub_request& target = m_sub_requests[index];
    const time_point reached = target.m_is_waiting ? now : input_read;
    if (target.m_state != sub_request_state::pending || reached < target.m_next_check)
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
        conclude(now, input_unread, result);
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
    const bool is_partial_possible =
        m_request.m_scatter && (m_input_read < m_partial_from || progress().is_covered());
    if (is_partial_possible)
    {
        result = std::min(result, m_partial_from);
    }
    return std::min(result, m_next_check);
}

void dispatch::set_next_check(sub_request& target, time_point at)
{
    target.m_next_check = at;
    m_next_check = std::min(m_next_check, at);
}

void dispatch::find_next_check()
{
    m_next_check = time_point::max();
    for (const sub_request& target : m_sub_requests)
    {
        if (target.m_state == sub_request_state::pending)
        {
            m_next_check = std::min(m_next_check, target.m_next_check);
        }
    }
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
