#include "teasellead/entry/peer_exchange.hpp"

#include <utility>

#include "teasellead/kernel/overloaded.hpp"

namespace teasellead
{

namespace
{

// all evidence is sent again to one peer per period, to make up for lost messages
constexpr std::chrono::seconds evidence_repeat_period{1};

outgoing_message to_message(const permit_request& request)
{
    return {request.m_receiver, cold_permit_request{request.m_upstream, request.m_lease, request.m_term}};
}

quarantine_notice to_notice(const quarantine_report& report)
{
    return {report.fingerprint(), report.lost_upstreams(), report.remaining()};
}

} // namespace

peer_exchange::peer_exchange(upstream_table& upstreams, quarantine& crash_quarantine,
                             std::uint64_t first_lease)
    : m_upstreams(&upstreams), m_quarantine(&crash_quarantine), m_permits(upstreams, first_lease)
{
}

void peer_exchange::on_message(const endpoint& sender, const peer_content& content, time_point now,
                               std::vector<outgoing_message>& outgoing)
{
    std::visit(overloaded{[&](const evidence_notice& notice)
                          {
                              for (const upstream_evidence& evidence : notice.m_evidence)
                              {
                                  m_upstreams->on_peer_evidence(evidence, now);
                              }
                          },
                          [&](const cold_permit_request& request)
                          { on_permit_request(sender, request, now, outgoing); },
                          [&](const cold_permit_grant& grant) {
                              m_permits.on_grant(
                                  sender, {sender, grant.m_upstream, grant.m_lease, grant.m_requests, {}},
                                  now);
                          },
                          [&](const quarantine_notice& notice) {
                              m_quarantine->on_peer_report(
                                  {notice.m_fingerprint, notice.m_lost_upstreams, notice.m_remaining}, now);
                          },
                          [&](const forward_request& request) {
                              m_forwarded.push_back({sender, request});
                          },
                          [&](const forward_reply& reply)
                          {
                              const auto found = m_pending_forwards.find(reply.m_correlation);
                              if (found != m_pending_forwards.end())
                              {
                                  m_replies.push_back({std::move(found->second), reply});
                                  m_pending_forwards.erase(found);
                              }
                          },
                          [](const auto&) {
                          }},
               content);
}

void peer_exchange::on_permit_request(const endpoint& sender, const cold_permit_request& content,
                                      time_point now, std::vector<outgoing_message>& outgoing)
{
    const permit_request request{endpoint{}, content.m_upstream, content.m_lease, content.m_term};
    for (const permit_grant& grant : m_permits.on_request(sender, request, now))
    {
        if (grant.m_evidence)
        {
            outgoing.push_back({grant.m_receiver, evidence_notice{{*grant.m_evidence}}});
        }
        outgoing.push_back(
            {grant.m_receiver, cold_permit_grant{grant.m_upstream, grant.m_lease, grant.m_requests}});
    }
}

void peer_exchange::tick(const std::vector<peer_status>& peers, time_point now,
                         std::vector<outgoing_message>& outgoing)
{
    for (const permit_request& request : m_permits.on_tick(now))
    {
        outgoing.push_back(to_message(request));
    }
    send_state_to_new_incarnations(peers, now, outgoing);
    broadcast_changes(peers, outgoing);
    repeat_evidence(peers, now, outgoing);
}

void peer_exchange::send_state_to_new_incarnations(const std::vector<peer_status>& peers, time_point now,
                                                   std::vector<outgoing_message>& outgoing)
{
    for (const peer_status& peer : peers)
    {
        node_incarnation& known = m_informed_incarnations[peer.m_host.peer()];
        if (peer.m_incarnation == 0 || peer.m_incarnation == known)
        {
            continue;
        }
        known = peer.m_incarnation;
        outgoing.push_back({peer.m_host.peer(), evidence_notice{m_upstreams->all_evidence()}});
        for (const quarantine_report& report : m_quarantine->all_reports(now))
        {
            outgoing.push_back({peer.m_host.peer(), to_notice(report)});
        }
    }
}

void peer_exchange::broadcast_changes(const std::vector<peer_status>& peers,
                                      std::vector<outgoing_message>& outgoing)
{
    const std::vector<upstream_evidence> evidence = m_upstreams->take_evidence();
    const std::vector<quarantine_report> reports = m_quarantine->take_reports();
    for (const peer_status& peer : peers)
    {
        if (!evidence.empty())
        {
            outgoing.push_back({peer.m_host.peer(), evidence_notice{evidence}});
        }
        for (const quarantine_report& report : reports)
        {
            outgoing.push_back({peer.m_host.peer(), to_notice(report)});
        }
    }
}

void peer_exchange::repeat_evidence(const std::vector<peer_status>& peers, time_point now,
                                    std::vector<outgoing_message>& outgoing)
{
    if (peers.empty() || now < m_next_repeat)
    {
        return;
    }
    m_next_repeat = now + evidence_repeat_period;
    ++m_repeat_index;
    const peer_status& peer = peers[m_repeat_index % peers.size()];
    outgoing.push_back({peer.m_host.peer(), evidence_notice{m_upstreams->all_evidence()}});
}

outgoing_message peer_exchange::forward(const endpoint& issuing_host, forward_request request,
                                        forward_handler on_reply)
{
    request.m_correlation = ++m_last_correlation;
    m_pending_forwards.emplace(request.m_correlation, std::move(on_reply));
    return {issuing_host, std::move(request)};
}

void peer_exchange::cancel_forward(std::uint64_t correlation)
{
    m_pending_forwards.erase(correlation);
}

std::vector<forwarded_request> peer_exchange::take_forwarded()
{
    return std::exchange(m_forwarded, {});
}

std::vector<forward_outcome> peer_exchange::take_replies()
{
    return std::exchange(m_replies, {});
}

} // namespace teasellead
