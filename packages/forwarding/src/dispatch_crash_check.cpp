#include <algorithm>
#include <chrono>

#include "teasellead/forwarding/dispatch.hpp"
#include "teasellead/kernel/hashing.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead::forwarding
{

namespace
{

using std::chrono::milliseconds;

// includes the round trip to the coordinator, which grants trials
constexpr duration trial_answer_time = milliseconds{150};
constexpr milliseconds unanswered_trial_retry_after{200};

} // namespace

void dispatch::wait_or_end(sub_request& target, guard_decision decision, time_point now)
{
    if (target.m_in_flight > 0)
    {
        // an attempt is in flight: no hedge or retry in addition to it
        target.m_next_check = time_point::max();
        return;
    }
    // the attempt isn't ready to use capacity
    target.m_place.reset();
    if (decision == guard_decision::wait)
    {
        wait(target, m_request.m_response_deadline, now);
        return;
    }
    end_sub_request(target, sub_request_state::missing,
                    m_denied.m_is_refused ? failure_reason::crashes_upstreams : failure_reason::isolated);
}

dispatch::guard_decision dispatch::check_crash_guard(const std::string& service, time_point now)
{
    crash_guard& guard = m_context->m_crash_guard;
    if (!guard.is_restricted(m_request.m_fingerprint))
    {
        return guard_decision::allowed;
    }
    if (m_trial_id == 0)
    {
        m_trial_id = guard.next_trial_id();
        m_trial_service = select_trial_service(service);
    }
    return std::visit(overloaded{[](const attempt_allowed&) { return guard_decision::allowed; },
                                 [&](const trial_allowed&) { return on_trial_granted(service); },
                                 [&](const trial_pending&) { return on_trial_pending(now); },
                                 [&](const attempt_denied& denied)
                                 {
                                     m_denied = denied;
                                     return m_is_trial_active ? guard_decision::wait : guard_decision::denied;
                                 }},
                      guard.check(m_request.m_fingerprint, m_trial_id, m_trial_service, now));
}

dispatch::guard_decision dispatch::on_trial_granted(const std::string& service)
{
    if (m_is_trial_active)
    {
        return guard_decision::wait;
    }
    const auto found = std::find(m_request.m_services.begin(), m_request.m_services.end(), m_trial_service);
    const sub_request& trial_target =
        m_sub_requests[static_cast<std::size_t>(found - m_request.m_services.begin())];
    if (m_is_trial_used || trial_target.m_state != sub_request_state::pending)
    {
        m_denied = {false, unanswered_trial_retry_after};
        return guard_decision::denied;
    }
    return service == m_trial_service ? guard_decision::trial : guard_decision::wait;
}

dispatch::guard_decision dispatch::on_trial_pending(time_point now)
{
    if (m_trial_wait_end == time_point{})
    {
        m_trial_wait_end = now + trial_answer_time;
    }
    if (now < m_trial_wait_end)
    {
        return guard_decision::wait;
    }
    m_denied = {false, unanswered_trial_retry_after};
    return guard_decision::denied;
}

/// selects a service that has lost an upstream under the request's fingerprint; if there are several, a hash
/// of the fingerprint selects one, so that the trials of different requests spread over the services
std::string dispatch::select_trial_service(const std::string& service) const
{
    std::vector<std::string> services;
    for (std::size_t i = 0; i < m_sub_requests.size(); ++i)
    {
        const std::string& each = m_request.m_services[i];
        if (m_sub_requests[i].m_state == sub_request_state::pending &&
            m_context->m_crash_guard.has_loss_at(m_request.m_fingerprint, each))
        {
            services.push_back(each);
        }
    }
    return services.empty() ? service : services[hash64(m_request.m_fingerprint) % services.size()];
}

} // namespace teasellead::forwarding
