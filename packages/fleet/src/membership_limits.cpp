// the part of class membership that computes which fraction of its data centre's limits this node may use
#include <algorithm>
#include <utility>

#include "teasellead/fleet/membership.hpp"

namespace teasellead
{

namespace
{

// number of lease terms after which leases that were granted before an event have ended
constexpr int lease_margin = 2;

} // namespace

bool membership::is_confirmable(const peer& other, time_point now) const
{
    if (other.is_released())
    {
        return false;
    }
    // when a fresh list lacks the peer, it is no longer confirmed, so that its share can be taken over
    const bool dropped = !other.m_listed && list_is_fresh(now) && other.m_claimed_fraction != 0.0 &&
                         now >= other.m_unlisted_since + m_settings.evidence_validity();
    const bool is_responsive = now < other.m_status.m_last_hello + m_settings.evidence_validity() / 2;
    return !dropped && (other.m_listed || is_responsive);
}

time_point membership::evidence_until() const
{
    const time_point by_list = m_listed ? m_list_at + m_settings.m_list_freshness : time_point{};
    time_point by_peers = time_point::max();
    for (const auto& [address, entry] : m_peers)
    {
        // a peer that isn't listed and claims no fraction can't have taken over this node's share
        const bool may_claim = entry.m_listed || entry.m_claimed_fraction != 0.0;
        if (may_claim && !entry.is_released())
        {
            by_peers = std::min(by_peers, entry.m_confirmed_at);
        }
    }
    if (by_peers == time_point::max() || by_peers == time_point{})
    {
        return by_list;
    }
    return std::max(by_list, by_peers + m_settings.evidence_validity());
}

bool membership::every_peer_acked(time_point now)
{
    bool all = true;
    for (const auto& [address, entry] : m_peers)
    {
        if (!entry.m_listed || entry.is_released())
        {
            continue;
        }
        const bool acked = entry.m_counts_self && entry.m_confirmed_at >= m_join_since;
        m_first_ack = acked && m_first_ack == time_point{} ? now : m_first_ack;
        all = all && acked && !entry.m_counts_unlisted;
    }
    return all && !counts_unlisted();
}

bool membership::may_join(time_point now)
{
    const duration lease_time = lease_margin * m_settings.m_lease_term;
    if (!m_listed || !list_is_fresh(now) || m_status.m_leaving)
    {
        return false;
    }
    const bool all_acked = every_peer_acked(now);
    const bool alone =
        std::none_of(m_peers.begin(), m_peers.end(), [](const auto& entry) { return entry.second.m_listed; });
    const time_point listed = std::max(m_listed_since, m_join_since);
    if (alone)
    {
        return now >= listed + m_settings.takeover_time();
    }
    if (!all_acked)
    {
        m_all_acked = time_point{};
        const bool has_ack = m_first_ack != time_point{};
        return has_ack ? now >= std::max(listed, m_first_ack) + m_settings.takeover_time()
                       : now >= listed + m_settings.m_isolation_window + m_settings.takeover_time();
    }
    m_all_acked = m_all_acked == time_point{} ? now : m_all_acked;
    // leases that peers granted before they counted this node must have ended
    return now >= std::max(m_all_acked, m_join_since) + lease_time;
}

bool membership::counts_unlisted() const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [](const auto& entry)
                       {
                           const peer& other = entry.second;
                           return !other.m_listed && !other.is_released() && other.m_claimed_fraction != 0.0;
                       });
}

double membership::lost_fraction(time_point now) const
{
    double part = 0.0;
    for (const lost_host& lost : m_lost)
    {
        part += now < lost.m_until ? lost.m_fraction : 0.0;
    }
    return std::min(part, 1.0);
}

