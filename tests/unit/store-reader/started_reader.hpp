#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_reader.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace teasellead::platform::testing
{

/// how long a test waits for what must come
inline constexpr std::chrono::milliseconds enough{3000};

/// collects what a reader passes on
class recording_sink final : public runtime::publication_sink
{
  public:
    void on_listing(const std::vector<published_item>& items, const publication_position& as_of,
                    const confirmation_times&) override
    {
        const std::scoped_lock lock{m_mutex};
        m_listing = items;
        m_listed_to = as_of;
        m_changed.notify_all();
    }

    void on_changes(const std::vector<published_item>& items, const publication_position&,
                    const confirmation_times&) override
    {
        const std::scoped_lock lock{m_mutex};
        m_changes.insert(m_changes.end(), items.begin(), items.end());
        m_changed.notify_all();
    }

    void on_source_lost(const std::string&, time_point unreachable_since) override
    {
        const std::scoped_lock lock{m_mutex};
        m_unreachable_since = unreachable_since;
        m_changed.notify_all();
    }

    void on_source_regained(time_point) override
    {
    }

    /// the first listing; empty if there is none in time
    std::optional<std::vector<published_item>> wait_for_listing(std::chrono::milliseconds limit)
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait_for(lock, limit, [this] { return m_listing.has_value(); });
        return m_listing;
    }

    /// whether a listing of a position comes in time
    bool is_listed_to(const publication_position& expected)
    {
        std::unique_lock lock{m_mutex};
        return m_changed.wait_for(lock, enough, [&] { return m_listed_to == expected; });
    }

    /// since when the source may be unreachable; empty if it isn't lost in time
    std::optional<time_point> wait_for_loss()
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait_for(lock, enough, [this] { return m_unreachable_since.has_value(); });
        return m_unreachable_since;
    }

    /// keys of all changes so far
    std::set<std::string> changed_keys()
    {
        const std::scoped_lock lock{m_mutex};
        std::set<std::string> result;
        for (const published_item& each : m_changes)
        {
            result.insert(each.m_key);
        }
        return result;
    }

    void forget_listing()
    {
        const std::scoped_lock lock{m_mutex};
        m_listing.reset();
    }

    /// all changes so far, once one of them has the given key; empty if none has it in time
    std::vector<published_item> wait_for_change(const std::string& key)
    {
        std::unique_lock lock{m_mutex};
        const bool has_come = m_changed.wait_for(lock, enough,
                                                 [&]
                                                 {
                                                     return std::any_of(m_changes.begin(), m_changes.end(),
                                                                        [&](const published_item& each)
                                                                        { return each.m_key == key; });
                                                 });
        return has_come ? m_changes : std::vector<published_item>{};
    }

  private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<std::vector<published_item>> m_listing;
    publication_position m_listed_to;
    std::optional<time_point> m_unreachable_since;
    std::vector<published_item> m_changes;
};

/// a reader on a loop of its own
class started_reader
{
  public:
    explicit started_reader(const endpoint& store)
        : m_settings{store, std::chrono::milliseconds{300}, std::chrono::milliseconds{0},
                     std::chrono::milliseconds{2000}}
    {
        m_thread.run(
            [this]
            {
                m_reader = std::make_unique<store_reader>(m_thread.loop(), m_clock, m_sink, m_settings);
                m_reader->start({});
            });
    }

    ~started_reader()
    {
        m_thread.run([this] { m_reader.reset(); });
    }

    started_reader(const started_reader&) = delete;
    started_reader& operator=(const started_reader&) = delete;

    [[nodiscard]] recording_sink& sink() noexcept
    {
        return m_sink;
    }

    [[nodiscard]] std::uint64_t calls()
    {
        std::uint64_t result = 0;
        m_thread.run([&] { result = m_reader->calls(); });
        return result;
    }

  private:
    system_monotonic_clock m_clock;
    store_settings m_settings;
    recording_sink m_sink;
    runtime::loop_thread m_thread;
    std::unique_ptr<store_reader> m_reader;
};

/// whether items hold a key with a value
inline bool holds(const std::optional<std::vector<published_item>>& items, const std::string& key,
                  const std::string& value)
{
    return items && std::any_of(items->begin(), items->end(),
                                [&](const published_item& each)
                                { return each.m_key == key && each.m_value == value; });
}

/// a name that a key can have, readable in messages
inline std::string shown(const std::string& name)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned base = 16;
    std::string result;
    for (const char each : name.substr(0, 20))
    {
        const auto code = static_cast<unsigned char>(each);
        result += code > ' ' && code < 0x7f ? std::string{each}
                                            : std::string{'<', digits[code / base], digits[code % base], '>'};
    }
    return result;
}

} // namespace teasellead::platform::testing
