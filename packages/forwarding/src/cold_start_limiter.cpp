#include "teasellead/forwarding/cold_start_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead::forwarding
{

namespace
{

// above this number, the states of upstreams without recent requests are removed
constexpr std::size_t max_cold_upstreams = 4096;

} // namespace

void cold_start_limiter::on_services(const std::vector<service>& services)
{
    m_rates.clear();
    for (const service& each : services)
    {
        if (each.m_cold_rate > 0.0)
        {
            m_rates.emplace(each.m_name, each.m_cold_rate);
        }
    }
    ++m_version;
}

void cold_start_limiter::on_members(const std::vector<endpoint>& others, bool is_converged)
{
    if (others == m_others && is_converged == m_is_converged)
    {
        return;
    }
    m_others = others;
    m_is_converged = is_converged;
    ++m_version;
}

double cold_start_limiter::rate_of(const upstream& target) const
{
    const auto found = m_rates.find(target.entry().m_service);
    return found == m_rates.end() ? 0.0 : found->second;
}

std::uint64_t cold_start_limiter::share_of(const std::string& instance, double rate) const
{
    if (!m_is_converged)
    {
        return 0;
    }
    const auto requests = static_cast<std::uint64_t>(std::max(std::floor(rate), 1.0));
    const std::uint64_t senders = std::min<std::uint64_t>(requests, m_others.size() + 1);
    const std::uint64_t key = hash64(instance);
    const std::uint64_t own = rendezvous_score(key, m_self.packed());
    const auto better_ranked = std::count_if(m_others.begin(), m_others.end(),
                                             [key, own](const endpoint& other)
                                             { return rendezvous_score(key, other.packed()) > own; });
    return static_cast<std::uint64_t>(better_ranked) < senders ? requests / senders : 0;
}

cold_start_limiter::cold_upstream& cold_start_limiter::state_of(const upstream& target, double rate,
                                                                time_point now)
{
    const std::string& instance = target.entry().m_instance;
    if (m_cold_upstreams.size() > max_cold_upstreams)
    {
        remove_unused(now);
    }
    cold_upstream& state = m_cold_upstreams[instance];
    if (state.m_version != m_version)
    {
        state.m_version = m_version;
        state.m_allowed = share_of(instance, rate);
    }
    return state;
}

void cold_start_limiter::remove_unused(time_point now)
{
    for (auto each = m_cold_upstreams.begin(); each != m_cold_upstreams.end();)
    {
        each = each->second.m_sent.total(now) == 0 ? m_cold_upstreams.erase(each) : std::next(each);
    }
}

bool cold_start_limiter::may_send(const upstream& target, time_point now)
{
    if (!target.is_cold(now))
    {
        return true;
    }
    const double rate = rate_of(target);
    if (rate <= 0.0)
    {
        return true;
    }
    cold_upstream& state = state_of(target, rate, now);
    return state.m_sent.total(now) < state.m_allowed;
}

void cold_start_limiter::on_send(const upstream& target, time_point now)
{
    if (!target.is_cold(now))
    {
        return;
    }
    const double rate = rate_of(target);
    if (rate > 0.0)
    {
        state_of(target, rate, now).m_sent.add(now);
    }
}

} // namespace teasellead::forwarding
