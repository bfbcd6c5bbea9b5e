#include "teasellead/forwarding/dispatch.hpp"

namespace teasellead::forwarding
{

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
    m_context->m_outlook.on_result(m_request.m_services[failed.m_sub_request], now);
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
    if (is_overdue(ended, now))
    {
        ended.m_upstream->on_failure(ended.m_began, attempt_failure::abandoned, now);
        return;
    }
    ended.m_upstream->on_cancelled(ended.m_began);
}

} // namespace teasellead::forwarding
