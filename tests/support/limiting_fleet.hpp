#pragma once

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/fleet/quota_ledger.hpp"
#include "teasellead/fleet/roster.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead::testing
{

/// the roster and the quota ledger of a node, which together enforce the limits of accounts
struct limiting_node
{
    limiting_node(const endpoint& address, const std::vector<endpoint>& seeds, node_incarnation incarnation,
                  const account_bound& bound, const std::string& data_centre, std::size_t data_centres,
                  const forwarding::account& account, time_point now)
        : m_roster(address, data_centre, incarnation, seeds, roster_settings{}, now),
          m_ledger(address, bound, {data_centre_id_of(data_centre), data_centres}), m_next_tick(now)
    {
        m_ledger.on_declarations({account}, now);
    }

    roster m_roster;
    quota_ledger m_ledger;
    time_point m_next_tick;
    bool m_is_leaving{false};
    time_point m_ends_at{time_point::max()}; ///< end of a planned stop
};

/*!
@brief nodes with a roster and a ledger each, and one account

Nodes are killed, stopped as planned, frozen and partitioned; the admissions of all of them are counted over
each window.
*/
class limiting_fleet
{
  public:
    static constexpr time_point start{std::chrono::hours{1}};
    static constexpr account_bound bound{std::chrono::seconds{5}, 0.25, 20.0};
    static constexpr const char* account_name = "school";

    limiting_fleet(std::size_t nodes, forwarding::account account, std::uint64_t seed,
                   std::size_t data_centres = 1)
        : m_count(nodes), m_data_centres(data_centres), m_account(std::move(account)), m_random(seed)
    {
        kill_first(nodes);
    }

    /// kills the first nodes, which lose all state; each starts again after a random part of the boot time
    void kill_first(std::size_t nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i)
        {
            kill(i, std::chrono::milliseconds{0});
        }
    }

    /// kills a node at once; it starts again after the time and a random part of the boot time
    void kill(std::size_t node, duration down)
    {
        m_nodes.erase(address_of(node));
        const auto boot = std::chrono::duration_cast<duration>(boot_time * m_random.unit());
        m_booting.emplace(address_of(node), m_now + down + boot);
    }

    /// stops a node as planned: it accepts requests for a while, ends and starts again
    void stop(std::size_t node, duration takes)
    {
        const auto found = m_nodes.find(address_of(node));
        if (found != m_nodes.end() && !found->second->m_is_leaving)
        {
            found->second->m_is_leaving = true;
            found->second->m_ends_at = m_now + takes;
            post(found->first, found->second->m_roster.on_tick(true, m_random, m_now));
            update(*found->second);
        }
    }

    /// freezes a node: it runs nothing for a time
    void freeze(std::size_t node, duration length)
    {
        m_frozen[address_of(node)] = m_now + length;
    }

    /// partitions the network: only nodes of the same group reach each other; an empty list ends all
    /// partitions
    void cut(std::vector<std::size_t> groups)
    {
        m_groups = std::move(groups);
    }

    /// changes the declared limit; each node receives it at a random time within the given one
    void declare(double rate, double burst, duration within)
    {
        m_replaced.push_back({m_account.m_rate, m_account.m_burst, m_now + within + bound.m_window});
        m_account.m_rate = rate;
        m_account.m_burst = burst;
        for (const auto& [address, node] : m_nodes)
        {
            m_declared[address] = m_now + std::chrono::duration_cast<duration>(within * m_random.unit());
        }
    }

    /// sends requests of the account to random nodes, at a total rate
    void run(duration time, double requests_per_s)
    {
        const double per_step = requests_per_s * std::chrono::duration<double>(step).count();
        for (const time_point end = m_now + time; m_now < end; m_now += step)
        {
            boot();
            deliver();
            for (double left = per_step; left > 0.0; left -= 1.0)
            {
                if (m_random.unit() < left)
                {
                    request();
                }
            }
            tick();
            collect();
            note_window();
        }
    }

    [[nodiscard]] std::size_t admitted() const
    {
        return m_admitted_in_all;
    }

    /// number of requests that reached a node that was running and not frozen
    [[nodiscard]] std::size_t asked() const
    {
        return m_asked;
    }

    [[nodiscard]] std::size_t refused() const
    {
        return m_refused;
    }

    /// largest number of admissions above the bound in any window; negative if no window reached the bound
    [[nodiscard]] double most_beyond() const
    {
        return m_most_beyond;
    }

    void check_bound() const
    {
        CPPUNIT_ASSERT_MESSAGE("admitted " + std::to_string(m_most_beyond) + " above the bound",
                               m_most_beyond <= 0.0);
    }

    [[nodiscard]] random_source& random() noexcept
    {
        return m_random;
    }

    [[nodiscard]] time_point now() const noexcept
    {
        return m_now;
    }

    [[nodiscard]] std::size_t nodes() const noexcept
    {
        return m_count;
    }

    /// the data centres have adjacent nodes, so that each of the seeds is in another one
    [[nodiscard]] std::size_t data_centre_of(std::size_t node) const noexcept
    {
        return node * m_data_centres / m_count;
    }

    /// separates the nodes of a data centre from all others
    void cut_data_centre(std::size_t data_centre)
    {
        std::vector<std::size_t> groups;
        for (std::size_t node = 0; node < m_count; ++node)
        {
            groups.push_back(data_centre_of(node) == data_centre ? 1 : 0);
        }
        cut(std::move(groups));
    }

  private:
    static constexpr duration step = std::chrono::milliseconds{2};
    static constexpr duration link_delay = std::chrono::milliseconds{2};
    static constexpr duration tick_period = std::chrono::milliseconds{100};
    static constexpr duration waiting_check_interval = std::chrono::milliseconds{20};
    static constexpr std::chrono::milliseconds boot_time{300};

    struct flying
    {
        endpoint m_sender;
        outgoing_message m_message;
    };

    /// a limit that some node may still use
    struct replaced_limit
    {
        double m_rate;
        double m_burst;
        time_point m_until;
    };

    static endpoint address_of(std::size_t node)
    {
        return endpoint{static_cast<std::uint32_t>(first_host + node), 7000};
    }

    static std::size_t number_of(const endpoint& address)
    {
        return address.address() - first_host;
    }

    /// the first node of each of three data centres, or three nodes of the only one
    [[nodiscard]] std::vector<endpoint> seed_addresses() const
    {
        if (m_data_centres == 1)
        {
            return {address_of(0), address_of(m_count / 3), address_of(m_count / 2)};
        }
        std::vector<endpoint> result;
        for (std::size_t each = 0; each < std::min<std::size_t>(m_data_centres, 3); ++each)
        {
            result.push_back(address_of((each * m_count + m_data_centres - 1) / m_data_centres));
        }
        return result;
    }

    /// bound on the admissions of a window; limits that were replaced recently may still be in use
    double allowed()
    {
        std::erase_if(m_replaced, [this](const replaced_limit& each) { return m_now >= each.m_until; });
        double rate = m_account.m_rate;
        double burst = m_account.m_burst;
        for (const replaced_limit& each : m_replaced)
        {
            rate = std::max(rate, each.m_rate);
            burst = std::max(burst, each.m_burst);
        }
        const double window_s = std::chrono::duration<double>(bound.m_window).count();
        return (rate * window_s + burst) * (1.0 + bound.m_overage) + bound.m_slack;
    }

    [[nodiscard]] bool is_awake(const endpoint& address) const
    {
        const auto frozen = m_frozen.find(address);
        return frozen == m_frozen.end() || m_now >= frozen->second;
    }

    [[nodiscard]] bool reaches(const endpoint& from, const endpoint& to) const
    {
        return m_groups.empty() || m_groups.at(number_of(from)) == m_groups.at(number_of(to));
    }

    void boot()
    {
        for (auto each = m_nodes.begin(); each != m_nodes.end();)
        {
            if (each->second->m_ends_at > m_now || !is_awake(each->first))
            {
                ++each;
                continue;
            }
            m_booting.emplace(each->first, m_now + boot_time);
            each = m_nodes.erase(each);
        }
        const std::vector<endpoint> seeds = seed_addresses();
        for (auto each = m_booting.begin(); each != m_booting.end();)
        {
            if (each->second > m_now)
            {
                ++each;
                continue;
            }
            m_frozen.erase(each->first);
            m_nodes[each->first] = std::make_unique<limiting_node>(
                each->first, seeds, ++m_incarnation, bound,
                "dc-" + std::to_string(data_centre_of(number_of(each->first))), m_data_centres, m_account,
                m_now);
            each = m_booting.erase(each);
        }
    }

    void request()
    {
        const endpoint address = address_of(m_random.below(m_count));
        const auto node = m_nodes.find(address);
        if (node == m_nodes.end() || !is_awake(address))
        {
            return;
        }
        ++m_asked;
        const quota_answer answer = node->second->m_ledger.request(account_name, ++m_last_ticket, m_now);
        if (std::holds_alternative<quota_granted>(answer))
        {
            admit();
        }
        m_refused += std::holds_alternative<quota_refused>(answer) ? 1 : 0;
    }

    void admit()
    {
        ++m_admitted_in_all;
        m_admitted.push_back(m_now);
    }

    void update(limiting_node& node) const
    {
        node.m_ledger.on_members({node.m_roster.peer_statuses(m_now), node.m_roster.expected_nodes(m_now),
                                  node.m_roster.has_agreed(m_now), node.m_is_leaving,
                                  node.m_roster.expected_local_nodes(m_now)},
                                 m_now);
    }

    void tick()
    {
        ++m_steps;
        for (auto& [address, node] : m_nodes)
        {
            if (!is_awake(address))
            {
                continue;
            }
            const auto declared = m_declared.find(address);
            if (declared != m_declared.end() && m_now >= declared->second)
            {
                node->m_ledger.on_declarations({m_account}, m_now);
                m_declared.erase(declared);
            }
            if (m_now >= node->m_next_tick)
            {
                node->m_next_tick = m_now + tick_period;
                post(address, node->m_roster.on_tick(node->m_is_leaving, m_random, m_now));
                update(*node);
            }
            if (m_steps % (waiting_check_interval / step) == 0)
            {
                node->m_ledger.on_tick(m_now);
            }
        }
    }

    void collect()
    {
        for (auto& [address, node] : m_nodes)
        {
            for (const quota_decision& decision : node->m_ledger.take_decisions())
            {
                if (decision.m_is_granted)
                {
                    admit();
                }
                m_refused += decision.m_is_granted ? 0 : 1;
            }
            post(address, node->m_ledger.take_messages());
        }
    }

    void post(const endpoint& sender, const std::vector<outgoing_message>& messages)
    {
        for (const outgoing_message& message : messages)
        {
            if (reaches(sender, message.m_receiver))
            {
                m_flying.emplace(m_now + link_delay, flying{sender, message});
            }
        }
    }

    void deliver()
    {
        while (!m_flying.empty() && m_flying.begin()->first <= m_now)
        {
            const flying each = std::move(m_flying.extract(m_flying.begin()).mapped());
            const endpoint& receiver = each.m_message.m_receiver;
            const auto found = m_nodes.find(receiver);
            if (found == m_nodes.end() || !reaches(each.m_sender, receiver))
            {
                continue;
            }
            if (!is_awake(receiver))
            {
                m_flying.emplace(m_frozen.at(receiver), each);
                continue;
            }
            take(*found->second, each);
        }
    }

    void take(limiting_node& node, const flying& message)
    {
        const endpoint& sender = message.m_sender;
        std::visit(
            [&](const auto& content)
            {
                if constexpr (std::is_same_v<std::decay_t<decltype(content)>, roster_notice>)
                {
                    post(message.m_message.m_receiver, node.m_roster.on_notice(sender, content, m_now));
                }
                else if constexpr (requires { node.m_ledger.on_message(sender, content, m_now); })
                {
                    node.m_ledger.on_message(sender, content, m_now);
                }
                // messages of other types don't occur here
            },
            message.m_message.m_content);
    }

    void note_window()
    {
        while (!m_admitted.empty() && m_admitted.front() <= m_now - bound.m_window)
        {
            m_admitted.pop_front();
        }
        m_most_beyond = std::max(m_most_beyond, static_cast<double>(m_admitted.size()) - allowed());
    }

    static constexpr std::uint32_t first_host = 10;

    std::size_t m_count;
    std::size_t m_data_centres;
    forwarding::account m_account;
    random_source m_random;
    time_point m_now{start};
    node_incarnation m_incarnation{0};
    std::map<endpoint, std::unique_ptr<limiting_node>> m_nodes;
    std::map<endpoint, time_point> m_booting;
    std::map<endpoint, time_point> m_frozen;    ///< end of the freeze, by node
    std::map<endpoint, time_point> m_declared;  ///< when a node receives the new limit
    std::vector<std::size_t> m_groups;          ///< group of each node; empty without a partition
    std::multimap<time_point, flying> m_flying; ///< messages in flight, by arrival time
    std::deque<time_point> m_admitted;
    std::vector<replaced_limit> m_replaced;
    double m_most_beyond{-1e9};
    quota_ticket m_last_ticket{0};
    std::size_t m_admitted_in_all{0};
    std::size_t m_asked{0};
    std::size_t m_refused{0};
    std::size_t m_steps{0};
};

} // namespace teasellead::testing
