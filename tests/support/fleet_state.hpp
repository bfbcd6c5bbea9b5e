#pragma once

#include <functional>

#include "simulated_fleet.hpp"

namespace teasellead::simulation
{

/// the hosts and upstreams of a fleet, and the configuration and host list that the platform publishes
class fleet_state
{
  public:
    fleet_state(const fleet_settings& settings, std::uint64_t seed) : m_settings(settings), m_random(seed)
    {
        m_configuration = make_configuration(settings, -1, false);
        for (std::uint32_t shard = 0; shard < settings.m_shards; ++shard)
        {
            for (std::uint32_t centre = 0; centre < settings.m_data_centres; ++centre)
            {
                const endpoint address = upstream_address(shard, centre);
                m_upstreams.emplace(address, simulated_upstream{address, settings.m_limits});
                start_process(address);
            }
        }
        for (std::uint32_t centre = 0; centre < settings.m_data_centres; ++centre)
        {
            for (std::uint32_t number = 0; number < settings.m_hosts_per_data_centre; ++number)
            {
                m_listed.push_back(host_of(centre, number));
            }
        }
    }

    [[nodiscard]] event_queue& events() noexcept
    {
        return m_events;
    }

    [[nodiscard]] random_source& random() noexcept
    {
        return m_random;
    }

    [[nodiscard]] std::vector<std::unique_ptr<simulated_host>>& hosts() noexcept
    {
        return m_hosts;
    }

    [[nodiscard]] simulated_upstream& upstream(const endpoint& address)
    {
        return m_upstreams.at(address);
    }

    [[nodiscard]] std::map<endpoint, simulated_upstream>& upstreams() noexcept
    {
        return m_upstreams;
    }

    void run_for(duration length)
    {
        m_events.run_until(m_events.now() + length);
    }

    /// publishes a configuration, which each host adopts after a random delay within the lag
    void configure(std::shared_ptr<const configuration> next)
    {
        m_configuration = std::move(next);
        const std::uint64_t revision = ++m_revision;
        for (const auto& host : m_hosts)
        {
            const auto adopt = [this, target = host.get(), revision, adopted = m_configuration]
            {
                if (revision == m_revision)
                {
                    target->adopt(adopted, m_events.now());
                }
            };
            at_host(host.get(), delay(milliseconds{1}, m_settings.m_list_lag), adopt);
        }
    }

    /// replaces the platform's list of hosts; each host reads the new one after a random delay within the lag
    void list(std::vector<listed_host> hosts)
    {
        m_listed_before = std::exchange(m_listed, std::move(hosts));
        m_reads_new_at.clear();
        for (const auto& host : m_hosts)
        {
            m_reads_new_at[host.get()] = m_events.now() + delay(milliseconds{1}, m_settings.m_list_lag);
        }
    }

    [[nodiscard]] const std::vector<listed_host>& listed() const noexcept
    {
        return m_listed;
    }

    /// fraction of the live hosts of an upstream's data centre that have evidence that its running process is
    /// warm
    [[nodiscard]] double known_warm(const endpoint& address)
    {
        const upstream_evidence wanted{address, m_upstreams.at(address).incarnation(), true};
        double known = 0.0;
        double alive = 0.0;
        for (const auto& host : m_hosts)
        {
            if (!host->alive() || host->self().data_centre() != data_centre_of(address))
            {
                continue;
            }
            const auto evidence = host->table().all_evidence();
            alive += 1.0;
            known += std::find(evidence.begin(), evidence.end(), wanted) != evidence.end() ? 1.0 : 0.0;
        }
        return alive == 0.0 ? 0.0 : known / alive;
    }

    /// a random duration between two bounds
    [[nodiscard]] duration delay(duration from, duration to)
    {
        return from + duration{static_cast<duration::rep>(m_random.unit() *
                                                          static_cast<double>((to - from).count()))};
    }

  protected:
    void start_process(const endpoint& address)
    {
        m_upstreams.at(address).start_process(++m_process, m_random.engine()() | 1U);
    }

    void warm_all()
    {
        for (auto& [address, target] : m_upstreams)
        {
            target.turn_warm();
            for (const auto& host : m_hosts)
            {
                host->table().on_peer_evidence({address, target.incarnation(), true}, m_events.now());
            }
        }
    }

    /// runs an action at a host after a delay, or after the host's pause if that ends later
    void at_host(simulated_host* host, duration after, std::function<void()> action)
    {
        m_events.after(after, [this, host, action = std::move(action)]() mutable
                       { run_at(host, std::move(action)); });
    }

    void run_at(simulated_host* host, std::function<void()> action)
    {
        if (m_events.now() < host->asleep_until())
        {
            const duration late = host->asleep_until() - m_events.now();
            at_host(host, late + delay(duration::zero(), milliseconds{2}), std::move(action));
            return;
        }
        if (host->alive())
        {
            action();
        }
    }

    simulated_host* add_host(const listed_host& listed, std::uint64_t run)
    {
        m_hosts.push_back(std::make_unique<simulated_host>(listed, run, m_settings, m_events.now()));
        simulated_host* const host = m_hosts.back().get();
        host->adopt(m_configuration, m_events.now());
        read_list(host);
        return host;
    }

    /// lets a host read the list of hosts; it gets the previous one until its delay has passed
    void read_list(simulated_host* host)
    {
        const time_point now = m_events.now();
        const auto reads_new = m_reads_new_at.find(host);
        const bool is_new = reads_new == m_reads_new_at.end() || reads_new->second <= now;
        host->learn(is_new ? m_listed : m_listed_before, m_settings, now);
    }

    fleet_settings m_settings;
    random_source m_random;
    event_queue m_events;
    std::map<endpoint, simulated_upstream> m_upstreams;
    std::vector<std::unique_ptr<simulated_host>> m_hosts;

  private:
    std::vector<listed_host> m_listed;
    std::vector<listed_host> m_listed_before;
    std::map<simulated_host*, time_point> m_reads_new_at;
    std::shared_ptr<const configuration> m_configuration;
    std::uint64_t m_revision{0};
    std::uint64_t m_process{0};
};

} // namespace teasellead::simulation
