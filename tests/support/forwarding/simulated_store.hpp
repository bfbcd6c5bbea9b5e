#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "event_queue.hpp"
#include "teasellead/runtime/deployment.hpp"

namespace teasellead::testing
{

/// key of the configuration
inline const std::string declarations_key = "declarations";
/// key prefixes of upstreams and evacuations
inline const std::string upstream_key = "upstream/";
inline const std::string evacuation_key = "evacuation/";

/// items published by a simulated platform, with revisions and a short history
class simulated_store
{
  public:
    explicit simulated_store(const event_queue& queue) : m_queue(queue)
    {
    }

    /// publishes a decoded item under a key
    void publish(const std::string& key, runtime::publication decoded)
    {
        m_meanings.push_back(std::move(decoded));
        change(key, std::to_string(m_meanings.size() - 1));
    }

    /// removes a key
    void remove(const std::string& key)
    {
        if (m_items.count(key) > 0)
        {
            change(key, std::nullopt);
        }
    }

    [[nodiscard]] std::vector<published_item> listing() const
    {
        std::vector<published_item> result;
        for (const auto& [key, item] : m_items)
        {
            result.push_back(item);
        }
        return result;
    }

    /// changes after a position, or nothing if the history no longer contains them
    [[nodiscard]] std::optional<std::vector<published_item>>
    changes_after(const publication_position& known) const
    {
        const std::uint64_t revision = known.revision();
        if (revision < m_forgotten_to || known.epoch() != m_epoch)
        {
            return std::nullopt;
        }
        std::vector<published_item> result;
        for (const recorded& each : m_history)
        {
            if (each.m_item.m_revision > revision)
            {
                result.push_back(each.m_item);
            }
        }
        return result;
    }

    [[nodiscard]] publication_position position() const noexcept
    {
        return {m_epoch, m_revision};
    }

    /// the decoded value of an item
    [[nodiscard]] runtime::publication meaning_of(const published_item& item) const
    {
        if (item.m_value)
        {
            return m_meanings.at(std::stoul(*item.m_value));
        }
        if (item.m_key.starts_with(upstream_key))
        {
            return runtime::upstream_withdrawn{item.m_key.substr(upstream_key.size())};
        }
        if (item.m_key.starts_with(evacuation_key))
        {
            return runtime::data_centre_evacuated{item.m_key.substr(evacuation_key.size()), false};
        }
        return runtime::irrelevant_item{};
    }

    [[nodiscard]] bool is_down() const noexcept
    {
        return m_is_down;
    }

    void set_down(bool is_down) noexcept
    {
        m_is_down = is_down;
    }

  private:
    static constexpr duration history = std::chrono::seconds{8};

    struct recorded
    {
        time_point m_at;
        published_item m_item;
    };

    void change(const std::string& key, std::optional<std::string> value)
    {
        const published_item item{key, std::move(value), ++m_revision};
        m_history.push_back({m_queue.now(), item});
        while (m_history.front().m_at + history < m_queue.now())
        {
            m_forgotten_to = m_history.front().m_item.m_revision;
            m_history.pop_front();
        }
        if (item.m_value)
        {
            m_items[key] = item;
        }
        else
        {
            m_items.erase(key);
        }
    }

    const event_queue& m_queue;
    std::uint64_t m_epoch{1};
    std::uint64_t m_revision{0};
    std::uint64_t m_forgotten_to{0};
    std::map<std::string, published_item> m_items;
    std::deque<recorded> m_history;
    std::vector<runtime::publication> m_meanings;
    bool m_is_down{false};
};

} // namespace teasellead::testing
