#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "event_queue.hpp"
#include "link_table.hpp"
#include "simulated_node.hpp"
#include "teasellead/fleet/configuration_relay.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/current_revision.hpp"
#include "teasellead/kernel/hashing.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead::testing
{

/*!
@brief a fleet of configuration relays with a platform, as a seeded discrete-event simulation

One thread, a manual clock and no sleeping. Faults are caused by the caller; the network loses one message
in a hundred and delays the others by 0.3 to 5 ms.
*/
class relay_simulation
{
  public:
    relay_simulation(const fleet_shape& shape, std::uint64_t seed)
        : m_shape(shape), m_random(seed),
          m_links(m_shape.m_has_periodic_hellos ? m_shape.m_nodes : 0, m_events.now())
    {
        const std::size_t count = m_shape.m_nodes;
        m_nodes.reserve(count);
        for (std::size_t index = 0; index < count; ++index)
        {
            const endpoint peer{0x7F010000U + static_cast<std::uint32_t>(index), 21000};
            const std::string data_centre = "dc-" + std::to_string(index % m_shape.m_data_centres);
            m_nodes.emplace_back(listed_host{peer, data_centre}, now());
        }
    }

    [[nodiscard]] time_point now() const noexcept
    {
        return m_events.now();
    }

    [[nodiscard]] std::vector<simulated_node>& nodes() noexcept
    {
        return m_nodes;
    }

    [[nodiscard]] random_source& random() noexcept
    {
        return m_random;
    }

    [[nodiscard]] const std::vector<published_text>& published() const noexcept
    {
        return m_published;
    }

    [[nodiscard]] std::uint64_t platform_reads() const noexcept
    {
        return m_platform_reads;
    }

    /// schedules an action for a time
    void at(time_point time, std::function<void()> action)
    {
        m_events.at(time, std::move(action));
    }

    /// runs all events up to a time
    void run_until(time_point end)
    {
        m_events.run_until(end);
    }

    /// publishes the next revision
    void publish(std::string text, bool is_valid)
    {
        m_published.push_back({m_published.size() + 1, std::move(text), is_valid, now()});
        const auto waiting = std::exchange(m_waiting, {});
        for (const auto& [index, read] : waiting)
        {
            answer(index, read, true);
        }
    }

    void start(std::size_t index)
    {
        simulated_node& node = m_nodes[index];
        node.m_cell = std::make_unique<current_revision>();
        node.m_relay = std::make_unique<configuration_relay>(*node.m_cell, node.m_host, m_shape.m_settings,
                                                             random_source{m_random.engine()()}, now());
        node.m_incarnation = m_random.engine()();
        node.m_is_alive = true;
        node.m_is_frozen = false;
        node.m_backlog.clear();
        node.m_announced = 0;
        node.m_must_recheck = false;
        node.m_stable_since = now();
        node.m_started = now();
        node.m_peers = listed_peers(m_nodes, index, m_shape.m_has_periodic_hellos, now());
        node.m_witnesses.clear();
        for (std::size_t other = 0; m_shape.m_has_periodic_hellos && other < m_nodes.size(); ++other)
        {
            const bool has_newer =
                m_nodes[other].in_force() >= std::max<revision_number>(node.m_highest_served, 1);
            if (other != index && has_newer && m_nodes[other].is_running() && !m_links.is_cut(index, other))
            {
                node.m_witnesses.push_back(other);
            }
        }
        tick(index, node.m_incarnation);
        hello_all(index, node.m_incarnation);
    }

    void stop(std::size_t index)
    {
        simulated_node& node = m_nodes[index];
        node.m_is_alive = false;
        node.m_is_frozen = false;
        node.m_stable_since = now();
        m_waiting.erase(index);
        forget_witness(index);
    }

    void freeze(std::size_t index)
    {
        m_nodes[index].m_is_frozen = m_nodes[index].m_is_alive;
        m_nodes[index].m_stable_since = now();
        forget_witness(index);
    }

    void wake(std::size_t index)
    {
        simulated_node& node = m_nodes[index];
        if (!node.m_is_frozen)
        {
            return;
        }
        // a shorter freeze delays the withdrawal of a key by no more than the network may delay it
        node.m_must_recheck = now() - node.m_stable_since > m_shape.m_settings.m_stall_limit + m_shape.m_tick;
        node.m_is_frozen = false;
        node.m_stable_since = now();
        for (const std::function<void()>& action : std::exchange(node.m_backlog, {}))
        {
            action();
        }
    }

    void set_platform(std::size_t index, bool is_reachable, std::size_t lag)
    {
        simulated_node& node = m_nodes[index];
        const bool was_good = node.m_has_platform && node.m_platform_lag == 0;
        node.m_has_platform = is_reachable;
        node.m_platform_lag = lag;
        if (!was_good || !is_reachable || lag != 0)
        {
            node.m_platform_since = now();
        }
    }

    void set_cut(std::size_t lhs, std::size_t rhs, bool is_cut_now)
    {
        m_links.set_cut(lhs, rhs, is_cut_now, now());
        if (is_cut_now)
        {
            std::erase(m_nodes[lhs].m_witnesses, rhs);
            std::erase(m_nodes[rhs].m_witnesses, lhs);
        }
    }

    [[nodiscard]] const link_table& links() const noexcept
    {
        return m_links;
    }

    /// called after each step of a node, for invariant checks
    std::function<void(std::size_t)> m_after_step;

  private:
    void forget_witness(std::size_t index)
    {
        for (simulated_node& node : m_nodes)
        {
            std::erase(node.m_witnesses, index);
        }
    }

    /// runs an action of a node: now, after the end of a freeze, or never if that incarnation has ended
    void on_node(std::size_t index, node_incarnation incarnation, const std::function<void()>& action)
    {
        simulated_node& node = m_nodes[index];
        if (!node.m_is_alive || node.m_incarnation != incarnation)
        {
            return;
        }
        if (node.m_is_frozen)
        {
            node.m_backlog.push_back([this, index, incarnation, action]
                                     { on_node(index, incarnation, action); });
            return;
        }
        action();
        if (node.in_force() != node.m_announced)
        {
            node.m_announced = node.in_force();
            announce(index);
        }
        if (m_after_step)
        {
            m_after_step(index);
        }
    }

    void tick(std::size_t index, node_incarnation incarnation)
    {
        on_node(index, incarnation,
                [this, index]
                {
                    simulated_node& node = m_nodes[index];
                    send_all(index, node.m_relay->on_tick(node.m_peers, now()));
                    read_platform(index);
                    at(now() + m_shape.m_tick, [this, index, run = node.m_incarnation] { tick(index, run); });
                });
    }

    void hello_all(std::size_t index, node_incarnation incarnation)
    {
        if (!m_shape.m_has_periodic_hellos)
        {
            return;
        }
        on_node(index, incarnation,
                [this, index, incarnation]
                {
                    announce(index);
                    at(now() + std::chrono::milliseconds{200},
                       [this, index, incarnation] { hello_all(index, incarnation); });
                });
    }

    void announce(std::size_t index)
    {
        hello content;
        content.m_revision = m_nodes[index].in_force();
        for (const peer_status& peer : m_nodes[index].m_peers)
        {
            send(index, {peer.m_host.peer(), content});
        }
    }

    void send_all(std::size_t from, const std::vector<outgoing_message>& messages)
    {
        for (const outgoing_message& message : messages)
        {
            send(from, message);
        }
    }

    void send(std::size_t from, const outgoing_message& message)
    {
        const bool is_hello = std::holds_alternative<hello>(message.m_content);
        m_nodes[from].m_sent_hellos += is_hello ? 1 : 0;
        m_nodes[from].m_sent_bytes += is_hello ? 0 : message_bytes(message.m_content);
        const std::size_t to = message.m_receiver.address() & 0xFFFFU;
        const bool is_lost = m_random.below(100) == 0 || m_links.is_cut(from, to) ||
                             !m_nodes[to].m_is_alive || is_reconnecting(from, to);
        if (is_lost)
        {
            return;
        }
        const duration delay = std::chrono::microseconds{300 + m_random.below(4700)};
        at(now() + delay, [this, from, to, run = m_nodes[to].m_incarnation, content = message.m_content]
           { on_node(to, run, [this, from, to, content] { deliver(from, to, content); }); });
    }

    /// whether a sender isn't connected to a restarted node yet, as its socket reconnects at intervals
    [[nodiscard]] bool is_reconnecting(std::size_t from, std::size_t to) const
    {
        constexpr std::uint64_t longest_ms = 500;
        const std::uint64_t pause = rendezvous_score(m_nodes[to].m_incarnation, from) % longest_ms;
        return now() < m_nodes[to].m_started + std::chrono::milliseconds{pause};
    }

    void deliver(std::size_t from, std::size_t to, const peer_content& content)
    {
        simulated_node& node = m_nodes[to];
        const endpoint sender = m_nodes[from].m_host.peer();
        if (const auto* const received_hello = std::get_if<hello>(&content))
        {
            for (peer_status& peer : node.m_peers)
            {
                if (m_shape.m_has_periodic_hellos && peer.m_host.peer() == sender)
                {
                    peer.m_incarnation = m_nodes[from].m_incarnation;
                    peer.m_last_hello = now();
                }
            }
            send_all(to, node.m_relay->on_announcement(sender, received_hello->m_revision, now()));
        }
        else if (const auto* const request = std::get_if<revision_request>(&content))
        {
            send_all(to, node.m_relay->on_request(sender, *request, now()));
        }
        else if (const auto* const reply = std::get_if<revision_reply>(&content))
        {
            node.m_relay->on_reply(sender, *reply, now());
        }
    }

    void read_platform(std::size_t index)
    {
        simulated_node& node = m_nodes[index];
        const std::optional<platform_read> read = node.m_relay->next_platform_read(now());
        if (!read)
        {
            return;
        }
        ++m_platform_reads;
        node.m_read = read->m_id;
        m_waiting.erase(index);
        answer(index, *read, read->m_wait.count() != 0);
        if (m_waiting.count(index) != 0)
        {
            at(now() + read->m_wait, [this, index, read = *read] { expire(index, read); });
        }
    }

    void expire(std::size_t index, const platform_read& read)
    {
        const auto found = m_waiting.find(index);
        if (found != m_waiting.end() && found->second == read)
        {
            m_waiting.erase(found);
            answer(index, read, false);
        }
    }

    /// replies to a platform read, or holds it until there is a newer revision
    void answer(std::size_t index, const platform_read& read, bool may_wait)
    {
        const simulated_node& node = m_nodes[index];
        const std::size_t visible = m_published.size() - std::min(node.m_platform_lag, m_published.size());
        if (node.m_has_platform && visible == read.m_have && may_wait)
        {
            m_waiting.insert_or_assign(index, read);
            return;
        }
        const bool has_platform = node.m_has_platform;
        const duration delay = std::chrono::milliseconds{has_platform ? 2 : 100};
        const auto arrive = [this, index, id = read.m_id, have = read.m_have, visible, has_platform]
        {
            configuration_relay& relay = *m_nodes[index].m_relay;
            if (m_nodes[index].m_read != id)
            {
                return;
            }
            if (!has_platform)
            {
                relay.on_platform_failure(now());
            }
            else if (visible == have || visible == 0)
            {
                relay.on_platform_current(now());
            }
            else
            {
                relay.on_text(visible, m_published[visible - 1].m_text, now());
            }
            read_platform(index);
        };
        at(now() + delay, [this, index, run = node.m_incarnation, arrive] { on_node(index, run, arrive); });
    }

    fleet_shape m_shape;
    random_source m_random;
    event_queue m_events;
    link_table m_links;
    std::vector<simulated_node> m_nodes;
    std::vector<published_text> m_published;
    std::map<std::size_t, platform_read> m_waiting;
    std::uint64_t m_platform_reads{0};
};

} // namespace teasellead::testing
