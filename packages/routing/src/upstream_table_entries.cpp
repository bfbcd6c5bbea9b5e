// upstream_table: host views, configuration, evidence, leases and status
#include <algorithm>
#include <mutex>

#include "teasellead/routing/upstream_table.hpp"

namespace teasellead
{

void upstream_table::set_views(std::vector<host_view> views, time_point cold_until)
{
    const std::scoped_lock lock{m_mutex};
    m_views = std::move(views);
    m_cold_until = cold_until;
    ++m_views_version;
}

upstream_table::entry* upstream_table::find(const endpoint& upstream)
{
    const auto found = m_entries.find(upstream);
    return found == m_entries.end() ? nullptr : &found->second;
}

upstream_table::entry* upstream_table::find_or_add(const shard_target& target, const replica& holder)
{
    entry* const known = find(holder.upstream());
    const upstream_limits& limits = target.service().limits();
    if (known != nullptr || m_configured)
    {
        return known;
    }
    entry& state = m_entries[holder.upstream()];
    state.m_holder = holder;
    state.m_limits = limits;
    state.m_service = target.service().name();
    return &state;
}

void upstream_table::add_or_update(const service& owner, const replica& holder, bool is_live, time_point now)
{
    entry& state = m_entries[holder.upstream()];
    const bool is_changed = state.m_holder.data_centre() != holder.data_centre() ||
                            state.m_limits != owner.limits() || state.m_service != owner.name();
    if (is_changed)
    {
        state.m_holder = holder;
        state.m_limits = owner.limits();
        state.m_service = owner.name();
        state.m_share_version = 0;
    }
    if (is_live != state.m_live)
    {
        state.m_admission.reset(now + m_settings.cold_requests().m_max_evidence_delay);
        state.m_live = is_live;
    }
}

void upstream_table::remove_undeclared(const std::unordered_map<endpoint, bool>& declared, time_point now)
{
    for (auto& [upstream, state] : m_entries)
    {
        state.m_live = state.m_live && declared.contains(upstream);
    }
    const auto is_removable = [&declared, now](const auto& known)
    {
        return !declared.contains(known.first) && known.second.m_admission.idle(now);
    };
    std::erase_if(m_entries, is_removable);
}

void upstream_table::on_configuration(const configuration& current, time_point now)
{
    // an address that several services declare is live if it is live in one of them
    std::unordered_map<endpoint, bool> declared;
    const auto is_live = [&current](const replica& holder)
    {
        return !holder.leaving() && current.is_live(holder.data_centre());
    };
    for (const service& owner : current.services())
    {
        for (const shard& declared_shard : owner.shards())
        {
            for (const replica& holder : declared_shard.replicas())
            {
                declared[holder.upstream()] |= is_live(holder);
            }
        }
    }
    const std::scoped_lock lock{m_mutex};
    m_configured = true;
    for (const service& owner : current.services())
    {
        for (const shard& declared_shard : owner.shards())
        {
            for (const replica& holder : declared_shard.replicas())
            {
                add_or_update(owner, holder, declared[holder.upstream()], now);
            }
        }
    }
    remove_undeclared(declared, now);
    std::erase_if(m_warm_latency_ns,
                  [&current](const auto& known) { return current.find_service(known.first) == nullptr; });
}

void upstream_table::on_peer_evidence(const upstream_evidence& evidence, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    entry* const state = find(evidence.upstream());
    if (state == nullptr || !state->m_live)
    {
        return;
    }
    if (evidence.warm())
    {
        state->m_admission.on_peer_confirmed_warm(evidence.incarnation(), now);
        return;
    }
    state->m_admission.on_incarnation_ended(evidence.incarnation());
}

std::vector<upstream_evidence> upstream_table::take_evidence()
{
    const std::scoped_lock lock{m_mutex};
    return std::exchange(m_new_evidence, {});
}

std::vector<upstream_evidence> upstream_table::all_evidence() const
{
    const std::scoped_lock lock{m_mutex};
    std::vector<upstream_evidence> result;
    for (const auto& [upstream, state] : m_entries)
    {
        if (state.m_admission.confirmed_warm())
        {
            result.emplace_back(upstream, state.m_admission.incarnation(), true);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::optional<upstream_evidence> upstream_table::evidence_about(const endpoint& upstream) const
{
    const std::scoped_lock lock{m_mutex};
    const auto found = m_entries.find(upstream);
    if (found == m_entries.end() || !found->second.m_admission.confirmed_warm())
    {
        return std::nullopt;
    }
    return upstream_evidence{upstream, found->second.m_admission.incarnation(), true};
}

std::vector<cold_demand> upstream_table::take_cold_demands()
{
    const std::scoped_lock lock{m_mutex};
    ++m_demand_round;
    return std::exchange(m_cold_demands, {});
}

bool upstream_table::grant_cold_lease(const endpoint& upstream, const cold_lease& lease, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    entry* const state = find(upstream);
    if (state == nullptr || !receives_work(*state, now) || lease.expires() > m_cold_until)
    {
        return false;
    }
    const time_point reserve_until = now + m_settings.cold_requests().m_reservation_time;
    return state->m_admission.grant_lease(lease, share_at(*state, now), reserve_until, now);
}

void upstream_table::end_cold_lease(const endpoint& upstream, const endpoint& borrower, std::uint64_t lease)
{
    const std::scoped_lock lock{m_mutex};
    if (entry* const state = find(upstream))
    {
        state->m_admission.end_lease(borrower, lease);
    }
}

void upstream_table::accept_cold_lease(const endpoint& upstream, std::uint64_t lease, time_point start_until,
                                       time_point end)
{
    const std::scoped_lock lock{m_mutex};
    if (entry* const state = find(upstream))
    {
        state->m_admission.accept_lease(lease, start_until, end);
    }
}

std::optional<std::uint64_t> upstream_table::take_finished_lease(const endpoint& upstream, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    entry* const state = find(upstream);
    return state == nullptr ? std::nullopt : state->m_admission.take_finished_lease(now);
}

std::uint32_t upstream_table::connection_limit(const endpoint& upstream)
{
    const std::scoped_lock lock{m_mutex};
    entry* const state = find(upstream);
    if (state == nullptr)
    {
        return 0;
    }
    update_share(*state);
    return state->m_share.connections();
}

std::size_t upstream_table::size() const
{
    const std::scoped_lock lock{m_mutex};
    return m_entries.size();
}

std::vector<upstream_status> upstream_table::status(time_point now) const
{
    const std::scoped_lock lock{m_mutex};
    std::vector<upstream_status> result;
    result.reserve(m_entries.size());
    for (const auto& [upstream, state] : m_entries)
    {
        const duration latency{static_cast<duration::rep>(state.m_latency_ns)};
        const bool draining = state.m_draining && now < state.m_draining_until;
        result.emplace_back(upstream, state.m_admission.state(), state.m_admission.in_flight(), latency,
                            draining);
    }
    std::sort(result.begin(), result.end(),
              [](const upstream_status& lhs, const upstream_status& rhs)
              { return lhs.upstream() < rhs.upstream(); });
    return result;
}

} // namespace teasellead
