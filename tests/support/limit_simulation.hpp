#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "limit_checker.hpp"
#include "simulated_host.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead::testing
{

/*!
@brief a fleet in simulated time: a platform with lag, lossy messages, processes that pause and are killed

One thread, no sleeping, repeatable by its seed. Every admission of every host is checked in simulated time,
not in the time of the host's clock, which has an offset and drifts.
*/
class fleet_simulation
{
  public:
    fleet_simulation(simulation_settings settings, std::uint64_t seed)
        : m_settings(settings), m_random(seed), m_checker(2 * settings.m_membership.m_lease_term)
    {
    }

    [[nodiscard]] random_source& random() noexcept
    {
        return m_random;
    }

    [[nodiscard]] time_point now() const noexcept
    {
        return m_now;
    }

    [[nodiscard]] std::map<std::uint64_t, simulated_host>& hosts() noexcept
    {
        return m_hosts;
    }

    [[nodiscard]] limit_checker& checker() noexcept
    {
        return m_checker;
    }

    [[nodiscard]] std::uint64_t messages() const noexcept
    {
        return m_messages;
    }

    /// starts a process; returns its number
    std::uint64_t start_host(const listed_host& host, unsigned side = 0)
    {
        const std::uint64_t id = ++m_last_host;
        simulated_host started{host, id + 1000, nullptr, nullptr, 0,    0,    {}, time_point::max(),
                               {},   1.0,       side,    1.0,     true, false};
        started.m_clock_offset = std::chrono::seconds{m_random.below(1000)};
        started.m_clock_rate = 1.0 + m_settings.m_clock_drift * (2.0 * m_random.unit() - 1.0);
        started.m_membership =
            std::make_unique<membership>(host, started.m_incarnation, m_settings.m_membership);
        started.m_limiter =
            std::make_unique<account_limiter>(host, m_settings.m_policy, started.m_incarnation << 32U);
        simulated_host& added = m_hosts.emplace(id, std::move(started)).first->second;
        adopt(added, m_revisions.size());
        push({m_now + m_random.below(10'000) * std::chrono::microseconds{1}, 0, event_kind::tick, id});
        push({m_now, 0, event_kind::list_request, id});
        return id;
    }

    /// ends a process at once
    void kill_host(std::uint64_t id)
    {
        const auto found = m_hosts.find(id);
        m_checker.change(found->second.m_revision, 0, m_now);
        m_hosts.erase(found);
    }

    /// publishes a revision; a host uses it after a call of @ref adopt
    void publish(configuration::declarations declared)
    {
        const revision_number number = m_revisions.size() + 1;
        auto shared = std::make_shared<const configuration>(std::move(declared));
        m_revisions.push_back(std::make_shared<const configuration_revision>(number, "", std::move(shared)));
        m_checker.publish(m_revisions.back());
    }

    [[nodiscard]] revision_number published() const noexcept
    {
        return m_revisions.size();
    }

    /// makes a host adopt a revision if it is newer than its own
    void adopt(simulated_host& host, revision_number number)
    {
        if (number > host.m_revision)
        {
            m_checker.change(host.m_revision, number, m_now);
            host.m_revision = number;
            const configuration_revision& adopted = *m_revisions[number - 1];
            const time_point local = local_time(host, m_now);
            host.m_membership->on_data_centres(adopted.configuration().data_centres(), local);
            host.m_limiter->on_revision(adopted, local);
        }
    }

    /// by how much the shares of all hosts together exceed an account's limit, as a fraction of the limit
    [[nodiscard]] double excess(const std::string& account)
    {
        share_usage sum;
        for (const auto& [id, host] : m_hosts)
        {
            const share_usage usage = host.m_limiter->usage(account, local_time(host, m_now));
            sum.m_rate += usage.m_rate;
            sum.m_burst += usage.m_burst;
        }
        return m_checker.excess(account, sum, m_now);
    }

    /// replaces the platform's list of hosts
    void list(std::vector<platform_host> hosts)
    {
        m_lists.push_back({m_now, {m_lists.size() + 1, std::move(hosts)}});
    }

    [[nodiscard]] const std::vector<platform_host>& listed() const
    {
        return m_lists.back().second.m_hosts;
    }

    /// delivers a request of an account to a host; a paused host handles it after the pause
    void arrive(std::uint64_t id, const std::string& account)
    {
        const auto found = m_hosts.find(id);
        if (found == m_hosts.end())
        {
            return;
        }
        if (m_now < found->second.m_paused_until)
        {
            push({found->second.m_paused_until, 0, event_kind::arrival, id,
                  &*m_accounts.insert(account).first});
            return;
        }
        serve(id, found->second, account);
    }

    /// runs all events up to a time
    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.front().m_at <= end)
        {
            std::pop_heap(m_events.begin(), m_events.end());
            event next = std::move(m_events.back());
            m_events.pop_back();
            m_now = std::max(m_now, next.m_at);
            handle(std::move(next));
        }
        m_now = end;
    }

    [[nodiscard]] time_point local_time(const simulated_host& host, time_point at) const
    {
        const duration elapsed = at - m_start;
        const auto scaled =
            static_cast<duration::rep>(static_cast<double>(elapsed.count()) * host.m_clock_rate);
        return m_start + host.m_clock_offset + duration{scaled};
    }

  private:
    enum class event_kind
    {
        arrival,
        message,
        list_reply,
        list_request,
        tick,
        wake
    };

    struct event
    {
        time_point m_at;
        std::uint64_t m_order{0};
        event_kind m_kind{event_kind::tick};
        std::uint64_t m_host{0};
        const std::string* m_account{nullptr};
        std::shared_ptr<const peer_message> m_message{};
        std::size_t m_list{0};
        time_point m_asked_at{};

        friend bool operator<(const event& lhs, const event& rhs)
        {
            return std::tie(rhs.m_at, rhs.m_order) < std::tie(lhs.m_at, lhs.m_order);
        }
    };

    void push(event added)
    {
        added.m_order = ++m_order;
        m_events.push_back(std::move(added));
        std::push_heap(m_events.begin(), m_events.end());
    }

    void handle(event next)
    {
        const auto found = m_hosts.find(next.m_host);
        if (found == m_hosts.end())
        {
            return;
        }
        simulated_host& host = found->second;
        if (m_now < host.m_paused_until)
        {
            // after a pause, a process handles requests before other events
            const bool urgent = next.m_kind == event_kind::arrival;
            next.m_at = host.m_paused_until + std::chrono::microseconds{urgent ? 0 : 1};
            push(std::move(next));
            return;
        }
        dispatch(host, next);
    }

    void dispatch(simulated_host& host, const event& next)
    {
        switch (next.m_kind)
        {
        case event_kind::arrival:
            serve(next.m_host, host, *next.m_account);
            break;
        case event_kind::message:
            receive(host, *next.m_message);
            break;
        case event_kind::list_request:
            request_list(next.m_host, host);
            break;
        case event_kind::list_reply:
            host.m_membership->on_list(m_lists[next.m_list].second, next.m_asked_at);
            break;
        case event_kind::tick:
            tick(next.m_host, host);
            break;
        case event_kind::wake:
            send(host, host.m_limiter->on_tick(local_time(host, m_now)));
            break;
        }
    }

    void tick(std::uint64_t id, simulated_host& host)
    {
        const time_point local = local_time(host, m_now);
        const auto hellos = host.m_membership->on_tick(
            {host.m_revision, true, host.m_leaving, host.m_limiter->data_centre_fraction()}, local);
        divide(host, local);
        send(host, hellos);
        send(host, host.m_limiter->on_tick(local));
        push({m_now + m_settings.m_tick, 0, event_kind::tick, id});
    }

    static void divide(simulated_host& host, time_point local)
    {
        host.m_limiter->on_limit_fraction(host.m_membership->current_limit_fraction(local), local);
        if (host.m_membership->version() != host.m_views_version)
        {
            host.m_views_version = host.m_membership->version();
            host.m_limiter->on_views(host.m_membership->views(local), local);
        }
    }

    void request_list(std::uint64_t id, simulated_host& host)
    {
        if (host.m_reaches_platform && !m_lists.empty())
        {
            // the reply comes from one of several servers, each of which may lag
            const duration lag = std::chrono::milliseconds{m_random.below(
                std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.m_membership.m_list_lag)
                    .count())};
            std::size_t position = m_lists.size() - 1;
            while (position > 0 && m_lists[position].first > m_now - lag)
            {
                --position;
            }
            const time_point reply_at = m_now + std::chrono::milliseconds{1 + m_random.below(20)};
            push({reply_at, 0, event_kind::list_reply, id, nullptr, nullptr, position,
                  local_time(host, m_now)});
        }
        push({m_now + m_settings.m_list_period, 0, event_kind::list_request, id});
    }

    void receive(simulated_host& host, const peer_message& message)
    {
        const time_point local = local_time(host, m_now);
        if (const auto* received_hello = std::get_if<hello>(&message.m_content))
        {
            host.m_membership->on_hello(message.m_sender, message.m_incarnation, *received_hello, local);
            return;
        }
        send(host, host.m_limiter->on_message(message.m_sender, message.m_content, local));
    }

    void send(const simulated_host& sender, const std::vector<outgoing_message>& messages)
    {
        for (const outgoing_message& message : messages)
        {
            ++m_messages;
            for (auto& [id, receiver] : m_hosts)
            {
                if (receiver.m_host.peer() == message.m_receiver && receiver.m_side == sender.m_side)
                {
                    deliver(id, sender, message.m_content);
                }
            }
        }
    }

    void deliver(std::uint64_t id, const simulated_host& sender, const peer_content& content)
    {
        if (m_settings.m_loss > 0.0 && m_random.unit() < m_settings.m_loss)
        {
            return;
        }
        const auto message = std::make_shared<const peer_message>(
            peer_message{sender.m_host.peer(), sender.m_incarnation, content});
        push({m_now + message_delay(), 0, event_kind::message, id, nullptr, message});
        if (m_settings.m_duplication > 0.0 && m_random.unit() < m_settings.m_duplication)
        {
            push({m_now + 2 * message_delay(), 0, event_kind::message, id, nullptr, message});
        }
    }

    duration message_delay()
    {
        if (m_settings.m_long_delay > 0.0 && m_random.unit() < m_settings.m_long_delay)
        {
            return std::chrono::milliseconds{m_random.below(3000)};
        }
        return std::chrono::microseconds{200 + m_random.below(600)};
    }

    void serve(std::uint64_t id, simulated_host& host, const std::string& account)
    {
        const auto outcome = host.m_limiter->try_admit(account, local_time(host, m_now));
        m_checker.record(account, std::holds_alternative<admitted>(outcome), m_now);
        if (host.m_limiter->wants_tick())
        {
            push({m_now + std::chrono::microseconds{100}, 0, event_kind::wake, id});
        }
    }

    simulation_settings m_settings;
    random_source m_random;
    time_point m_start{std::chrono::hours{10}};
    time_point m_now{m_start};
    std::map<std::uint64_t, simulated_host> m_hosts;
    limit_checker m_checker;
    std::vector<shared_revision> m_revisions;
    std::vector<std::pair<time_point, host_list>> m_lists;
    std::vector<event> m_events; ///< heap with the earliest event on top
    std::set<std::string> m_accounts;
    std::uint64_t m_last_host{0};
    std::uint64_t m_order{0};
    std::uint64_t m_messages{0};
};

} // namespace teasellead::testing