std::uint32_t membership::counted_hosts(time_point now) const
{
    const duration lease_time = lease_margin * m_settings.m_lease_term;
    std::uint32_t hosts = m_status.m_leaving ? 0 : 1;
    for (const auto& [address, entry] : m_peers)
    {
        const bool counted = !entry.is_released() || now < entry.m_released_at + lease_time;
        hosts += counted ? 1 : 0;
    }
    return hosts;
}

double membership::equal_fraction(time_point now) const
{
    std::uint32_t hosts = std::max(counted_hosts(now), 1U);
    double reserved = lost_fraction(now);
    for (const auto& [address, entry] : m_peers)
    {
        if (!entry.is_released())
        {
            hosts = std::max(hosts, entry.m_hosts);
            reserved = std::max(reserved, entry.m_lost_fraction);
        }
    }
    const double equal = std::max(0.0, 1.0 - reserved) / hosts;
    double excess = 0.0;
    for (const auto& [address, entry] : m_peers)
    {
        // an isolated peer may use the reserved fraction of the claim in its last hello
        excess += std::max(0.0, m_settings.m_reserved_fraction * entry.m_claimed_fraction - equal);
    }
    return std::max(0.0, 1.0 - reserved - excess) / hosts;
}

void membership::update_joined(time_point now)
{
    const time_point until = evidence_until();
    if (m_joined && (now >= until || m_status.m_leaving))
    {
        m_joined = false;
        m_evidence_expired_at = std::min(until, now);
        m_join_since = now;
        m_first_ack = time_point{};
        m_all_acked = time_point{};
        m_changed = true;
    }
    if (!m_joined && may_join(now))
    {
        m_joined = true;
        m_changed = true;
    }
}

void membership::update_claim(time_point now)
{
    const double part = equal_fraction(now);
    const double claim = m_joined ? part : 0.0;
    if (claim > m_claimed_fraction)
    {
        m_claimed_since = now;
    }
    m_claimed_fraction = claim;
    if (m_status.m_leaving)
    {
        m_acknowledged_fraction = 0.0;
        return;
    }
    // an isolated node uses the reserved fraction of the claim that its peers know, and at most an equal
    // fraction
    m_acknowledged_fraction =
        std::min(m_acknowledged_fraction, m_joined ? claim : part / m_settings.m_reserved_fraction);
    const bool all_know =
        std::all_of(m_peers.begin(), m_peers.end(),
                    [this](const auto& entry)
                    { return entry.second.is_released() || entry.second.m_acked_at > m_claimed_since; });
    if (m_joined && all_know)
    {
        m_acknowledged_fraction = m_claimed_fraction;
    }
}

void membership::inherit_reservations(const peer& removed, time_point now)
{
    const double unknown = removed.m_lost_fraction - lost_fraction(now);
    if (unknown > 0.0)
    {
        // the remaining time of the peer's reservation isn't known, so a whole window is assumed
        m_lost.push_back({endpoint{}, unknown, removed.m_min_revision,
                          now + m_settings.m_isolation_window + m_settings.takeover_time()});
    }
}

void membership::remove_lost_hosts(time_point now)
{
    std::erase_if(m_lost,
                  [&](const lost_host& lost)
                  {
                      const auto returned = m_peers.find(lost.m_address);
                      const bool has_returned =
                          returned != m_peers.end() &&
                          m_settings.m_reserved_fraction * returned->second.m_claimed_fraction <=
                              equal_fraction(now);
                      return has_returned || now >= lost.m_until;
                  });
    for (auto entry = m_peers.begin(); entry != m_peers.end();)
    {
        const peer& other = entry->second;
        const time_point last = std::max(other.m_unlisted_since, other.m_last_confirmation);
        const time_point removal_time = other.is_released()
                                            ? other.m_released_at + lease_margin * m_settings.m_lease_term
                                            : last + m_settings.takeover_time();
        if (other.m_listed || now < removal_time || !list_is_fresh(now))
        {
            ++entry;
            continue;
        }
        if (!other.is_released() && other.m_claimed_fraction != 0.0)
        {
            const double claim =
                other.m_claimed_fraction < 0.0 ? equal_fraction(now) : other.m_claimed_fraction;
            m_lost.push_back({entry->first, claim * m_settings.m_reserved_fraction, other.m_status.m_revision,
                              now + m_settings.m_isolation_window + m_settings.takeover_time()});
        }
        inherit_reservations(other, now);
        entry = m_peers.erase(entry);
        m_changed = true;
    }
}

