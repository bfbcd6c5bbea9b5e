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
    m_history.push_back({item.m_revision, item.m_key});
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
    return true;
}

void publication_log::note_outdated(const published_item& item, const published_item& known)
{
    if (item == known)
    {
        return;
    }
    if (m_outdated.is_empty())
    {
        m_outdated = {0, 0, item.m_key, item.m_revision, known.m_revision};
    }
    ++m_outdated.m_items;
}

std::vector<published_item> publication_log::on_listing(const std::vector<published_item>& items,
                                                        const std::vector<std::string>& unchanged,
                                                        std::uint64_t as_of)
{
    std::vector<published_item> changes;
    if (as_of < m_as_of)
    {
        if (m_outdated.is_empty())
        {
            m_outdated = {0, 0, {}, as_of, m_as_of};
        }
        ++m_outdated.m_listings;
        return changes;
    }
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
        if (listed.count(key) == 0 && item.m_revision <= as_of)
        {
            missing.push_back(key);
        }
    }
    for (const std::string& key : missing)
    {
        // the revision of the removal isn't known; it is at most the revision of the listing
        const published_item removal{key, std::nullopt, as_of};
        m_items.erase(key);
        m_removed[key] = as_of;
        m_history.push_back({as_of, key});
        changes.push_back(removal);
    }
    // items that were added and removed again before the listing aren't in the history
    m_history_from = std::max(m_history_from, as_of);
    m_as_of = as_of;
    return changes;
}

std::vector<published_item> publication_log::on_changes(const std::vector<published_item>& items,
                                                        std::uint64_t as_of)
{
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

publication_delta publication_log::since(std::uint64_t have) const
{
    publication_delta delta;
    delta.m_as_of = m_as_of;
    if (have >= m_as_of)
    {
        return delta;
    }
    delta.m_is_full = have < m_history_from;
    if (delta.m_is_full)
    {
        for (const auto& [key, item] : m_items)
        {
            if (item.m_revision > have)
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
    std::set<std::string> changed;
    for (const change& each : m_history)
    {
        if (each.m_revision > have)
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
        delta.m_items.push_back({key, std::nullopt, removed == m_removed.end() ? m_as_of : removed->second});
    }
    std::sort(delta.m_items.begin(), delta.m_items.end(),
              [](const published_item& lhs, const published_item& rhs)
              { return lhs.m_revision < rhs.m_revision; });
    return delta;
}

} // namespace teasellead
