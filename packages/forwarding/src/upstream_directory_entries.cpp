#include "teasellead/forwarding/upstream_directory.hpp"

#include <algorithm>
#include <utility>

namespace teasellead::forwarding
{

namespace
{

// Versions of entries are also kept for removed instances; those are cleared once the total exceeds
// max_states_per_upstream for each listed upstream, plus min_states.
constexpr std::size_t max_states_per_upstream = 4;
constexpr std::size_t min_states = 256;

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
    state.m_was_removed = false;
    m_expired.erase(entry.m_instance);
    m_held_back.erase(entry.m_instance);
    const auto known = m_by_instance.find(entry.m_instance);
    if (known != m_by_instance.end())
    {
        const upstream_entry& old = known->second->entry();
        if (old.m_is_draining != entry.m_is_draining)
        {
            count_change(entry.m_service);
        }
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
    count_change(entry.m_service);
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
    count_change(removed->entry().m_service);
}

entry_outcome upstream_directory::on_change(const directory_item& item, time_point now)
{
    if (!item.m_entry)
    {
        m_held_back.erase(item.m_instance);
        erase(item.m_instance);
        return entry_outcome::removed;
    }
    // entries may arrive out of order
    if (is_outdated(*item.m_entry))
    {
        return entry_outcome::outdated;
    }
    insert(*item.m_entry, now);
    return entry_outcome::listed;
}

entry_outcome upstream_directory::on_restored(const directory_item& item, time_point now)
{
    const auto known = m_instance_states.find(item.m_instance);
    const bool was_removed = item.m_entry && known != m_instance_states.end() &&
                             known->second.m_was_removed &&
                             item.m_entry->m_incarnation == known->second.m_incarnation &&
                             item.m_entry->m_sequence <= known->second.m_sequence;
    if (!was_removed)
    {
        return on_change(item, now);
    }
    m_held_back.insert_or_assign(item.m_instance, *item.m_entry);
    return entry_outcome::held_back;
}

void upstream_directory::release_held_back(time_point now)
{
    const auto entries = std::exchange(m_held_back, {});
    for (const auto& [instance, entry] : entries)
    {
        insert(entry, now);
    }
}

void upstream_directory::erase_removed(const std::string& instance)
{
    if (const auto state = m_instance_states.find(instance); state != m_instance_states.end())
    {
        state->second.m_was_removed = true;
    }
    erase(instance);
}

void upstream_directory::on_removed(const std::string& instance, bool keep_if_expired)
{
    m_held_back.erase(instance);
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
    erase_removed(instance);
}

void upstream_directory::remove_expired()
{
    const std::set<std::string> lapsed = std::move(m_expired);
    m_expired.clear();
    for (const std::string& instance : lapsed)
    {
        erase_removed(instance);
    }
}

std::vector<ended_upstream> upstream_directory::take_ended()
{
    return std::exchange(m_ended, {});
}

} // namespace teasellead::forwarding
