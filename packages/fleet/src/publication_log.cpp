#include "teasellead/fleet/publication_log.hpp"

#include <algorithm>
#include <set>

namespace teasellead
{

namespace
{

constexpr std::size_t max_history = 1024;

} // namespace

std::size_t publication_delta::bytes() const noexcept
{
    std::size_t result = 0;
    for (const published_item& item : m_items)
    {
        result += item.m_key.size() + (item.m_value ? item.m_value->size() : 0);
    }
    for (const std::string& key : m_unchanged)
    {
        result += key.size();
    }
    return result;
}

bool publication_log::apply(const published_item& item)
{
    const auto known = m_items.find(item.m_key);
    const auto removed = m_removed.find(item.m_key);
    if (known != m_items.end() && known->second.m_revision >= item.m_revision)
    {
        note_outdated(item, known->second);
        return false;
    }
    if (removed != m_removed.end() && removed->second >= item.m_revision)
    {
        note_outdated(item, {item.m_key, std::nullopt, removed->second});
        return false;
    }
    if (item.m_value)
    {
        m_items.insert_or_assign(item.m_key, item);
        m_removed.erase(item.m_key);
    }
    else
    {
        if (known != m_items.end())
        {
            m_items.erase(known);
        }
        m_removed[item.m_key] = item.m_revision;
    }
    record(item.m_revision, item.m_key);
    return true;
}

void publication_log::record(std::uint64_t revision, const std::string& key)
{
    m_history.push_back({revision, key});
    while (m_history.size() > max_history)
    {
        const change& oldest = m_history.front();
        m_history_from = std::max(m_history_from, oldest.m_revision);
        const auto discarded = m_removed.find(oldest.m_key);
        if (discarded != m_removed.end() && discarded->second <= oldest.m_revision)
        {
            m_removed.erase(discarded);
        }
        m_history.pop_front();
    }
}

void publication_log::note_outdated(const published_item& item, const published_item& known)
{
    if (item == known)
    {
        return;
    }
    if (m_outdated.is_empty())
    {
        m_outdated = {
            0, 0, item.m_key, {m_as_of.epoch(), item.m_revision}, {m_as_of.epoch(), known.m_revision}};
    }
    ++m_outdated.m_items;
}

void publication_log::note_outdated(const publication_position& listing)
{
    if (m_outdated.is_empty())
    {
        m_outdated = {0, 0, {}, listing, m_as_of};
    }
    ++m_outdated.m_listings;
}

std::vector<published_item> publication_log::on_listing(const std::vector<published_item>& items,
                                                        const std::vector<std::string>& unchanged,
                                                        const publication_position& as_of)
{
    if (as_of < m_as_of)
    {
        note_outdated(as_of);
        return {};
    }
    if (as_of.epoch() != m_as_of.epoch())
    {
        return begin_epoch(items, as_of);
    }
    std::vector<published_item> changes;
    std::set<std::string> listed{unchanged.begin(), unchanged.end()};
    for (const published_item& item : items)
    {
        listed.insert(item.m_key);
        if (apply(item))
        {
            changes.push_back(item);
        }
    }
    std::vector<std::string> missing;
    for (const auto& [key, item] : m_items)
    {
        if (listed.count(key) == 0 && item.m_revision <= as_of.revision())
        {
            missing.push_back(key);
        }
    }
    remove_missing(missing, as_of, changes);
    return changes;
}

std::vector<published_item> publication_log::begin_epoch(const std::vector<published_item>& items,
                                                         const publication_position& as_of)
{
    const std::unordered_map<std::string, published_item> before = std::exchange(m_items, {});
    m_removed.clear();
    m_history.clear();
    m_history_from = 0;
    std::vector<published_item> changes;
    for (const published_item& item : items)
    {
        const auto known = before.find(item.m_key);
        if (known == before.end() || known->second.m_value != item.m_value)
        {
            changes.push_back(item);
        }
        m_items.insert_or_assign(item.m_key, item);
        record(item.m_revision, item.m_key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, item] : before)
    {
        if (m_items.count(key) == 0)
        {
            missing.push_back(key);
        }
    }
    remove_missing(missing, as_of, changes);
    return changes;
}

void publication_log::remove_missing(const std::vector<std::string>& keys, const publication_position& as_of,
                                     std::vector<published_item>& changes)
{
    for (const std::string& key : keys)
    {
        // the revision of the removal isn't known; it is at most the revision of the listing
        m_items.erase(key);
        m_removed[key] = as_of.revision();
        m_history.push_back({as_of.revision(), key});
        changes.push_back({key, std::nullopt, as_of.revision()});
    }
    // items that were added and removed again before the listing aren't in the history
    m_history_from = std::max(m_history_from, as_of.revision());
    m_as_of = as_of;
}

std::vector<published_item> publication_log::on_changes(const std::vector<published_item>& items,
                                                        const publication_position& as_of)
{
    if (as_of.epoch() != m_as_of.epoch())
    {
        note_outdated(as_of);
        return {};
    }
    std::vector<published_item> changes;
    for (const published_item& item : items)
    {
        if (apply(item))
        {
            changes.push_back(item);
        }
    }
    m_as_of = std::max(m_as_of, as_of);
    return changes;
}

publication_delta publication_log::all_items(const publication_position& have) const
{
    publication_delta delta;
    delta.m_as_of = m_as_of;
    delta.m_is_full = true;
    for (const auto& [key, item] : m_items)
    {
        if (have.epoch() != m_as_of.epoch() || item.m_revision > have.revision())
        {
            delta.m_items.push_back(item);
        }
        else
        {
            delta.m_unchanged.push_back(key);
        }
    }
    return delta;
}

publication_delta publication_log::since(const publication_position& have) const
{
    publication_delta delta;
    delta.m_as_of = m_as_of;
    if (have >= m_as_of)
    {
        return delta;
    }
    if (have.epoch() != m_as_of.epoch() || have.revision() < m_history_from)
    {
        return all_items(have);
    }
    std::set<std::string> changed;
    for (const change& each : m_history)
    {
        if (each.m_revision > have.revision())
        {
            changed.insert(each.m_key);
        }
    }
    for (const std::string& key : changed)
    {
        const auto known = m_items.find(key);
        if (known != m_items.end())
        {
            delta.m_items.push_back(known->second);
            continue;
        }
        const auto removed = m_removed.find(key);
        const std::uint64_t revision = removed == m_removed.end() ? m_as_of.revision() : removed->second;
        delta.m_items.push_back({key, std::nullopt, revision});
    }
    std::sort(delta.m_items.begin(), delta.m_items.end(),
              [](const published_item& lhs, const published_item& rhs)
              { return lhs.m_revision < rhs.m_revision; });
    return delta;
}

} // namespace teasellead
