#include "teasellead/routing/upstream_table.hpp"

#include <algorithm>
#include <mutex>

namespace teasellead
{

namespace
{

constexpr double latency_weight = 0.2; // weight of a new sample in the moving average

// an idle upstream's latency estimate has halved after this time, so that it is tried again
constexpr std::chrono::seconds latency_half_life{10};

double nanoseconds_of(duration value)
{
    return static_cast<double>(std::chrono::nanoseconds{value}.count());
}

bool contains(std::span<const endpoint> values, const endpoint& value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

double moving_average(double average, double sample)
{
    return average == 0.0 ? sample : average + latency_weight * (sample - average);
}

} // namespace

upstream_table::upstream_table(upstream_table_settings settings) : m_settings(settings)
{
}

void upstream_table::update_share(entry& state) const
{
    if (state.m_share_version == m_views_version)
    {
        return;
    }
    state.m_share_version = m_views_version;
    state.m_share = host_share{0, 0, 0, 0};
    state.m_cold_owner.reset();
    for (std::size_t position = 0; position < m_views.size(); ++position)
    {
        const host_view& view = m_views[position];
        const host_share view_share = share_of(state.m_holder, state.m_limits, view);
        if (view.hosts().empty())
        {
            state.m_share = host_share{0, 0, 0, 0};
            state.m_cold_owner.reset();
            return;
        }
        const endpoint& owner = cold_owner_of(state.m_holder, view).peer();
        const bool is_first = position == 0;
        state.m_share = is_first ? view_share : memberwise_min(state.m_share, view_share);
        const bool is_agreed = is_first || state.m_cold_owner == owner;
        state.m_cold_owner = is_agreed ? std::optional{owner} : std::nullopt;
    }
}

host_share upstream_table::share_at(entry& state, time_point now) const
{
    update_share(state);
    return now < m_cold_until ? state.m_share : state.m_share.without_cold_requests();
}

bool upstream_table::receives_work(const entry& state, time_point now) const
{
    // while connections are open, they still lead to the process that replied that it is draining
    const bool is_draining =
        state.m_draining && (now < state.m_draining_until || state.m_admission.verified());
    return state.m_live && !is_draining;
}

void upstream_table::record_cold_demand(const std::vector<entry*>& cold, bool is_only_choice)
{
    if (m_views.empty())
    {
        return;
    }
    for (entry* const state : cold)
    {
        // a lease on an upstream of another data centre is of more use to the hosts there
        const bool is_local = state->m_holder.data_centre() == m_views.front().self().data_centre();
        const bool may_borrow = state->m_cold_owner.has_value() && state->m_share.connections() > 0;
        if (!may_borrow || (!is_local && !is_only_choice) ||
            *state->m_cold_owner == m_views.front().self().peer())
        {
            continue;
        }
        if (state->m_demand_round != m_demand_round)
        {
            state->m_demand_round = m_demand_round;
            m_cold_demands.push_back(cold_demand{state->m_holder.upstream(), *state->m_cold_owner});
        }
    }
}

selection upstream_table::select(const shard_target& target, const configuration& current,
                                 std::span<const endpoint> tried, random_source& random, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    std::vector<replica_candidate> candidates;
    candidates.reserve(target.shard().replicas().size());
    std::vector<entry*> cold;
    bool any_full = false;
    const std::string* const own_data_centre =
        m_views.empty() ? nullptr : &m_views.front().self().data_centre();
    for (const replica& holder : target.shard().replicas())
    {
        if (holder.leaving() || contains(tried, holder.upstream()) || !current.is_live(holder.data_centre()))
        {
            continue;
        }
        entry* const found = find_or_add(target, holder);
        if (found == nullptr || !receives_work(*found, now))
        {
            continue;
        }
        entry& state = *found;
        const host_share share = share_at(state, now);
        const upstream_admission& admission = state.m_admission;
        const std::uint32_t occupied = admission.occupied(now);
        const std::uint32_t allowed =
            m_settings.cold_start_limit() ? admission.allowance(share, now) : share.slots();
        if (occupied >= allowed)
        {
            const bool is_cold = m_settings.cold_start_limit() && !admission.confirmed_warm();
            if (is_cold)
            {
                cold.push_back(found);
            }
            any_full = any_full || !is_cold;
            continue;
        }
        const bool is_local = own_data_centre != nullptr && holder.data_centre() == *own_data_centre;
        const double idle = nanoseconds_of(now - state.m_last_reply) / nanoseconds_of(latency_half_life);
        const auto latency = static_cast<duration::rep>(state.m_latency_ns / (1.0 + idle));
        candidates.emplace_back(holder.upstream(), occupied, duration{latency}, is_local);
    }
    record_cold_demand(cold, candidates.empty());
    if (!candidates.empty())
    {
        return start(candidates[choose(m_settings.selector(), candidates, random)].upstream(), now);
    }
    if (any_full)
    {
        return all_at_capacity{};
    }
    if (!cold.empty())
    {
        return all_cold{};
    }
    return no_replica{};
}

chosen_replica upstream_table::start(const endpoint& upstream, time_point now)
{
    entry& state = m_entries[upstream];
    upstream_admission& admission = state.m_admission;
    admission.start(now);
    if (!m_settings.cold_start_limit())
    {
        return chosen_replica{upstream, false};
    }
    if (admission.confirmed_warm())
    {
        return chosen_replica{upstream, true};
    }
    const bool is_owner = share_at(state, now).cold_requests() > 0;
    const cold_request_settings& limits = m_settings.cold_requests();
    // from m_cold_until on, another host may own the cold-start allowance
    const time_point own_end = std::min(now + limits.m_attempt_limit, m_cold_until - limits.m_cancel_delay);
    return chosen_replica{upstream, admission.verified(), is_owner ? own_end : admission.lease_end()};
}

bool upstream_table::is_fast(const entry& state, duration latency) const
{
    const auto warm = m_warm_latency_ns.find(state.m_service);
    const bool is_unknown = warm == m_warm_latency_ns.end() || warm->second == 0.0;
    return is_unknown || nanoseconds_of(latency) <= m_settings.cold_requests().m_slow_ratio * warm->second;
}

void upstream_table::record_latency(entry& state, duration latency, time_point now)
{
    const double sample = nanoseconds_of(latency);
    state.m_latency_ns = moving_average(state.m_latency_ns, sample);
    state.m_last_reply = now;
    if (state.m_admission.confirmed_warm())
    {
        double& warm = m_warm_latency_ns[state.m_service];
        warm = moving_average(warm, sample);
    }
}

void upstream_table::queue_evidence(const endpoint& upstream, const admission_change& change)
{
    if (change.m_ended.has_value())
    {
        m_new_evidence.emplace_back(upstream, *change.m_ended, false);
    }
    if (change.m_confirmed_warm.has_value())
    {
        m_new_evidence.emplace_back(upstream, *change.m_confirmed_warm, true);
    }
}

void upstream_table::on_reply(const endpoint& upstream, upstream_incarnation incarnation, duration latency,
                              time_point now)
{
    const std::scoped_lock lock{m_mutex};
    entry* const state = find(upstream);
    if (state == nullptr)
    {
        return;
    }
    record_latency(*state, latency, now);
    state->m_draining = state->m_draining && now - latency < state->m_draining_until;
    const host_share share = share_at(*state, now);
    const bool fast = is_fast(*state, latency);
    queue_evidence(upstream, state->m_admission.on_reply(incarnation, now - latency, fast, share,
                                                         m_settings.warming(), now));
}

void upstream_table::on_failure(const endpoint& upstream, attempt_failure failure, duration elapsed,
                                time_point now)
{
    const std::scoped_lock lock{m_mutex};
    entry* const state = find(upstream);
    if (state == nullptr)
    {
        return;
    }
    upstream_admission& admission = state->m_admission;
    const host_share share = share_at(*state, now);
    switch (failure)
    {
    case attempt_failure::lost:
        admission.on_shed(share, m_settings.warming(), now);
        admission.on_disconnected();
        break;
    case attempt_failure::not_connected:
        admission.on_refused();
        admission.on_disconnected();
        break;
    case attempt_failure::shed:
        admission.on_shed(share, m_settings.warming(), now);
        break;
    case attempt_failure::timed_out:
        admission.on_abandoned(now + m_settings.cold_requests().m_cancel_delay, now);
        admission.lower_allowance(share, m_settings.warming(), now);
        state->m_latency_ns = std::max(state->m_latency_ns, nanoseconds_of(elapsed));
        state->m_last_reply = now;
        break;
    case attempt_failure::draining:
        admission.on_refused();
        state->m_draining = true;
        state->m_draining_until = now + m_settings.drain_memory();
        break;
    case attempt_failure::wrong_snapshot:
    case attempt_failure::no_free_connection:
        admission.on_refused();
        break;
    case attempt_failure::invalid_reply:
        admission.on_abandoned(now + m_settings.cold_requests().m_cancel_delay, now);
        break;
    }
}

void upstream_table::on_cancelled(const endpoint& upstream, duration elapsed, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    entry* const state = find(upstream);
    if (state == nullptr)
    {
        return;
    }
    state->m_admission.on_abandoned(now + m_settings.cold_requests().m_cancel_delay, now);
    // the reply would have taken at least as long as the elapsed time
    state->m_latency_ns = std::max(state->m_latency_ns, nanoseconds_of(elapsed));
    state->m_last_reply = now;
}

void upstream_table::on_disconnected(const endpoint& upstream)
{
    const std::scoped_lock lock{m_mutex};
    if (entry* const state = find(upstream))
    {
        state->m_admission.on_disconnected();
    }
}

void upstream_table::on_health(const endpoint& upstream, bool healthy, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    entry* const state = find(upstream);
    if (healthy || state == nullptr || now < state->m_next_health_step)
    {
        return;
    }
    state->m_admission.lower_allowance(share_at(*state, now), m_settings.warming(), now);
    state->m_next_health_step = now + m_settings.warming().max_step();
}

} // namespace teasellead
