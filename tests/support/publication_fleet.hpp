#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "event_queue.hpp"
#include "teasellead/fleet/codec.hpp"
#include "teasellead/fleet/publication_follower.hpp"
#include "teasellead/fleet/publication_log.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead::testing
{

/// a network link on which messages wait for each other
class simulated_link
{
  public:
    explicit simulated_link(double bytes_per_second) : m_bytes_per_second(bytes_per_second)
    {
    }

    /*!
    @brief sends bytes after all that were sent before

    @return when the last of them has left
    */
    time_point send(std::size_t bytes, time_point now)
    {
        const std::chrono::duration<double> length{static_cast<double>(bytes) / m_bytes_per_second};
        m_free_at = std::max(m_free_at, now) + std::chrono::duration_cast<duration>(length);
        return m_free_at;
    }

  private:
    double m_bytes_per_second;
    time_point m_free_at{};
};

/// size of a simulated fleet, its links and its settings
struct publication_fleet_settings
{
    std::size_t m_nodes{30};
    double m_bytes_per_second{2'500'000}; ///< of each node's link in one direction
    std::size_t m_text_bytes{30'000};     ///< size of the configuration
    std::size_t m_entries{380};           ///< number of the other items
    std::size_t m_entry_bytes{220};
    follower_settings m_follower{};
};

/// how a node of the simulation can't use the source
enum class source_fault
{
    none,
    silent, ///< nothing arrives in either direction
    refused ///< connections are reset at once
};

/*!
@brief nodes of one data centre that read a source directly or ask each other, over links with a rate

Each node has the product's decisions (@ref publication_follower, @ref publication_log) and a model of the
reader of the source: one call at a time, which is lost after a time without an answer and repeated. The
source itself never fails.
*/
class publication_fleet
{
  public:
    publication_fleet(const publication_fleet_settings& settings, std::uint64_t seed)
        : m_settings(settings), m_random(seed)
    {
        m_events.run_until(started_at());
        for (std::size_t entry = 0; entry < settings.m_entries; ++entry)
        {
            ++m_revision;
            m_published.push_back(
                {"servers/" + std::to_string(entry), std::string(settings.m_entry_bytes, 'e'), m_revision});
        }
        publish();
        for (std::size_t index = 0; index < settings.m_nodes; ++index)
        {
            m_nodes.push_back(std::make_unique<node>(address_of(index), settings, seed + index));
        }
        for (std::size_t index = 0; index < settings.m_nodes; ++index)
        {
            m_nodes[index]->m_follower.on_members(others_of(index), {});
            m_events.after(std::chrono::milliseconds{m_random.below(100)}, [this, index] { tick(index); });
        }
    }

    [[nodiscard]] time_point now() const noexcept
    {
        return m_events.now();
    }

    [[nodiscard]] static constexpr time_point started_at() noexcept
    {
        return time_point{std::chrono::hours{1}};
    }

    void run_for(duration length)
    {
        m_events.run_until(now() + length);
    }

    /// replaces the configuration, most of which stays as it was
    void publish()
    {
        ++m_revision;
        std::erase_if(m_published, [](const published_item& item) { return item.m_key == "op/config"; });
        std::string text(m_settings.m_text_bytes, 'c');
        const std::string changed = std::to_string(m_revision);
        text.replace(text.size() / 2, changed.size(), changed);
        m_published.push_back({"op/config", std::move(text), m_revision});
        m_changes.push_back({position(), now()});
    }

    /// replaces the value of one of the other items
    void publish_entry(std::size_t entry, const std::string& value)
    {
        ++m_revision;
        const std::string key = "servers/" + std::to_string(entry);
        std::erase_if(m_published, [&](const published_item& item) { return item.m_key == key; });
        m_published.push_back({key, value, m_revision});
        m_changes.push_back({position(), now()});
    }

    /// what the source holds at a moment
    struct backup
    {
        std::vector<published_item> m_published;
        std::uint64_t m_revision{0};
    };

    [[nodiscard]] backup back_up() const
    {
        return {m_published, m_revision};
    }

    /// the source answers no call until it is restored
    void take_source_away() noexcept
    {
        m_is_away = true;
    }

    /// the source comes back from a backup: it has lost the changes since, and gives their revisions out
    /// again
    void restore(const backup& earlier)
    {
        m_is_away = false;
        m_published = earlier.m_published;
        m_revision = earlier.m_revision;
        m_history_from = m_revision;
        ++m_epoch;
        m_changes.clear();
        m_changes.push_back({position(), now()});
    }

    /// the place up to which the source has changes
    [[nodiscard]] publication_position position() const noexcept
    {
        return {m_epoch, m_revision};
    }

    /// the place up to which a node has changes
    [[nodiscard]] publication_position position_of(std::size_t index) const
    {
        return m_nodes[index]->m_log.as_of();
    }

    /// number of items whose value at a node isn't the one at the source
    [[nodiscard]] std::size_t wrong_items(std::size_t index) const
    {
        std::map<std::string, std::optional<std::string>> known;
        for (const published_item& item : m_nodes[index]->m_log.since({}).m_items)
        {
            known[item.m_key] = item.m_value;
        }
        std::size_t result = known.size() - std::min(known.size(), m_published.size());
        for (const published_item& item : m_published)
        {
            const auto found = known.find(item.m_key);
            result += found == known.end() || found->second != item.m_value ? 1 : 0;
        }
        return result;
    }

    void set_source_fault(std::size_t index, source_fault fault)
    {
        m_nodes[index]->m_source_fault = fault;
    }

    /// a node's next call to the source is lost
    void lose_next_call(std::size_t index)
    {
        m_nodes[index]->m_loses_next_call = true;
    }

    /// the source forgets earlier changes, so that a node that lacks one must read a listing
    void drop_history()
    {
        m_history_from = m_revision;
    }

    /// the nodes in the order in which they are to read the source
    [[nodiscard]] std::vector<std::size_t> ranking() const
    {
        std::vector<std::size_t> result;
        for (std::size_t index = 0; index < m_nodes.size(); ++index)
        {
            result.push_back(index);
        }
        std::sort(result.begin(), result.end(),
                  [](std::size_t lhs, std::size_t rhs)
                  { return publication_follower::comes_before(address_of(lhs), address_of(rhs)); });
        return result;
    }

    /// how long a node has gone without the oldest change that it lacks; zero if it lacks none
    [[nodiscard]] duration lag(std::size_t index) const
    {
        const publication_position known = m_nodes[index]->m_log.as_of();
        for (const auto& [changed_to, published_at] : m_changes)
        {
            if (changed_to > known)
            {
                return now() - published_at;
            }
        }
        return duration::zero();
    }

    /// bytes that a node has sent to other nodes
    [[nodiscard]] std::size_t sent_bytes(std::size_t index) const
    {
        return m_nodes[index]->m_sent_bytes;
    }

  private:
    using milliseconds = std::chrono::milliseconds;

    struct node
    {
        node(const endpoint& self, const publication_fleet_settings& settings, std::uint64_t seed)
            : m_follower(self, settings.m_follower, seed), m_up(settings.m_bytes_per_second),
              m_down(settings.m_bytes_per_second),
              // times as on the users' platform
              m_schedule(milliseconds{1200}, milliseconds{1000},
                         std::chrono::duration_cast<milliseconds>(settings.m_follower.max_reader_staleness()))
        {
        }

        publication_follower m_follower;
        publication_log m_log;
        simulated_link m_up;
        simulated_link m_down;
        source_fault m_source_fault{source_fault::none};
        bool m_loses_next_call{false};
        bool m_is_reading{false};
        std::uint64_t m_call{0}; ///< number of the current call to the source
        source_call_schedule m_schedule;
        milliseconds m_wait{}; ///< how long the source holds the current call
        std::size_t m_sent_bytes{0};
    };

    static constexpr milliseconds tick_period{100};
    static constexpr milliseconds network_delay{1};
    static constexpr milliseconds source_delay{4};
    static constexpr std::size_t call_bytes = 300;
    // base64 text in JSON
    static constexpr double source_encoding = 1.4;

    static endpoint address_of(std::size_t index)
    {
        return endpoint{static_cast<std::uint32_t>(10 + index), 7000};
    }

    [[nodiscard]] std::vector<endpoint> others_of(std::size_t index) const
    {
        std::vector<endpoint> result;
        for (std::size_t other = 0; other < m_settings.m_nodes; ++other)
        {
            if (other != index)
            {
                result.push_back(address_of(other));
            }
        }
        return result;
    }

    void tick(std::size_t index)
    {
        m_events.after(tick_period, [this, index] { tick(index); });
        node& self = *m_nodes[index];
        const bool reads = !self.m_log.as_of().has_items() || self.m_follower.reads_source(now());
        if (reads && !self.m_is_reading)
        {
            self.m_is_reading = true;
            self.m_schedule.on_start(self.m_log.as_of().has_items());
            call_source(index);
        }
        else if (!reads && self.m_is_reading)
        {
            self.m_is_reading = false;
            ++self.m_call;
        }
        post(index, self.m_follower.on_tick(self.m_log.as_of(), now()));
    }

    void call_source(std::size_t index)
    {
        node& self = *m_nodes[index];
        const std::uint64_t call = ++self.m_call;
        const time_point sent_at = now();
        self.m_wait = self.m_schedule.watch_wait(sent_at);
        if (self.m_source_fault == source_fault::refused)
        {
            fail_call(index);
            return;
        }
        if (std::exchange(self.m_loses_next_call, false))
        {
            m_events.after(call_timeout(self), [this, index, call] { fail_call_if_current(index, call); });
            return;
        }
        m_events.after(call_timeout(self), [this, index, call] { fail_call_if_current(index, call); });
        const time_point arrives_at = self.m_up.send(call_bytes, now()) + network_delay;
        m_events.at(arrives_at, [this, index, call, sent_at] { hold_call(index, call, sent_at, now()); });
    }

    /// the source holds the call until there is a change
    void hold_call(std::size_t index, std::uint64_t call, time_point sent_at, time_point held_since)
    {
        node& self = *m_nodes[index];
        if (self.m_call != call || self.m_source_fault != source_fault::none || m_is_away)
        {
            return;
        }
        const publication_position known = self.m_log.as_of();
        if (known == position() && now() - held_since < self.m_wait)
        {
            m_events.after(source_delay, [this, index, call, sent_at, held_since]
                           { hold_call(index, call, sent_at, held_since); });
            return;
        }
        const bool is_listing = known.epoch() != m_epoch || known.revision() < m_history_from;
        std::vector<published_item> changes;
        std::size_t bytes = call_bytes;
        for (const published_item& item : m_published)
        {
            if (is_listing || item.m_revision > known.revision())
            {
                changes.push_back(item);
                bytes +=
                    static_cast<std::size_t>(source_encoding * static_cast<double>(item.m_value->size()));
            }
        }
        const time_point received_at = self.m_down.send(bytes, now() + network_delay);
        m_events.at(received_at,
                    [this, index, call, sent_at, is_listing, items = std::move(changes), as_of = position()]
                    { receive_items(index, call, sent_at, is_listing, items, as_of); });
    }

    void receive_items(std::size_t index, std::uint64_t call, time_point sent_at, bool is_listing,
                       const std::vector<published_item>& items, const publication_position& as_of)
    {
        node& self = *m_nodes[index];
        if (self.m_call != call || self.m_source_fault != source_fault::none || m_is_away)
        {
            return;
        }
        self.m_follower.on_source(true, now());
        if (is_listing)
        {
            self.m_log.on_listing(items, as_of);
        }
        else
        {
            self.m_log.on_changes(items, as_of);
        }
        self.m_follower.on_confirmation(
            self.m_schedule.on_watch_response(sent_at, self.m_wait, !items.empty(), now()));
        call_source_after(index, self.m_schedule.pause());
    }

    /// time without an answer after which a call has failed
    [[nodiscard]] static duration call_timeout(const node& self)
    {
        return self.m_schedule.time_limit(self.m_wait);
    }

    void fail_call_if_current(std::size_t index, std::uint64_t call)
    {
        if (m_nodes[index]->m_call == call)
        {
            fail_call(index);
        }
    }

    void fail_call(std::size_t index)
    {
        m_nodes[index]->m_follower.on_source(false, now());
        call_source_after(index, m_nodes[index]->m_schedule.on_failure(m_random));
    }

    void call_source_after(std::size_t index, duration pause)
    {
        const std::uint64_t call = ++m_nodes[index]->m_call;
        m_events.after(pause,
                       [this, index, call]
                       {
                           if (m_nodes[index]->m_call == call)
                           {
                               call_source(index);
                           }
                       });
    }

    void post(std::size_t sender, const std::vector<outgoing_message>& messages)
    {
        for (const outgoing_message& message : messages)
        {
            node& self = *m_nodes[sender];
            const std::size_t bytes = encode({address_of(sender), 1, message.m_content}).size();
            self.m_sent_bytes += bytes;
            const std::size_t receiver = message.m_receiver.address() - 10;
            const time_point left_at = self.m_up.send(bytes, now());
            m_events.at(left_at + network_delay,
                        [this, sender, receiver, bytes, content = message.m_content]
                        {
                            const time_point received_at = m_nodes[receiver]->m_down.send(bytes, now());
                            m_events.at(received_at, [this, sender, receiver, content]
                                        { receive(sender, receiver, content); });
                        });
        }
    }

    void receive(std::size_t sender, std::size_t receiver, const peer_content& content)
    {
        node& self = *m_nodes[receiver];
        if (const auto* const request = std::get_if<publication_request>(&content))
        {
            post(receiver,
                 {self.m_follower.answer(address_of(sender), *request, self.m_log, duration::zero(), now())});
            return;
        }
        const auto& reply = std::get<publication_reply>(content);
        [[maybe_unused]] const auto updates = self.m_follower.on_reply(address_of(sender), reply, self.m_log);
    }

    publication_fleet_settings m_settings;
    event_queue m_events;
    random_source m_random;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::uint64_t m_epoch{1};
    std::uint64_t m_revision{0};
    bool m_is_away{false};           ///< whether the source answers no call
    std::uint64_t m_history_from{0}; ///< later changes are in the source's history
    std::vector<published_item> m_published;
    std::vector<std::pair<publication_position, time_point>> m_changes; ///< places and times of the changes
};

} // namespace teasellead::testing