revision_number membership::local_min_revision(time_point now) const
{
    if (!m_joined)
    {
        // this node may not know all hosts of its data centre
        return 0;
    }
    revision_number floor = m_status.m_revision;
    for (const auto& [address, entry] : m_peers)
    {
        floor = entry.is_released() ? floor : std::min(floor, entry.m_status.m_revision);
    }
    for (const lost_host& lost : m_lost)
    {
        floor = now < lost.m_until ? std::min(floor, lost.m_revision) : floor;
    }
    return floor;
}

revision_number membership::fleet_min_revision(time_point now) const
{
    if (m_list_version == 0)
    {
        return 0;
    }
    const duration window = m_settings.m_isolation_window + m_settings.takeover_time();
    revision_number floor = local_min_revision(now);
    for (const auto& [name, known] : m_remote_revisions)
    {
        const bool has_hosts = now < known.m_last_listed + window || !list_is_fresh(now);
        floor = has_hosts ? std::min(floor, known.m_min_revision) : floor;
    }
    return floor;
}

double membership::min_data_centre_fraction() const
{
    double least = 1.0;
    for (const auto& [address, entry] : m_peers)
    {
        const bool uses = entry.m_claimed_fraction > 0.0 && entry.m_data_centre_fraction > 0.0;
        least = uses ? std::min(least, entry.m_data_centre_fraction) : least;
    }
    return least;
}

limit_fraction membership::current_limit_fraction(time_point now) const
{
    limit_fraction result;
    result.m_fraction = m_claimed_fraction;
    result.m_fraction_until = m_joined ? evidence_until() : time_point{};
    result.m_reserved_fraction = m_settings.m_reserved_fraction * m_acknowledged_fraction;
    const time_point evidence_end = m_joined ? result.m_fraction_until : m_evidence_expired_at;
    if (evidence_end != time_point{})
    {
        result.m_reserved_until = evidence_end + m_settings.m_isolation_window;
    }
    result.m_min_revision = fleet_min_revision(now);
    result.m_peers_data_centre_fraction = min_data_centre_fraction();
    return result;
}

std::vector<listed_host> membership::current_hosts() const
{
    std::vector<listed_host> hosts{m_self};
    for (const auto& [address, entry] : m_peers)
    {
        if (!entry.is_released())
        {
            hosts.push_back(entry.m_status.m_host);
        }
    }
    for (const auto& [address, status] : m_remotes)
    {
        hosts.push_back(status.m_host);
    }
    return hosts;
}

void membership::update_hosts(time_point now)
{
    std::erase_if(m_former, [now](const former_hosts& past) { return now >= past.m_until; });
    if (!m_changed)
    {
        return;
    }
    m_changed = false;
    std::vector<listed_host> hosts = current_hosts();
    if (hosts != m_hosts)
    {
        m_former.push_back({std::move(m_hosts), now + m_settings.takeover_time()});
        m_hosts = std::move(hosts);
    }
    ++m_version;
}

std::vector<host_view> membership::views(time_point now) const
{
    const bool may_claim = m_joined || current_limit_fraction(now).fraction_at(now) > 0.0;
    if (!may_claim)
    {
        return {};
    }
    std::vector<host_view> result{host_view{m_version, m_self, m_hosts}};
    for (const former_hosts& past : m_former)
    {
        if (now < past.m_until && !past.m_hosts.empty())
        {
            result.emplace_back(m_version, m_self, past.m_hosts);
        }
    }
    return result;
}

} // namespace teasellead
