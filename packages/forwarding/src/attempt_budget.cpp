#include "teasellead/forwarding/attempt_budget.hpp"

namespace teasellead::forwarding
{

namespace
{

// less than 1, because the windows in which this node counts aren't aligned with those in which the limit
// must hold
constexpr double usable_ratio = 0.75;
// less than 1, because a restarted process doesn't count the extra attempts of its predecessor
constexpr double usable_slack = 0.5;

} // namespace

attempt_budget::service_state& attempt_budget::state_of(const std::string& service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
    {
        return found->second;
    }
    const sliding_count<slots> empty{m_settings.m_window};
    return m_services.emplace(service, service_state{empty, empty}).first->second;
}

void attempt_budget::on_request(const std::string& service, time_point now)
{
    state_of(service).m_requests.add(now);
}

double attempt_budget::allowed(service_state& state, time_point now) const
{
    const double earned =
        usable_ratio * m_settings.m_ratio * static_cast<double>(state.m_requests.total(now));
    return earned + usable_slack * m_settings.m_slack * m_slack_share;
}

double attempt_budget::remaining(const std::string& service, time_point now)
{
    service_state& state = state_of(service);
    return allowed(state, now) - static_cast<double>(state.m_extra.total(now));
}

bool attempt_budget::try_spend(const std::string& service, time_point now, double reserved_fraction)
{
    service_state& state = state_of(service);
    if (remaining(service, now) - reserved_fraction * allowed(state, now) < 1.0)
    {
        return false;
    }
    state.m_extra.add(now);
    return true;
}

} // namespace teasellead::forwarding
