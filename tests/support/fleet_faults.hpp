#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <vector>

#include "fault_plan.hpp"
#include "limit_simulation.hpp"
#include "simulated_platform.hpp"

namespace teasellead::testing
{

/// a fleet under random faults: network partitions, pauses, kills, joins, leaves, wrong lists, new revisions
class fleet_faults
{
  public:
    fleet_faults(fault_plan plan, std::uint64_t seed)
        : m_plan(plan), m_fleet({short_windows(), plan.m_policy, 0.03, 0.02, 0.02, 0.0009,
                                 std::chrono::milliseconds{50}, std::chrono::milliseconds{500}},
                                seed),
          m_random(seed * 7919 + 1)
    {
    }

    /// outcome of a run
    struct outcome
    {
        limit_checker::account_record m_total;
        double m_excess{0.0}; ///< largest excess of the shares of all hosts together over a limit, as a
                              ///< fraction of the limit
    };

    /// runs the plan
    outcome run()
    {
        start_fleet();
        const time_point end = m_fleet.now() + m_plan.m_length;
        time_point next_fault = m_fleet.now() + std::chrono::seconds{4};
        while (m_fleet.now() < end)
        {
            const time_point next = m_fleet.now() + exponential(0.2 / m_plan.m_rate);
            if (next_fault <= next)
            {
                m_fleet.run_until(next_fault);
                cause_fault();
                next_fault += exponential(1.0 / m_plan.m_faults_per_second);
                continue;
            }
            m_fleet.run_until(next);
            apply_due_changes();
            check_shares();
            arrive();
        }
        return {m_fleet.checker().total(), m_excess};
    }

  private:
    struct due_change
    {
        time_point m_at;
        std::function<void()> m_apply;
    };

    duration exponential(double mean_seconds)
    {
        const double value = -mean_seconds * std::log(1.0 - m_random.unit());
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>{value});
    }

