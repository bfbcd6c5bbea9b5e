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

constexpr duration wait_check_interval = milliseconds{4};
// includes the round trip to the coordinator, which grants trials
constexpr duration trial_answer_time = milliseconds{150};
constexpr milliseconds unanswered_trial_retry_after{200};

} // namespace

void dispatch::wait(leg& target, time_point until, time_point now)
{
    target.m_waits = true;
    target.m_next_check = std::min(now + wait_check_interval, until);
}

void dispatch::hold_back(leg& target, crash_gate decision, time_point now)
{
    if (target.m_active > 0)
    {
        // an attempt is in flight: no hedge or retry in addition to it
        target.m_next_check = time_point::max();
        return;
    }
    if (decision == crash_gate::wait)
    {
        wait(target, m_request.m_end, now);
        return;
    }
    end_leg(target, leg_state::missing,
            m_denied.m_is_refused ? failure_reason::crashes : failure_reason::isolated);
}

dispatch::crash_gate dispatch::ask_gate(const std::string& service, time_point now)
{
    crash_guard& guard = m_context->m_crashes;
    if (!guard.has_standing(m_request.m_fingerprint))
    {
        return crash_gate::open;
    }
    if (m_ticket == 0)
    {
        m_ticket = guard.next_ticket();
        m_trial_place = choose_trial_place(service);
    }
    return std::visit(overloaded{[](const attempt_allowed&) { return crash_gate::open; },
                                 [&](const trial_allowed&) { return on_trial_granted(service); },
                                 [&](const trial_pending&) { return on_trial_pending(now); },
                                 [&](const attempt_denied& denied)
                                 {
                                     m_denied = denied;
                                     return m_is_trial_active ? crash_gate::wait : crash_gate::closed;
                                 }},
                      guard.check(m_request.m_fingerprint, m_ticket, m_trial_place, now));
}

dispatch::crash_gate dispatch::on_trial_granted(const std::string& service)
{
    if (m_is_trial_active)
    {
        return crash_gate::wait;
    }
    const auto found = std::find(m_request.m_services.begin(), m_request.m_services.end(), m_trial_place);
    const leg& trial_target = m_legs[static_cast<std::size_t>(found - m_request.m_services.begin())];
    if (m_is_trial_used || trial_target.m_state != leg_state::open)
    {
        m_denied = {false, unanswered_trial_retry_after};
        return crash_gate::closed;
    }
    return service == m_trial_place ? crash_gate::trial : crash_gate::wait;
}

dispatch::crash_gate dispatch::on_trial_pending(time_point now)
{
    if (m_trial_until == time_point{})
    {
        m_trial_until = now + trial_answer_time;
    }
    if (now < m_trial_until)
    {
        return crash_gate::wait;
    }
    m_denied = {false, unanswered_trial_retry_after};
    return crash_gate::closed;
}

/// selects a service that has lost an upstream under the request's fingerprint; if there are several, a hash
/// of the fingerprint selects one, so that the trials of different requests spread over the services
std::string dispatch::choose_trial_place(const std::string& service) const
{
    std::vector<std::string> services;
    for (std::size_t i = 0; i < m_legs.size(); ++i)
    {
        const std::string& each = m_request.m_services[i];
        if (m_legs[i].m_state == leg_state::open &&
            m_context->m_crashes.has_loss_at(m_request.m_fingerprint, each))
        {
            services.push_back(each);
        }
    }
    return services.empty() ? service : services[hash64(m_request.m_fingerprint) % services.size()];
}

} // namespace teasellead::forwarding
