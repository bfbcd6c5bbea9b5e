#include "teasellead/forwarding/attempt_budget.hpp"

namespace teasellead::forwarding
{

namespace
{

// requests are counted in windows that begin at other moments than those of the bound
constexpr double usable_ratio = 0.75;
// a restarted process forgets what it spent a moment ago
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

double attempt_budget::left(const std::string& service, time_point now)
{
    service_state& state = state_of(service);
    const double earned =
        usable_ratio * m_settings.m_ratio * static_cast<double>(state.m_requests.total(now));
    const double allowed = earned + usable_slack * m_settings.m_slack * m_part;
    return allowed - static_cast<double>(state.m_extra.total(now));
}

bool attempt_budget::try_spend(const std::string& service, time_point now)
{
    if (left(service, now) < 1.0)
    {
        return false;
    }
    state_of(service).m_extra.add(now);
    return true;
}

} // namespace teasellead::forwarding
