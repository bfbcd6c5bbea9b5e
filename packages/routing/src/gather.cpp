#include "teasellead/routing/gather.hpp"

#include <algorithm>

#include "teasellead/kernel/overloaded.hpp"

namespace teasellead
{

namespace
{

// delay before a busy replica is tried again
constexpr std::chrono::milliseconds capacity_check_interval{1};

/// whether a retry is charged to the budget, because the failed attempt caused load at the upstream
bool is_charged_to_budget(attempt_failure failure, verdict effect)
{
    return failure == attempt_failure::shed || effect != verdict::not_run;
}

missing_reason reason_of(attempt_failure failure)
{
    return failure == attempt_failure::wrong_snapshot ? missing_reason::wrong_snapshot
                                                      : missing_reason::failed;
}

} // namespace

gather::gather(std::string request_id, shared_plan plan, gather_context context, time_point response_deadline)
    : m_request_id(std::move(request_id)), m_plan(std::move(plan)), m_context(context),
      m_response_deadline(response_deadline), m_targets(m_plan->targets().size()),
      m_open_targets(m_plan->targets().size())
{
    m_attempts.reserve(m_targets.size() + m_targets.size() / 8 + 1);
}

std::vector<gather_action> gather::start(const configuration& current, time_point now)
{
    std::vector<gather_action> actions;
    if (now >= m_response_deadline)
    {
        close_open_targets(now, actions);
        return actions;
    }
    // the owner of a cold replica's allowance may grant a lease soon; half of the time is left for the reply
    m_cold_wait_until = now + (m_response_deadline - now) / 2;
    actions.reserve(m_targets.size());
    for (std::size_t target = 0; target < m_targets.size(); ++target)
    {
        try_send(target, attempt_kind::first, current, now, actions);
    }
    return actions;
}

void gather::try_send(std::size_t target, attempt_kind kind, const configuration& current, time_point now,
                      std::vector<gather_action>& actions)
{
    target_progress& progress = m_targets[target];
    const shard_target& wanted = m_plan->targets()[target];
    const selection selected =
        m_context.upstreams().select(wanted, current, progress.m_tried, m_context.random(), now);
    std::visit(
        overloaded{
            [&](const chosen_replica& chosen)
            {
                const auto attempt = static_cast<attempt_id>(m_attempts.size());
                m_attempts.push_back({target, chosen.upstream(), kind, now, true, progress.m_last_attempt});
                progress.m_last_attempt = attempt;
                progress.m_tried.push_back(chosen.upstream());
                ++progress.m_active;
                const duration threshold = m_context.hedging().threshold(wanted);
                const bool may_hedge = !progress.m_hedged && threshold < m_response_deadline - now;
                progress.m_next_check = may_hedge ? now + threshold : m_response_deadline;
                actions.emplace_back(send_attempt{attempt, target, chosen, kind, m_response_deadline});
            },
            [&](const no_replica&) { on_no_replica(target, missing_reason::no_replica, now, false); },
            [&](const all_cold&)
            { on_no_replica(target, missing_reason::cold, now, now < m_cold_wait_until); },
            [&](const all_at_capacity&)
            {
                on_no_replica(target, missing_reason::at_capacity, now, true);
            }},
        selected);
}

void gather::on_no_replica(std::size_t target, missing_reason reason, time_point now, bool may_wait)
{
    target_progress& progress = m_targets[target];
    if (progress.m_active > 0)
    {
        progress.m_next_check = m_response_deadline;
        return;
    }
    if (may_wait && now < m_response_deadline)
    {
        progress.m_reason = reason;
        progress.m_next_check = std::min(m_response_deadline, now + capacity_check_interval);
        return;
    }
    // after failed attempts, their failure is the better reason than the lack of a further replica
    const bool was_tried = !progress.m_tried.empty() && reason == missing_reason::no_replica;
    close(target, target_state::missing, was_tried ? progress.m_reason : reason);
}

void gather::end_attempt(attempt_progress& attempt) noexcept
{
    attempt.m_active = false;
    --m_targets[attempt.m_target].m_active;
}

void gather::close(std::size_t target, target_state state, missing_reason reason)
{
    m_targets[target].m_state = state;
    m_targets[target].m_reason = reason;
    --m_open_targets;
}

void gather::cancel_others(std::size_t target, time_point now, std::vector<gather_action>& actions)
{
    std::optional<attempt_id> next = m_targets[target].m_last_attempt;
    while (next.has_value())
    {
        attempt_progress& attempt = m_attempts[*next];
        if (attempt.m_active)
        {
            cancel_one(*next, now, actions);
        }
        next = attempt.m_previous;
    }
}

void gather::cancel_one(attempt_id cancelled, time_point now, std::vector<gather_action>& actions)
{
    attempt_progress& attempt = m_attempts[cancelled];
    end_attempt(attempt);
    m_verdict = combine(m_verdict, verdict::may_have_run);
    const duration elapsed = now - attempt.m_started;
    m_context.upstreams().on_cancelled(attempt.m_upstream, elapsed, now);
    if (attempt.m_kind != attempt_kind::hedge)
    {
        m_context.hedging().on_cancelled(m_plan->targets()[attempt.m_target], elapsed, now);
    }
    actions.emplace_back(cancel_attempt{cancelled});
}

std::optional<attempt_failure> gather::mismatch_of(const shard_target& target,
                                                   const upstream_reply& reply) const
{
    const bool is_for_attempt = reply.request_id() == m_request_id &&
                                reply.service() == target.service().name() &&
                                reply.shard() == target.shard().name();
    if (!is_for_attempt)
    {
        return attempt_failure::invalid_reply;
    }
    if (reply.shard_map() != m_plan->shard_map() || reply.snapshot() != m_plan->snapshot())
    {
        return attempt_failure::wrong_snapshot;
    }
    if (reply.covered_keys() > target.shard().keys().size())
    {
        return attempt_failure::invalid_reply;
    }
    return std::nullopt;
}

std::vector<gather_action> gather::on_reply(attempt_id attempt, const upstream_reply& reply,
                                            const configuration& current, time_point now)
{
    std::vector<gather_action> actions;
    if (attempt >= m_attempts.size() || !m_attempts[attempt].m_active)
    {
        return actions;
    }
    attempt_progress& answered = m_attempts[attempt];
    const shard_target& wanted = m_plan->targets()[answered.m_target];
    if (const auto mismatch = mismatch_of(wanted, reply))
    {
        // unlike a refusal, a reply for another snapshot or shard map shows that the request ran
        handle_failure(attempt, *mismatch, verdict::ran, current, now, actions);
        end_at_deadline(now, actions);
        return actions;
    }
    end_attempt(answered);
    const duration latency = now - answered.m_started;
    m_context.upstreams().on_reply(answered.m_upstream, reply.incarnation(), latency, now);
    if (answered.m_kind != attempt_kind::hedge)
    {
        m_context.hedging().on_reply(wanted, latency, now);
    }
    m_verdict = verdict::ran;
    target_progress& progress = m_targets[answered.m_target];
    progress.m_covered_keys = reply.covered_keys();
    progress.m_body = reply.body();
    close(answered.m_target, target_state::answered, missing_reason::partial_reply);
    cancel_others(answered.m_target, now, actions);
    end_at_deadline(now, actions);
    return actions;
}

std::vector<gather_action> gather::on_failure(attempt_id attempt, attempt_failure failure,
                                              const configuration& current, time_point now)
{
    std::vector<gather_action> actions;
    if (attempt < m_attempts.size() && m_attempts[attempt].m_active)
    {
        handle_failure(attempt, failure, verdict_of(failure), current, now, actions);
        end_at_deadline(now, actions);
    }
    return actions;
}

void gather::handle_failure(attempt_id attempt, attempt_failure failure, verdict effect,
                            const configuration& current, time_point now, std::vector<gather_action>& actions)
{
    attempt_progress& failed = m_attempts[attempt];
    const std::size_t target = failed.m_target;
    end_attempt(failed);
    m_context.upstreams().on_failure(failed.m_upstream, failure, now - failed.m_started, now);
    if (failure == attempt_failure::shed)
    {
        m_context.hedging().on_shed();
    }
    m_verdict = combine(m_verdict, effect);
    target_progress& progress = m_targets[target];
    progress.m_reason = reason_of(failure);
    if (progress.m_active > 0)
    {
        return;
    }
    const bool is_charged = is_charged_to_budget(failure, effect);
    if (now >= m_response_deadline || (is_charged && !m_context.hedging().try_spend()))
    {
        close(target, target_state::missing, progress.m_reason);
        return;
    }
    try_send(target, attempt_kind::retry, current, now, actions);
    if (is_charged && progress.m_state == target_state::missing)
    {
        m_context.hedging().refund();
    }
}

void gather::hedge(std::size_t target, const configuration& current, time_point now,
                   std::vector<gather_action>& actions)
{
    target_progress& progress = m_targets[target];
    progress.m_hedged = true;
    progress.m_next_check = m_response_deadline;
    const bool has_other_replica =
        progress.m_tried.size() < m_plan->targets()[target].shard().replicas().size();
    if (!has_other_replica || !m_context.hedging().try_spend())
    {
        return;
    }
    const std::uint32_t active = progress.m_active;
    try_send(target, attempt_kind::hedge, current, now, actions);
    if (progress.m_active == active)
    {
        m_context.hedging().refund();
        // a slot may become free, or the owner of a cold replica's allowance may grant a lease
        progress.m_hedged = false;
        progress.m_next_check = std::min(m_response_deadline, now + capacity_check_interval);
    }
}

void gather::close_open_targets(time_point now, std::vector<gather_action>& actions)
{
    for (std::size_t target = 0; target < m_targets.size(); ++target)
    {
        target_progress& progress = m_targets[target];
        if (progress.m_state != target_state::open)
        {
            continue;
        }
        const bool was_sent = progress.m_active > 0;
        cancel_others(target, now, actions);
        close(target, target_state::missing, was_sent ? missing_reason::deadline : progress.m_reason);
    }
}

void gather::end_at_deadline(time_point now, std::vector<gather_action>& actions)
{
    if (now >= m_response_deadline)
    {
        close_open_targets(now, actions);
    }
}

std::vector<gather_action> gather::on_timer(const configuration& current, time_point now)
{
    std::vector<gather_action> actions;
    if (now >= m_response_deadline)
    {
        close_open_targets(now, actions);
        return actions;
    }
    for (std::size_t target = 0; target < m_targets.size(); ++target)
    {
        const target_progress& progress = m_targets[target];
        if (progress.m_state != target_state::open || now < progress.m_next_check)
        {
            continue;
        }
        if (progress.m_active == 0)
        {
            const bool is_first = progress.m_tried.empty();
            try_send(target, is_first ? attempt_kind::first : attempt_kind::retry, current, now, actions);
        }
        else if (!progress.m_hedged)
        {
            hedge(target, current, now, actions);
        }
    }
    return actions;
}

std::vector<gather_action> gather::cancel(time_point now)
{
    std::vector<gather_action> actions;
    close_open_targets(now, actions);
    return actions;
}

time_point gather::next_wakeup() const
{
    time_point earliest = m_response_deadline;
    for (const target_progress& progress : m_targets)
    {
        if (progress.m_state == target_state::open)
        {
            earliest = std::min(earliest, progress.m_next_check);
        }
    }
    return earliest;
}

gather_result gather::result() const
{
    std::uint64_t answered_keys = 0;
    std::uint64_t total_keys = 0;
    std::vector<missing_shard> missing;
    std::vector<std::string> bodies;
    for (std::size_t target = 0; target < m_targets.size(); ++target)
    {
        const target_progress& progress = m_targets[target];
        const shard_target& wanted = m_plan->targets()[target];
        const std::uint32_t keys = wanted.shard().keys().size();
        const bool is_answered = progress.m_state == target_state::answered;
        total_keys += keys;
        answered_keys += is_answered ? progress.m_covered_keys : 0;
        if (is_answered)
        {
            bodies.push_back(progress.m_body);
        }
        if (!is_answered || progress.m_covered_keys < keys)
        {
            missing.emplace_back(wanted.service().name(), wanted.shard().name(), progress.m_reason);
        }
    }
    return gather_result{m_plan->snapshot(), coverage{answered_keys, total_keys, std::move(missing)},
                         std::move(bodies), m_verdict};
}

} // namespace teasellead
