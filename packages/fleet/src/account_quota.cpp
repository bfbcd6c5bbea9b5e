#include "teasellead/fleet/account_quota.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <unordered_map>

namespace teasellead
{

namespace
{

constexpr double demand_memory_s = 1.5;
// time that a report takes to reach most other nodes
constexpr duration gossip_delay = std::chrono::seconds{1};
constexpr duration min_estimate_interval = std::chrono::milliseconds{200};
// part of a limit that is divided equally, for callers who come to a node for the first time
constexpr double equal_part = 0.15;
// part of what all nodes may admit in a window that their shares add up to; the rest covers shares that were
// computed from different views
constexpr double usable_part = 0.92;
// part of the overage by which the shares' rate exceeds the declared one, so that callers within their limit
// aren't refused where more of them than usual meet one node
constexpr double usable_overage = 0.8;

double seconds_of(duration length)
{
    return std::chrono::duration<double>(length).count();
}

} // namespace

void account_quota::on_declarations(const std::vector<forwarding::account>& accounts, time_point now)
{
    std::unordered_map<std::string, account_state> next;
    for (const forwarding::account& each : accounts)
    {
        const auto known = m_accounts.find(each.m_name);
        account_state state = known == m_accounts.end() ? account_state{} : known->second;
        if (known == m_accounts.end())
        {
            state.m_refilled_at = now;
            state.m_estimated_at = now;
        }
        refill(state, now);
        state.m_rate = each.m_rate;
        state.m_burst = each.m_burst;
        divide(state);
        next.emplace(each.m_name, state);
    }
    m_accounts = std::move(next);
}

void account_quota::on_view(const std::vector<account_demand>& elsewhere, std::size_t nodes, time_point now)
{
    m_nodes = nodes;
    for (auto& [name, state] : m_accounts)
    {
        refill(state, now);
        estimate(state, now);
        state.m_elsewhere = 0.0;
    }
    for (const account_demand& each : elsewhere)
    {
        const auto found = m_accounts.find(each.m_account);
        if (found != m_accounts.end())
        {
            found->second.m_elsewhere += each.m_rate;
        }
    }
    for (auto& [name, state] : m_accounts)
    {
        divide(state);
    }
}

duration account_quota::admit(const std::string& name, time_point now)
{
    const auto found = m_accounts.find(name);
    if (found == m_accounts.end())
    {
        return std::chrono::seconds{1};
    }
    account_state& state = found->second;
    ++state.m_arrivals;
    if (state.m_rate <= 0.0)
    {
        return duration::zero();
    }
    refill(state, now);
    if (state.m_tokens >= 1.0)
    {
        state.m_tokens -= 1.0;
        return duration::zero();
    }
    const double rate = std::max(state.m_rate * state.m_part, 1e-3);
    const double wait_s = std::min((1.0 - state.m_tokens) / rate, 10.0);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait_s)) +
           std::chrono::milliseconds{1};
}

void account_quota::refund(const std::string& name)
{
    const auto found = m_accounts.find(name);
    if (found != m_accounts.end())
    {
        found->second.m_tokens += 1.0;
    }
}

std::vector<account_demand> account_quota::demand(time_point now)
{
    std::vector<account_demand> result;
    for (auto& [name, state] : m_accounts)
    {
        estimate(state, now);
        if (state.m_demand > 0.0)
        {
            result.push_back({name, state.m_demand});
        }
    }
    return result;
}

void account_quota::refill(account_state& state, time_point now) const
{
    const double passed_s = seconds_of(now - state.m_refilled_at);
    state.m_refilled_at = now;
    const double rate_of_all = state.m_rate * (1.0 + usable_overage * m_bound.m_overage);
    const double rate = rate_of_all * state.m_part;
    const double window_s = seconds_of(m_bound.m_window);
    const double allowed =
        (state.m_rate * window_s + state.m_burst) * (1.0 + m_bound.m_overage) + m_bound.m_slack;
    const double capacity_of_all = usable_part * allowed - rate_of_all * window_s;
    const double capacity = capacity_of_all * state.m_capacity_part;
    state.m_tokens = std::min(capacity, state.m_tokens + rate * passed_s);
}

void account_quota::estimate(account_state& state, time_point now)
{
    const duration passed = now - state.m_estimated_at;
    if (passed < min_estimate_interval)
    {
        return;
    }
    const double passed_s = seconds_of(passed);
    const double weight = 1.0 - std::exp(-passed_s / demand_memory_s);
    state.m_demand += weight * (static_cast<double>(state.m_arrivals) / passed_s - state.m_demand);
    if (state.m_demand < 1e-3)
    {
        state.m_demand = 0.0;
    }
    state.m_arrivals = 0;
    state.m_estimated_at = now;
    // the shares of all nodes add up only if each divides by demands that the others know too
    state.m_samples.push_back({now, state.m_demand});
    while (state.m_samples.size() > 1 && state.m_samples[1].m_at + gossip_delay <= now)
    {
        state.m_samples.pop_front();
    }
    state.m_known_demand = state.m_samples.front().m_rate;
}

void account_quota::divide(account_state& state) const
{
    if (m_nodes == 0)
    {
        state.m_part = 0.0;
        state.m_capacity_part = 0.0;
        return;
    }
    const double equal = 1.0 / static_cast<double>(m_nodes);
    const double all = state.m_known_demand + state.m_elsewhere;
    const double by_demand = all > 0.0 ? state.m_known_demand / all : equal;
    state.m_part = equal_part * equal + (1.0 - equal_part) * by_demand;
    // bursts come to any node
    state.m_capacity_part = (equal + state.m_part) / 2.0;
}

} // namespace teasellead
