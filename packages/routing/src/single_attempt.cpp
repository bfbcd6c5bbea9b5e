#include "teasellead/routing/single_attempt.hpp"

#include <algorithm>

#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead
{

namespace
{

constexpr int invalid_request_id = 612;

// delay before a busy replica is tried again
constexpr std::chrono::milliseconds capacity_check_interval{1};

/// delay after which a refused caller may find a replica
std::chrono::milliseconds retry_after(missing_reason reason)
{
    using namespace std::chrono_literals;
    switch (reason)
    {
    case missing_reason::at_capacity:
    case missing_reason::deadline:
        return 1s;
    case missing_reason::cold:
    case missing_reason::failed:
    case missing_reason::wrong_snapshot:
    case missing_reason::partial_reply:
        return 2s;
    case missing_reason::no_replica:
        return 5s;
    }
    return 5s;
}

} // namespace

verdict verdict_of(const single_result& result)
{
    return std::visit(overloaded{[](const single_completed&) { return verdict::ran; },
                                 [](const single_refused&) { return verdict::not_run; },
                                 [](const single_unknown&)
                                 {
                                     return verdict::may_have_run;
                                 }},
                      result);
}

single_attempt::single_attempt(single_request request, upstream_table& upstreams, random_source& random)
    : m_request(std::move(request)), m_upstreams(&upstreams), m_random(&random),
      m_next_check(m_request.response_deadline())
{
    const std::size_t targets = m_request.plan().targets().size();
    if (m_request.target() >= targets)
    {
        throw state_error(invalid_request_id, "the plan has " + std::to_string(targets) +
                                                  " targets and none at position " +
                                                  std::to_string(m_request.target()));
    }
    if (m_request.response_deadline() < m_request.send_by())
    {
        throw state_error(invalid_request_id,
                          "the time limit for sending the request is later than its response deadline");
    }
}

std::optional<single_send> single_attempt::start(const configuration& current, time_point now)
{
    return try_send(current, now);
}

std::optional<single_send> single_attempt::try_send(const configuration& current, time_point now)
{
    if (now >= m_request.send_by())
    {
        refuse(m_not_run_failure ? reason_without_replica() : missing_reason::deadline);
        return std::nullopt;
    }
    const shard_target& wanted = m_request.plan().targets()[m_request.target()];
    const selection selected = m_upstreams->select(wanted, current, m_tried, *m_random, now);
    std::optional<single_send> action;
    std::visit(
        overloaded{[&](const chosen_replica& chosen)
                   {
                       const auto attempt = static_cast<attempt_id>(m_tried.size());
                       m_tried.push_back(chosen.upstream());
                       m_active = sent_attempt{attempt, chosen.upstream(), now};
                       m_next_check = std::min(m_request.response_deadline(), chosen.end_by());
                       action = single_send{attempt, chosen, std::min(m_request.send_by(), chosen.end_by())};
                   },
                   [&](const no_replica&) { refuse(reason_without_replica()); },
                   [&](const all_cold&) { wait_for_replica(missing_reason::cold, now); },
                   [&](const all_at_capacity&)
                   {
                       wait_for_replica(missing_reason::at_capacity, now);
                   }},
        selected);
    return action;
}

missing_reason single_attempt::reason_without_replica() const noexcept
{
    if (!m_not_run_failure)
    {
        return missing_reason::no_replica;
    }
    return *m_not_run_failure == attempt_failure::wrong_snapshot ? missing_reason::wrong_snapshot
                                                                 : missing_reason::failed;
}

void single_attempt::refuse(missing_reason reason)
{
    m_result = single_refused{reason, retry_after(reason)};
}

bool single_attempt::is_active(attempt_id attempt) const noexcept
{
    return m_active && m_active->m_attempt == attempt;
}

bool single_attempt::matches(const upstream_reply& reply) const
{
    const query_plan& plan = m_request.plan();
    const shard_target& target = plan.targets()[m_request.target()];
    return reply.request_id() == m_request.request_id() && reply.service() == target.service().name() &&
           reply.shard() == target.shard().name() && reply.shard_map() == plan.shard_map() &&
           reply.snapshot() == plan.snapshot();
}

void single_attempt::on_reply(attempt_id attempt, const upstream_reply& reply, time_point now)
{
    if (m_timed_out && m_timed_out->m_attempt == attempt && matches(reply))
    {
        m_result = single_completed{reply.body()};
        m_timed_out.reset();
        return;
    }
    if (!is_active(attempt))
    {
        return;
    }
    if (!matches(reply))
    {
        handle_failure(attempt_failure::invalid_reply, now);
        return;
    }
    m_upstreams->on_reply(m_active->m_upstream, reply.incarnation(), now - m_active->m_started, now);
    m_active.reset();
    m_result = single_completed{reply.body()};
}

/// ends the active attempt; a result exists afterwards unless the request didn't run
void single_attempt::handle_failure(attempt_failure failure, time_point now)
{
    const sent_attempt failed = *m_active;
    m_active.reset();
    m_upstreams->on_failure(failed.m_upstream, failure, now - failed.m_started, now);
    if (verdict_of(failure) == verdict::not_run)
    {
        m_not_run_failure = failure;
        return;
    }
    m_result = single_unknown{failure};
    if (failure == attempt_failure::timed_out)
    {
        m_timed_out = failed;
    }
}

std::optional<single_send> single_attempt::on_failure(attempt_id attempt, attempt_failure failure,
                                                      const configuration& current, time_point now)
{
    if (!is_active(attempt))
    {
        return std::nullopt;
    }
    handle_failure(failure, now);
    return finished() ? std::nullopt : try_send(current, now);
}

void single_attempt::on_not_sent(attempt_id attempt, time_point now)
{
    if (!is_active(attempt))
    {
        return;
    }
    m_upstreams->on_cancelled(m_active->m_upstream, duration::zero(), now);
    m_active.reset();
    refuse(missing_reason::deadline);
}

void single_attempt::wait_for_replica(missing_reason reason, time_point now)
{
    m_wait_reason = reason;
    m_next_check = std::min(m_request.send_by(), now + capacity_check_interval);
}

std::optional<single_send> single_attempt::on_timer(const configuration& current, time_point now)
{
    if (finished())
    {
        return std::nullopt;
    }
    if (m_active)
    {
        if (now >= m_next_check)
        {
            handle_failure(attempt_failure::timed_out, now);
        }
        return std::nullopt;
    }
    if (now >= m_request.send_by())
    {
        refuse(m_wait_reason);
        return std::nullopt;
    }
    return now < m_next_check ? std::nullopt : try_send(current, now);
}

time_point single_attempt::next_wakeup() const
{
    return m_next_check;
}

const single_result& single_attempt::result() const
{
    return m_result.value();
}

} // namespace teasellead
