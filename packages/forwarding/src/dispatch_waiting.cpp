#include <algorithm>
#include <iterator>
#include <span>

#include "teasellead/forwarding/dispatch.hpp"
#include "teasellead/forwarding/extra_reserve.hpp"

namespace teasellead::forwarding
{

namespace
{

using std::chrono::milliseconds;

constexpr duration wait_check_interval = milliseconds{4};
// of the attempt that is next to get capacity
constexpr duration first_check_interval = milliseconds{2};
// an attempt waits only if capacity becomes free in time with at least this probability
constexpr double min_wait_chance = 0.05;

} // namespace

void dispatch::wait(sub_request& target, time_point until, time_point now)
{
    const bool is_first = target.m_place && target.m_place->ahead(now) == 0;
    target.m_is_waiting = true;
    set_next_check(target, std::min(now + (is_first ? first_check_interval : wait_check_interval), until));
}

capacity_waiter dispatch::waiter_of(const sub_request& target, time_point now) const
{
    return {m_request.m_priority, m_request.m_account, now, m_capacity_wait_end, target.m_tried};
}

bool dispatch::may_take(const sub_request& target, const std::string& service, const upstream& free,
                        time_point now) const
{
    const capacity_queue& queue = m_context->m_capacity_queue;
    if (queue.size(service) == 0)
    {
        return true;
    }
    if (target.m_place)
    {
        return target.m_place->may_take(free, now);
    }
    // a retry that may not wait any more has waited longer than the others; a hedge can be left out
    const bool is_hedge = target.m_in_flight > 0;
    return (!is_hedge && now >= m_capacity_wait_end) ||
           queue.may_take(service, waiter_of(target, now), free, now);
}

bool dispatch::is_usable_for(const sub_request& target, const upstream& candidate, time_point now) const
{
    return m_context->m_directory.is_candidate(candidate, now) &&
           std::none_of(target.m_tried.begin(), target.m_tried.end(),
                        [&candidate](const shared_upstream& each) { return each.get() == &candidate; });
}

std::vector<shared_upstream> dispatch::usable_for(const sub_request& target, const std::string& service,
                                                  time_point now) const
{
    std::vector<shared_upstream> result;
    const std::span<const shared_upstream> listed = m_context->m_directory.upstreams_of(service);
    std::copy_if(listed.begin(), listed.end(), std::back_inserter(result),
                 [&](const shared_upstream& each) { return is_usable_for(target, *each, now); });
    return result;
}

bool dispatch::has_capacity(const upstream& candidate, time_point now) const
{
    return m_context->m_cold_starts.may_send(candidate, now) && m_context->m_has_capacity(candidate);
}

bool dispatch::is_busy(const sub_request& target, const std::string& service, time_point now) const
{
    const std::span<const shared_upstream> listed = m_context->m_directory.upstreams_of(service);
    return std::none_of(listed.begin(), listed.end(),
                        [&](const shared_upstream& each)
                        {
                            return is_usable_for(target, *each, now) && each->is_below_ramp_up_limit(now) &&
                                   has_capacity(*each, now);
                        });
}

bool dispatch::is_capacity_expected(const sub_request& target, const std::string& service,
                                    time_point now) const
{
    const auto forecast = capacity_forecast::of(usable_for(target, service, now));
    if (!forecast)
    {
        return true;
    }
    const std::size_t ahead =
        target.m_place ? target.m_place->ahead(now)
                       : m_context->m_capacity_queue.ahead_of(service, waiter_of(target, now), now);
    return forecast->chance(ahead + 1, m_capacity_wait_end - now) >= min_wait_chance;
}

bool dispatch::may_wait_for_capacity(sub_request& target, const std::string& service, time_point now)
{
    if (now >= m_capacity_wait_end)
    {
        return false;
    }
    if (!is_capacity_expected(target, service, now))
    {
        ++m_context->m_statistics.m_refused_by_forecast;
        return false;
    }
    if (!target.m_place)
    {
        target.m_place = m_context->m_capacity_queue.join(service, waiter_of(target, now), now);
    }
    return target.m_place.has_value();
}

duration dispatch::expected_wait(time_point now) const
{
    duration result = duration::zero();
    for (std::size_t i = 0; i < m_sub_requests.size(); ++i)
    {
        const sub_request& each = m_sub_requests[i];
        const std::string& service = m_request.m_services[i];
        if (each.m_state == sub_request_state::answered || !is_busy(each, service, now))
        {
            continue;
        }
        if (const auto forecast = capacity_forecast::of(usable_for(each, service, now)))
        {
            const std::size_t waiting = m_context->m_capacity_queue.size(service);
            result = std::max(result, forecast->expected_wait(waiting + 1));
        }
    }
    return result;
}

void dispatch::on_no_upstream(sub_request& target, const std::string& service, no_upstream reason,
                              time_point now)
{
    if (target.m_in_flight > 0)
    {
        target.m_next_check = time_point::max();
        return;
    }
    if (reason == no_upstream::all_busy && may_wait_for_capacity(target, service, now))
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

priority_standing dispatch::standing_at(const std::string& service, time_point now) const
{
    return m_context->m_priorities.standing_of(service, m_request.m_priority, now);
}

bool dispatch::try_spend(const sub_request& target, const std::string& service, time_point now)
{
    const bool is_hedge = target.m_in_flight > 0;
    const extra_attempt retry =
        m_request.m_scatter ? progress().purpose_of_retry() : extra_attempt::completing;
    const extra_attempt kind = is_hedge ? extra_attempt::optional : retry;
    attempt_budget& budget = m_context->m_budget;
    if (budget.try_spend(service, now, reserved_fraction(kind, standing_at(service, now))))
    {
        return true;
    }
    if (budget.remaining(service, now) >= 1.0)
    {
        ++m_context->m_statistics.m_denied_by_reserve;
    }
    return false;
}

} // namespace teasellead::forwarding
