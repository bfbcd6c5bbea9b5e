#pragma once

#include <cppunit/TestAssert.h>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "teasellead/fleet/quota_ledger.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead::testing
{

using namespace std::chrono_literals;

inline constexpr time_point start{1h};
inline constexpr duration step = 2ms;
inline constexpr account_bound bound{5s, 0.25, 20.0};
inline constexpr duration longest_decision = 130ms;

inline endpoint address_of(std::size_t node)
{
    return endpoint{static_cast<std::uint32_t>(10 + node), 7000};
}

/// quota ledgers of many nodes connected by links with a delay; checks the number of admissions in each
/// window
class ledger_fleet
{
  public:
    ledger_fleet(std::size_t nodes, std::vector<forwarding::account> accounts, std::uint64_t seed)
        : m_accounts(std::move(accounts)), m_random(seed)
    {
        for (std::size_t i = 0; i < nodes; ++i)
        {
            restart(i);
        }
        share_members();
    }

    void restart(std::size_t node)
    {
        m_ledgers.erase(address_of(node));
        quota_ledger& ledger =
            m_ledgers.emplace(address_of(node), quota_ledger{address_of(node), bound}).first->second;
        ledger.on_declarations(m_accounts, m_now);
        m_stopped.erase(address_of(node));
        ++m_incarnations[address_of(node)];
    }

    /// stops a node; the others still list it as a member
    void stop(std::size_t node)
    {
        m_stopped.insert(address_of(node));
    }

    /// drops the token requests of the first `nodes` nodes to the owner; a substitute stays reachable
    void break_links(std::size_t nodes)
    {
        m_broken = nodes;
    }

    /// reports to all nodes which other nodes are running
    void share_members()
    {
        for (auto& [address, ledger] : m_ledgers)
        {
            std::vector<peer_status> others;
            for (const auto& [other, unused] : m_ledgers)
            {
                if (other != address && m_stopped.count(other) == 0)
                {
                    others.push_back({other, m_incarnations[other], false, false});
                }
            }
            ledger.on_members({others, 1, true, false}, m_now);
        }
    }

    /// sends requests of the first account to random nodes, at a total rate
    void run(duration time, double requests_per_s)
    {
        const double per_step = requests_per_s * std::chrono::duration<double>(step).count();
        for (const time_point end = m_now + time; m_now < end; m_now += step)
        {
            deliver();
            for (double left = per_step; left > 0.0; left -= 1.0)
            {
                if (m_random.unit() < left)
                {
                    request();
                }
            }
            if (++m_steps % 10 == 0)
            {
                for (auto& [address, ledger] : m_ledgers)
                {
                    ledger.on_tick(m_now);
                }
            }
            collect();
            check_bound();
        }
    }

    [[nodiscard]] std::size_t admitted() const
    {
        return m_admitted_in_all;
    }

    [[nodiscard]] std::size_t refused() const
    {
        return m_refused;
    }

    /// number of requests that were neither admitted nor refused yet
    [[nodiscard]] std::size_t undecided() const
    {
        return m_pending.size();
    }

  private:
    struct flying
    {
        time_point m_due;
        endpoint m_sender;
        outgoing_message m_message;
    };

    void request()
    {
        const endpoint node = address_of(m_random.below(m_ledgers.size()));
        if (m_stopped.count(node) > 0)
        {
            return;
        }
        const quota_ticket ticket = ++m_last_ticket;
        const quota_answer answer = m_ledgers.at(node).request(m_accounts.front().m_name, ticket, m_now);
        if (std::holds_alternative<quota_granted>(answer))
        {
            admit();
        }
        else if (std::holds_alternative<quota_refused>(answer))
        {
            ++m_refused;
        }
        else
        {
            m_pending.emplace(ticket, m_now);
        }
    }

    void admit()
    {
        ++m_admitted_in_all;
        m_admitted.push_back(m_now);
    }

    void collect()
    {
        for (auto& [address, ledger] : m_ledgers)
        {
            for (const quota_decision& decision : ledger.take_decisions())
            {
                const auto pending = m_pending.find(decision.m_ticket);
                CPPUNIT_ASSERT(pending != m_pending.end());
                // the limit allows for the timeouts of two nodes that don't reply
                CPPUNIT_ASSERT(m_now - pending->second <= longest_decision);
                m_pending.erase(pending);
                if (decision.m_is_granted)
                {
                    admit();
                }
                else
                {
                    ++m_refused;
                }
            }
            for (const outgoing_message& message : ledger.take_messages())
            {
                m_flying.push_back({m_now + 2 * step, address, message});
            }
        }
    }

    void deliver()
    {
        while (!m_flying.empty() && m_flying.front().m_due <= m_now)
        {
            const flying each = m_flying.front();
            m_flying.pop_front();
            const endpoint& receiver = each.m_message.m_receiver;
            if (m_stopped.count(receiver) > 0 || m_stopped.count(each.m_sender) > 0)
            {
                continue;
            }
            quota_ledger& ledger = m_ledgers.at(receiver);
            const bool is_broken = each.m_sender < address_of(m_broken) && is_first_call(each);
            if (is_broken)
            {
                continue;
            }
            std::visit(
                [&](const auto& content)
                {
                    if constexpr (requires { ledger.on_message(each.m_sender, content, m_now); })
                    {
                        ledger.on_message(each.m_sender, content, m_now);
                    }
                },
                each.m_message.m_content);
        }
    }

    /// whether a message is a token request to the node that the sender takes for the owner: the receiver of
    /// the sender's first token request
    bool is_first_call(const flying& message)
    {
        if (!std::holds_alternative<token_request>(message.m_message.m_content))
        {
            return false;
        }
        const auto known = m_first_receiver.emplace(message.m_sender, message.m_message.m_receiver).first;
        return known->second == message.m_message.m_receiver;
    }

    void check_bound()
    {
        while (!m_admitted.empty() && m_admitted.front() <= m_now - bound.m_window)
        {
            m_admitted.pop_front();
        }
        const forwarding::account& account = m_accounts.front();
        const double allowed =
            (account.m_rate * 5 + account.m_burst) * (1.0 + bound.m_overage) + bound.m_slack;
        CPPUNIT_ASSERT(static_cast<double>(m_admitted.size()) <= allowed);
    }

    std::vector<forwarding::account> m_accounts;
    random_source m_random;
    time_point m_now{start};
    std::map<endpoint, quota_ledger> m_ledgers;
    std::set<endpoint> m_stopped;
    std::map<endpoint, node_incarnation> m_incarnations;
    std::deque<flying> m_flying;
    std::deque<time_point> m_admitted;
    std::map<quota_ticket, time_point> m_pending;
    quota_ticket m_last_ticket{0};
    std::size_t m_admitted_in_all{0};
    std::size_t m_refused{0};
    std::size_t m_steps{0};
    std::size_t m_broken{0};
    std::map<endpoint, endpoint> m_first_receiver; ///< of the first token request, by sender
};

} // namespace teasellead::testing
