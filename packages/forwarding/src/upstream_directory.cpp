#include "teasellead/forwarding/upstream_directory.hpp"

#include <algorithm>
#include <utility>

namespace teasellead::forwarding
{

namespace
{

// added to the expected latency of upstreams in other data centres
constexpr duration remote_penalty = std::chrono::milliseconds{2};
// maximum random addition to an expected latency, as a fraction of it
constexpr double jitter = 0.15;
// Versions of entries are also kept for removed instances; those are cleared once the total exceeds
// max_states_per_upstream for each listed upstream, plus min_states.
constexpr std::size_t max_states_per_upstream = 4;
constexpr std::size_t min_states = 256;

bool contains(std::span<const shared_upstream> tried, const shared_upstream& candidate)
{
    return std::find(tried.begin(), tried.end(), candidate) != tried.end();
}

} // namespace

bool upstream_directory::is_outdated(const upstream_entry& entry) const
{
    const auto known = m_instance_states.find(entry.m_instance);
    if (known == m_instance_states.end() || entry.m_incarnation == 0)
    {
        return false;
    }
    const instance_state& last = known->second;
    return entry.m_incarnation < last.m_incarnation ||
           (entry.m_incarnation == last.m_incarnation && entry.m_sequence < last.m_sequence);
}

void upstream_directory::insert(const upstream_entry& entry, time_point now)
{
    // entries may arrive out of order
    if (is_outdated(entry))
    {
        return;
    }
    if (m_instance_states.size() > max_states_per_upstream * (m_by_instance.size() + 1) + min_states)
    {
        std::erase_if(m_instance_states,
                      [this](const auto& each) { return m_by_instance.count(each.first) == 0; });
    }
    instance_state& state = m_instance_states[entry.m_instance];
    if (state.m_incarnation != entry.m_incarnation)
    {
        state = {};
    }
    state.m_incarnation = entry.m_incarnation;
    state.m_sequence = entry.m_sequence;
    m_expired.erase(entry.m_instance);
    const auto known = m_by_instance.find(entry.m_instance);
    if (known != m_by_instance.end())
    {
        const upstream_entry& old = known->second->entry();
        const bool is_same_process = old.m_incarnation == entry.m_incarnation &&
                                     old.m_address == entry.m_address && old.m_service == entry.m_service;
        if (is_same_process)
        {
            known->second->update(entry, now);
            return;
        }
        erase(entry.m_instance);
    }
    record_address(entry);
    const auto added = std::make_shared<upstream>(entry, now);
    added->pause_until(state.m_paused_until);
    if (state.m_has_announced_shutdown)
    {
        added->set_announced_shutdown();
    }
    m_by_instance.emplace(entry.m_instance, added);
    m_by_service[entry.m_service].push_back(added);
}

void upstream_directory::record_address(const upstream_entry& entry)
{
    const auto before = m_by_address.find(entry.m_address);
    if (before == m_by_address.end())
    {
        m_by_address.emplace(entry.m_address, entry.m_instance);
        return;
    }
    const auto known = m_by_instance.find(before->second);
    const bool is_newer =
        known == m_by_instance.end() || known->second->entry().m_incarnation < entry.m_incarnation;
    if (!is_newer)
    {
        return;
    }
    // an address can be used by another process only after the previous one has ended
    if (known != m_by_instance.end() && !known->second->is_leaving())
    {
        m_ended.push_back({known->second->process(), known->second->entry().m_service});
    }
    before->second = entry.m_instance;
}

void upstream_directory::erase(const std::string& instance)
{
    const auto known = m_by_instance.find(instance);
    if (known == m_by_instance.end())
    {
        return;
    }
    const shared_upstream removed = known->second;
    const bool is_reported =
        std::any_of(m_ended.begin(), m_ended.end(),
                    [&removed](const ended_upstream& each) { return each.m_process == removed->process(); });
    if (!removed->is_leaving() && !is_reported)
    {
        m_ended.push_back({removed->process(), removed->entry().m_service});
    }
    const auto at_address = m_by_address.find(removed->entry().m_address);
    if (at_address != m_by_address.end() && at_address->second == instance)
    {
        m_by_address.erase(at_address);
    }
    removed->set_removed();
    const auto group = m_by_service.find(removed->entry().m_service);
    std::erase(group->second, removed);
    if (group->second.empty())
    {
        m_by_service.erase(group);
    }
    m_by_instance.erase(known);
    m_expired.erase(instance);
}

void upstream_directory::on_change(const directory_item& item, time_point now)
{
    if (item.m_entry)
    {
        insert(*item.m_entry, now);
        return;
    }
    erase(item.m_instance);
}

void upstream_directory::on_removed(const std::string& instance, bool keep_if_expired)
{
    const auto known = m_by_instance.find(instance);
    if (known == m_by_instance.end())
    {
        return;
    }
    // an upstream that was leaving has ended as announced, so its entry hasn't merely expired
    if (keep_if_expired && !known->second->is_leaving())
    {
        m_expired.insert(instance);
        return;
    }
    erase(instance);
}

void upstream_directory::on_notice(upstream& from, const upstream_notice& notice, time_point now)
{
    if (notice.m_load)
    {
        from.on_load(*notice.m_load, now);
    }
    if (!notice.is_request())
    {
        return;
    }
    instance_state& state = m_instance_states[from.entry().m_instance];
    const bool is_same_process = state.m_incarnation == from.entry().m_incarnation;
    if (notice.m_is_leaving)
    {
        from.set_announced_shutdown();
        state.m_has_announced_shutdown = state.m_has_announced_shutdown || is_same_process;
    }
    if (notice.m_pause)
    {
        const time_point until = now + std::min(*notice.m_pause, longest_pause);
        from.pause_until(std::max(from.paused_until(), until));
        state.m_paused_until = is_same_process ? from.paused_until() : state.m_paused_until;
    }
}

std::optional<time_point> upstream_directory::end_of_pause(const std::string& service, time_point now) const
{
    std::optional<time_point> result;
    const auto group = m_by_service.find(service);
    if (group == m_by_service.end())
    {
        return result;
    }
    for (const shared_upstream& each : group->second)
    {
        if (may_receive(*each) && each->is_paused(now))
        {
            result = std::min(result.value_or(time_point::max()), each->paused_until());
        }
    }
    return result;
}

void upstream_directory::remove_expired()
{
    const std::set<std::string> lapsed = std::move(m_expired);
    m_expired.clear();
    for (const std::string& instance : lapsed)
    {
        erase(instance);
    }
}

std::vector<ended_upstream> upstream_directory::take_ended()
{
    return std::exchange(m_ended, {});
}

void upstream_directory::set_evacuated(std::set<std::string> data_centres)
{
    m_evacuated = std::move(data_centres);
}

bool upstream_directory::may_receive(const upstream& candidate) const
{
    return !candidate.is_leaving() && m_evacuated.count(candidate.entry().m_data_centre) == 0;
}

std::variant<shared_upstream, no_upstream>
upstream_directory::choose(const std::string& service, std::span<const shared_upstream> tried,
                           const capacity_check& has_capacity, random_source& random, time_point now) const
{
    const auto group = m_by_service.find(service);
    if (group == m_by_service.end())
    {
        return no_upstream::none_known;
    }
    shared_upstream best;
    duration best_latency = duration::max();
    no_upstream failure = no_upstream::none_known;
    for (const shared_upstream& candidate : group->second)
    {
        if (!may_receive(*candidate) || candidate->is_ejected(now))
        {
            continue;
        }
        if (contains(tried, candidate))
        {
            failure = failure == no_upstream::none_known ? no_upstream::all_tried : failure;
            continue;
        }
        if (candidate->is_paused(now))
        {
            failure = failure == no_upstream::all_busy ? failure : no_upstream::all_paused;
            continue;
        }
        if (!candidate->is_below_ramp_up_limit(now) || !has_capacity(*candidate))
        {
            failure = no_upstream::all_busy;
            continue;
        }
        duration expected = candidate->expected_latency(now);
        if (candidate->entry().m_data_centre != m_own_data_centre)
        {
            expected += remote_penalty;
        }
        expected += std::chrono::duration_cast<duration>(expected * (jitter * random.unit()));
        if (expected < best_latency)
        {
            best = candidate;
            best_latency = expected;
        }
    }
    if (!best)
    {
        return failure;
    }
    return best;
}

bool upstream_directory::has_candidates(const std::string& service, time_point now) const
{
    const auto group = m_by_service.find(service);
    return group != m_by_service.end() && std::any_of(group->second.begin(), group->second.end(),
                                                      [this, now](const shared_upstream& candidate) {
                                                          return may_receive(*candidate) &&
                                                                 !candidate->is_ejected(now) &&
                                                                 !candidate->is_paused(now);
                                                      });
}

} // namespace teasellead::forwarding
