#include "teasellead/fleet/revision_check.hpp"

#include <algorithm>

namespace teasellead
{

revision_check::revision_check(check_reason reason, std::uint64_t id, revision_check_settings settings,
                               time_point now)
    : m_reason(reason), m_id(id), m_settings(settings), m_started(now)
{
}

std::vector<outgoing_message> revision_check::on_tick(const listed_host& self,
                                                      const std::vector<peer_status>& peers, time_point now,
                                                      random_source& random)
{
    choose(self, peers, now, random);
    std::vector<outgoing_message> result;
    for (auto& [address, peer] : m_asked)
    {
        if (!peer.m_has_answered && now >= peer.m_next_request)
        {
            peer.m_next_request = now + m_settings.m_ask_period;
            result.push_back({address, revision_request{number_only, m_id}});
        }
    }
    return result;
}

void revision_check::on_reply(const endpoint& peer, const revision_reply& reply)
{
    const auto found = m_asked.find(peer);
    if (reply.m_check != m_id || found == m_asked.end())
    {
        return;
    }
    found->second.m_has_answered = true;
    m_has_confirmed_reply = m_has_confirmed_reply || reply.m_is_confirmed;
}

bool revision_check::is_complete(bool is_up_to_date, time_point now) const
{
    const duration elapsed = now - m_started;
    const bool is_start = m_reason == check_reason::start;
    if (!is_up_to_date)
    {
        return !is_start && elapsed >= m_settings.m_fetch_timeout;
    }
    if (elapsed >= (is_start ? m_settings.m_start_timeout : m_settings.m_stall_timeout))
    {
        return true;
    }
    if (!m_asked.empty() && have_all_answered() && m_has_confirmed_reply)
    {
        return true;
    }
    // not after a start, since the host list of a node that has just started may still lack its peers
    return !is_start && m_has_platform_answer && (m_asked.empty() || elapsed >= m_settings.m_platform_grace);
}

void revision_check::choose(const listed_host& self, const std::vector<peer_status>& peers, time_point now,
                            random_source& random)
{
    std::vector<const peer_status*> candidates;
    for (const peer_status& peer : peers)
    {
        if (!peer.m_leaving && m_asked.count(peer.m_host.peer()) == 0)
        {
            candidates.push_back(&peer);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random.engine());
    for (const peer_status* const peer : candidates)
    {
        const bool is_inside = peer->m_host.data_centre() == self.data_centre();
        std::size_t& asked = is_inside ? m_asked_inside : m_asked_outside;
        if (asked < m_settings.m_peers_per_side)
        {
            ++asked;
            m_asked.emplace(peer->m_host.peer(), asked_peer{now, false});
        }
    }
}

bool revision_check::have_all_answered() const
{
    return std::all_of(m_asked.begin(), m_asked.end(),
                       [](const auto& entry) { return entry.second.m_has_answered; });
}

} // namespace teasellead
