#pragma once

#include <optional>

#include "peer_traffic.hpp"

namespace teasellead::simulation
{

/// the requests of all hosts to all upstreams, in simulated time
class fleet_simulation : public peer_traffic
{
  public:
    fleet_simulation(const fleet_settings& settings, std::uint64_t seed) : peer_traffic(settings, seed)
    {
        for (const listed_host& listed : this->listed())
        {
            start_host(listed, 0);
        }
        if (settings.m_start_warm)
        {
            warm_all();
        }
    }

    [[nodiscard]] const std::vector<overload>& overloads() const noexcept
    {
        return m_overloads;
    }

    [[nodiscard]] const fleet_counts& counts() const noexcept
    {
        return m_counts;
    }

    /// largest number of connections that all hosts together had open to one upstream
    [[nodiscard]] std::uint32_t most_connections() const noexcept
    {
        return m_most_connections;
    }

    /// ends an upstream's process and starts another one
    void restart(const endpoint& address)
    {
        simulated_upstream& target = m_upstreams.at(address);
        const std::uint64_t ended = target.process();
        if (ended == 0)
        {
            return;
        }
        for (const std::uint64_t request : target.crash())
        {
            lose(request);
        }
        for (const auto& host : m_hosts)
        {
            close_after(host.get(), address, ended, delay(network_delay, milliseconds{2}));
        }
        m_events.after(delay(milliseconds{30}, milliseconds{400}),
                       [this, address] { start_process(address); });
    }

    /// kills a host's process; the host stays listed until the list is replaced
    void kill(simulated_host* host)
    {
        host->kill();
        for (auto& [number, request] : m_requests)
        {
            if (request.m_host == host)
            {
                m_events.after(network_delay, [this, number = number] { stop(number, false); });
            }
        }
    }

    /// starts a host's process; with a run above 0, leases of an earlier incarnation may still be in use
    void start_host(const listed_host& listed, std::uint64_t run)
    {
        simulated_host* const host = add_host(listed, run);
        arrive_later(host);
        start_peer_traffic(host);
    }

  private:
    struct sub_request
    {
        simulated_host* m_host;
        endpoint m_upstream;
        std::size_t m_shard;
        std::vector<endpoint> m_tried;
        time_point m_selected;
        time_point m_give_up;
        time_point m_answer_by;
        bool m_on_connection{false};
    };

    void arrive_later(simulated_host* host)
    {
        std::exponential_distribution<double> pause{m_settings.m_requests_per_second};
        const auto wait =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{pause(m_random.engine())});
        at_host(host, wait,
                [this, host]
                {
                    arrive_later(host);
                    ++m_counts.m_requests;
                    const std::size_t shard = m_random.below(m_settings.m_shards);
                    choose_replica({host,
                                    endpoint{},
                                    shard,
                                    {},
                                    m_events.now(),
                                    m_events.now(),
                                    m_events.now() + answer_time});
                });
    }

    void choose_replica(sub_request asked)
    {
        const time_point now = m_events.now();
        if (now >= asked.m_answer_by)
        {
            return;
        }
        simulated_host* const host = asked.m_host;
        const configuration& current = host->current();
        const service& owner = current.services().front();
        const shard_target target{owner, owner.shards()[asked.m_shard]};
        const selection selected = host->table().select(target, current, asked.m_tried, m_random, now);
        const bool is_cold = std::holds_alternative<all_cold>(selected);
        const bool may_wait =
            std::holds_alternative<all_at_capacity>(selected) || (is_cold && m_settings.m_wait_when_cold);
        if (may_wait)
        {
            at_host(host, milliseconds{2}, [this, asked] { choose_replica(asked); });
            return;
        }
        if (const auto* const chosen = std::get_if<chosen_replica>(&selected))
        {
            asked.m_upstream = chosen->upstream();
            asked.m_tried.push_back(chosen->upstream());
            asked.m_selected = now;
            asked.m_give_up = std::min(asked.m_answer_by, chosen->end_by());
            // a host may be paused between its decision and the first byte
            if (m_random.unit() < m_settings.m_pause_before_send)
            {
                host->sleep_until(now + delay(milliseconds{100}, milliseconds{900}));
            }
            at_host(host, delay(microseconds{20}, milliseconds{1}),
                    [this, asked, chosen = *chosen] { send(asked, chosen); });
            return;
        }
        m_counts.m_cold += is_cold ? 1 : 0;
    }

    void send(sub_request asked, const chosen_replica& chosen)
    {
        ++m_counts.m_attempts;
        const std::uint64_t number = ++m_number;
        simulated_host* const host = asked.m_host;
        const bool is_late = m_events.now() >= chosen.end_by();
        upstream_link& link = host->link(asked.m_upstream);
        m_requests.emplace(number, asked);
        if (is_late || (chosen.requires_connection() && link.m_process == 0))
        {
            fail(number, attempt_failure::not_connected);
            return;
        }
        const duration left = std::max<duration>(asked.m_give_up - m_events.now(), duration::zero());
        at_host(host, left, [this, number] { give_up(number); });
        // upstreams stop at the deadline that travels with a request
        m_events.after(left + cancel_delay, [this, number] { stop(number, false); });
        if (link.m_busy < link.m_connections)
        {
            use_connection(number, link.m_process);
            return;
        }
        m_events.after(connect_delay, [this, number] { connect(number); });
    }

