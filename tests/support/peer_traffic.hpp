#pragma once

#include "fleet_state.hpp"

namespace teasellead::simulation
{

constexpr milliseconds tick{5};
constexpr milliseconds list_period{20};
constexpr milliseconds evidence_period{500};

/// the messages between the hosts of a fleet, which may be late, lost, repeated or out of order
class peer_traffic : public fleet_state
{
  protected:
    using fleet_state::fleet_state;

    void start_peer_traffic(simulated_host* host)
    {
        tick_later(host);
        read_later(host);
        tell_later(host);
    }

    void tell_changes(simulated_host* host)
    {
        for (const upstream_evidence& evidence : host->table().take_evidence())
        {
            for (const auto& peer : m_hosts)
            {
                tell(host, peer->self().peer(), evidence);
            }
        }
    }

  private:
    void tick_later(simulated_host* host)
    {
        at_host(host, tick,
                [this, host]
                {
                    tick_later(host);
                    for (const permit_request& wanted : host->permits().on_tick(m_events.now()))
                    {
                        pass(host, wanted.m_receiver,
                             [this, from = host->self().peer(), wanted](simulated_host& owner)
                             { answer(owner, from, wanted); });
                    }
                });
    }

    void read_later(simulated_host* host)
    {
        at_host(host, list_period,
                [this, host]
                {
                    read_later(host);
                    read_list(host);
                });
    }

    void answer(simulated_host& owner, const endpoint& from, const permit_request& wanted)
    {
        for (const permit_grant& granted : owner.permits().on_request(from, wanted, m_events.now()))
        {
            if (granted.m_evidence.has_value())
            {
                tell(&owner, granted.m_receiver, *granted.m_evidence);
            }
            pass(&owner, granted.m_receiver,
                 [this, sender = owner.self().peer(), granted](simulated_host& borrower)
                 { borrower.permits().on_grant(sender, granted, m_events.now()); });
        }
    }

    void tell(simulated_host* host, const endpoint& receiver, const upstream_evidence& evidence)
    {
        pass(host, receiver,
             [this, evidence](simulated_host& peer)
             { peer.table().on_peer_evidence(evidence, m_events.now()); });
    }

    void tell_later(simulated_host* host)
    {
        at_host(host, evidence_period,
                [this, host]
                {
                    tell_later(host);
                    const endpoint receiver = m_hosts[m_random.below(m_hosts.size())]->self().peer();
                    for (const upstream_evidence& evidence : host->table().all_evidence())
                    {
                        tell(host, receiver, evidence);
                    }
                });
    }

    void pass(simulated_host* from, const endpoint& receiver,
              const std::function<void(simulated_host&)>& take)
    {
        const int copies = m_random.unit() < m_settings.m_message_repeat ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy)
        {
            if (from->self().peer() == receiver || m_random.unit() < m_settings.m_message_loss)
            {
                continue;
            }
            const bool is_late = m_random.unit() < 0.01;
            const duration late = delay(network_delay, is_late ? milliseconds{1000} : milliseconds{5});
            for (const auto& host : m_hosts)
            {
                if (host->alive() && host->self().peer() == receiver)
                {
                    at_host(host.get(), late, [target = host.get(), take] { take(*target); });
                }
            }
        }
    }
};

} // namespace teasellead::simulation