    duration up_to(double seconds)
    {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds * m_random.unit()});
    }

    void later(duration delay, std::function<void()> apply)
    {
        m_due.push_back({m_fleet.now() + delay, std::move(apply)});
    }

    void apply_due_changes()
    {
        for (std::size_t position = 0; position < m_due.size();)
        {
            if (m_due[position].m_at > m_fleet.now())
            {
                ++position;
                continue;
            }
            const auto apply = std::move(m_due[position].m_apply);
            m_due.erase(m_due.begin() + static_cast<std::ptrdiff_t>(position));
            apply();
        }
    }

    void publish(double rate, double burst)
    {
        configuration::declarations declared;
        for (std::size_t number = 0; number < m_plan.m_data_centres; ++number)
        {
            const auto weight = static_cast<std::uint32_t>(2 + m_random.below(2));
            declared.m_data_centres.emplace_back(name_of(number), data_centre_state::live, weight);
        }
        declared.m_client_accounts.emplace_back("a", rate, burst, 1);
        declared.m_client_accounts.emplace_back("b", rate / 2, burst, 1);
        m_fleet.publish(std::move(declared));
    }

    void start_fleet()
    {
        publish(m_plan.m_rate, m_plan.m_burst);
        std::vector<platform_host> listed;
        for (std::size_t number = 0; number < m_plan.m_hosts; ++number)
        {
            const listed_host host = next_host(number % m_plan.m_data_centres);
            m_fleet.start_host(host);
            listed.push_back({host, false});
        }
        m_fleet.list(listed);
    }

    listed_host next_host(std::size_t data_centre)
    {
        return listed_host{endpoint{++m_last_address, 7000}, name_of(data_centre)};
    }

    void arrive()
    {
        // load far above the limit, at all hosts or a few, with pauses in which the token buckets fill
        const duration age = m_fleet.now().time_since_epoch();
        const auto phase =
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(age).count());
        auto& hosts = m_fleet.hosts();
        if (hosts.empty() || phase % 11 == 10)
        {
            return;
        }
        const bool skewed = phase % 11 < 3;
        const std::uint64_t drawn =
            m_random.below(skewed ? std::min<std::uint64_t>(hosts.size(), 2) : hosts.size());
        auto chosen = hosts.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>((drawn + phase / 11) % hosts.size()));
        m_fleet.arrive(chosen->first, m_random.below(4) == 0 ? "b" : "a");
    }

    void check_shares()
    {
        if (m_fleet.now() >= m_next_check)
        {
            m_next_check = m_fleet.now() + std::chrono::milliseconds{50};
            m_excess = std::max({m_excess, m_fleet.excess("a"), m_fleet.excess("b")});
        }
    }

    [[nodiscard]] simulated_host* any_host()
    {
        auto& hosts = m_fleet.hosts();
        if (hosts.empty())
        {
            return nullptr;
        }
        auto chosen = hosts.begin();
        std::advance(chosen, static_cast<std::ptrdiff_t>(m_random.below(hosts.size())));
        m_chosen = chosen->first;
        return &chosen->second;
    }

    void cause_fault()
    {
        simulated_host* host = any_host();
        if (host == nullptr)
        {
            start_new(m_random.below(m_plan.m_data_centres));
            return;
        }
        switch (m_random.below(9))
        {
        case 0:
            pause(*host);
            break;
        case 1:
            kill(*host);
            break;
        case 2:
            leave(*host);
            break;
        case 3:
            start_new(m_random.below(m_plan.m_data_centres));
            break;
        case 4:
            cut_hosts();
            break;
        case 5:
            cut_data_centre();
            break;
        case 6:
            host->m_reaches_platform = false;
            heal_later();
            break;
        case 7:
            drop_from_list(m_fleet, host->m_host);
            break;
        case 8:
            change_text();
            break;
        default:
            break;
        }
    }

    void pause(simulated_host& host)
    {
        const duration length = std::chrono::seconds{1} + up_to(m_random.below(3) == 0 ? 59.0 : 15.0);
        host.m_paused_until = m_fleet.now() + length;
        if (m_random.below(2) == 0)
        {
            const listed_host dropped = host.m_host;
            later(up_to(3.0), [this, dropped] { drop_from_list(m_fleet, dropped); });
            later(length + up_to(5.0), [this] { relist(m_fleet); });
        }
    }

    void heal_later()
    {
        later(std::chrono::seconds{1} + up_to(25.0),
              [this]
              {
                  for (auto& [id, host] : m_fleet.hosts())
                  {
                      host.m_side = 0;
                      host.m_reaches_platform = true;
                  }
                  relist(m_fleet);
              });
    }

    /// disconnects some hosts from the others, and perhaps from the platform, which then drops them from its
    /// list
    void cut_hosts()
    {
        const bool platform = m_random.below(2) == 0;
        const auto side = static_cast<unsigned>(1 + m_random.below(3));
        for (auto& [id, host] : m_fleet.hosts())
        {
            if (m_random.below(3) == 0)
            {
                host.m_side = side;
                host.m_reaches_platform = host.m_reaches_platform && !platform;
            }
        }
        drop_unreachable_later();
        heal_later();
    }

    void cut_data_centre()
    {
        const std::string name = name_of(m_random.below(m_plan.m_data_centres));
        const bool platform = m_random.below(2) == 0;
        for (auto& [id, host] : m_fleet.hosts())
        {
            if (host.m_host.data_centre() == name)
            {
                host.m_side = 7;
                host.m_reaches_platform = host.m_reaches_platform && !platform;
            }
        }
        drop_unreachable_later();
        heal_later();
    }

    void drop_unreachable_later()
    {
        later(up_to(5.0), [this] { drop_unreachable(m_fleet); });
    }

    void kill(const simulated_host& victim)
    {
        const listed_host host = victim.m_host;
        const unsigned side = victim.m_side;
        m_fleet.kill_host(m_chosen);
        if (m_random.below(2) == 0)
        {
            // the same address, with a new process
            later(up_to(3.0), [this, host, side] { start_process(host, side); });
            return;
        }
        later(up_to(3.0), [this, host] { drop_from_list(m_fleet, host); });
        const std::size_t data_centre = host.data_centre().back() - '0';
        later(up_to(6.0), [this, data_centre] { start_new(data_centre); });
    }

    void leave(simulated_host& host)
    {
        host.m_leaving = true;
        host.m_membership->hello_now();
        const std::uint64_t id = m_chosen;
        later(std::chrono::seconds{3} + up_to(3.0),
              [this, id]
              {
                  const auto found = m_fleet.hosts().find(id);
                  if (found != m_fleet.hosts().end())
                  {
                      const listed_host gone = found->second.m_host;
                      m_fleet.kill_host(id);
                      drop_from_list(m_fleet, gone);
                  }
              });
    }

    /// whether an unpaused process with a share of the limits can receive messages from a new one, or the
    /// data centre has no process
    [[nodiscard]] bool has_witness(const std::string& data_centre, unsigned side)
    {
        bool any = false;
        for (auto& [id, host] : m_fleet.hosts())
        {
            if (host.m_host.data_centre() != data_centre)
            {
                continue;
            }
            any = true;
            const bool claims =
                host.m_membership->current_limit_fraction(m_fleet.local_time(host, m_fleet.now()))
                    .m_fraction > 0.0;
            if (host.m_side == side && m_fleet.now() >= host.m_paused_until && claims)
            {
                return true;
            }
        }
        return !any;
    }

    void start_new(std::size_t data_centre)
    {
        const listed_host host = next_host(data_centre);
        start_process(host, 0);
    }

    void start_process(const listed_host& host, unsigned side)
    {
        if (m_fleet.hosts().size() > 2 * m_plan.m_hosts || !has_witness(host.data_centre(), side))
        {
            return;
        }
        m_fleet.start_host(host, side);
        std::vector<platform_host> listed = m_fleet.listed();
        const platform_host entry{host, false};
        if (std::find(listed.begin(), listed.end(), entry) == listed.end())
        {
            listed.push_back(entry);
            m_fleet.list(listed);
        }
    }

    void change_text()
    {
        const double factor = 0.3 + 1.7 * m_random.unit();
        publish(m_plan.m_rate * factor, m_plan.m_burst * factor);
        const revision_number number = m_fleet.published();
        std::vector<std::uint64_t> ids;
        for (const auto& [id, host] : m_fleet.hosts())
        {
            ids.push_back(id);
        }
        for (const std::uint64_t id : ids)
        {
            adopt_later(id, number);
        }
    }

    void adopt_later(std::uint64_t id, revision_number number)
    {
        later(up_to(6.0),
              [this, id, number]
              {
                  const auto found = m_fleet.hosts().find(id);
                  if (found == m_fleet.hosts().end())
                  {
                      return;
                  }
                  if (!found->second.m_reaches_platform || m_fleet.now() < found->second.m_paused_until)
                  {
                      adopt_later(id, number);
                      return;
                  }
                  m_fleet.adopt(found->second, number);
              });
    }

    fault_plan m_plan;
    fleet_simulation m_fleet;
    random_source m_random;
    std::vector<due_change> m_due;
    std::uint64_t m_chosen{0};
    time_point m_next_check;
    double m_excess{0.0};
    std::uint32_t m_last_address{0x0A000000U};
};

} // namespace teasellead::testing