    void connect(std::uint64_t number)
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end())
        {
            return;
        }
        const std::uint64_t process = m_upstreams.at(found->second.m_upstream).process();
        if (process == 0)
        {
            at_host(found->second.m_host, network_delay,
                    [this, number] { fail(number, attempt_failure::not_connected); });
            return;
        }
        upstream_link& link = found->second.m_host->link(found->second.m_upstream);
        link.m_connections = link.m_process == process ? link.m_connections + 1 : 1;
        link.m_busy = link.m_process == process ? link.m_busy : 0;
        link.m_process = process;
        m_most_connections = std::max(m_most_connections, connections_to(found->second.m_upstream));
        use_connection(number, process);
    }

    /// connections that all hosts together hold to an upstream's running process
    std::uint32_t connections_to(const endpoint& address)
    {
        std::uint32_t connections = 0;
        for (const auto& host : m_hosts)
        {
            const upstream_link& link = host->link(address);
            const bool is_open = host->alive() && link.m_process == m_upstreams.at(address).process();
            connections += is_open ? link.m_connections : 0;
        }
        return connections;
    }

    void use_connection(std::uint64_t number, std::uint64_t process)
    {
        sub_request& sent = m_requests.at(number);
        ++sent.m_host->link(sent.m_upstream).m_busy;
        sent.m_on_connection = true;
        m_events.after(network_delay, [this, number, process] { accept(number, process); });
    }

    void accept(std::uint64_t number, std::uint64_t process)
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end())
        {
            return;
        }
        const endpoint address = found->second.m_upstream;
        simulated_upstream& target = m_upstreams.at(address);
        if (target.process() != process)
        {
            lose(number);
            return;
        }
        if (!target.accept(number))
        {
            const auto running = static_cast<std::uint32_t>(target.running().size());
            m_overloads.push_back({m_events.now(), address, running, target.bearable()});
            restart(address);
            return;
        }
        m_events.after(target.service_time(m_random), [this, number] { stop(number, true); });
    }

    /// ends a request at its upstream, which replies if it completed the request
    void stop(std::uint64_t number, bool completed)
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end())
        {
            return;
        }
        simulated_upstream& target = m_upstreams.at(found->second.m_upstream);
        if (!target.finish(number, completed) || !completed)
        {
            return;
        }
        at_host(found->second.m_host, network_delay,
                [this, number, incarnation = target.incarnation()] { reply(number, incarnation); });
    }

    std::optional<sub_request> end_request(std::uint64_t number, bool keeps_connection)
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end())
        {
            return std::nullopt;
        }
        sub_request ended = std::move(found->second);
        m_requests.erase(found);
        upstream_link& link = ended.m_host->link(ended.m_upstream);
        if (ended.m_on_connection)
        {
            link.m_busy -= link.m_busy > 0 ? 1 : 0;
            link.m_connections -= !keeps_connection && link.m_connections > 0 ? 1 : 0;
        }
        return ended;
    }

    void reply(std::uint64_t number, upstream_incarnation incarnation)
    {
        const auto ended = end_request(number, true);
        if (ended.has_value())
        {
            const time_point now = m_events.now();
            ended->m_host->table().on_reply(ended->m_upstream, incarnation, now - ended->m_selected, now);
            ++m_counts.m_answered;
            tell_changes(ended->m_host);
        }
    }

    void fail(std::uint64_t number, attempt_failure failure)
    {
        const auto ended = end_request(number, failure == attempt_failure::not_connected);
        if (!ended.has_value())
        {
            return;
        }
        const time_point now = m_events.now();
        ended->m_host->table().on_failure(ended->m_upstream, failure, now - ended->m_selected, now);
        close_if_last(ended->m_host, ended->m_upstream);
        choose_replica(*ended);
    }

    void give_up(std::uint64_t number)
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end())
        {
            return;
        }
        simulated_upstream& target = m_upstreams.at(found->second.m_upstream);
        m_events.after(delay(network_delay, cancel_delay),
                       [&target, number] { target.finish(number, false); });
        fail(number, attempt_failure::timed_out);
    }

    void close_if_last(simulated_host* host, const endpoint& address)
    {
        upstream_link& link = host->link(address);
        if (link.m_process != 0 && link.m_connections == 0)
        {
            link = upstream_link{};
            host->table().on_disconnected(address);
        }
    }

    /// reports to the host that the connection of a request was lost
    void lose(std::uint64_t number)
    {
        const auto found = m_requests.find(number);
        if (found != m_requests.end())
        {
            at_host(found->second.m_host, delay(network_delay, milliseconds{2}),
                    [this, number] { fail(number, attempt_failure::lost); });
        }
    }

    /// closes a host's connections to an upstream; the kernel detects this at once, the process after its
    /// pause
    void close_after(simulated_host* host, const endpoint& address, std::uint64_t process, duration after)
    {
        m_events.after(after,
                       [this, host, address, process]
                       {
                           upstream_link& link = host->link(address);
                           if (link.m_process == process)
                           {
                               link = upstream_link{};
                               run_at(host, [host, address] { host->table().on_disconnected(address); });
                           }
                       });
    }

    std::map<std::uint64_t, sub_request> m_requests;
    std::vector<overload> m_overloads;
    fleet_counts m_counts;
    std::uint32_t m_most_connections{0};
    std::uint64_t m_number{0};
};

} // namespace teasellead::simulation
