#include "teasellead/fleet/membership.hpp"

#include <algorithm>
#include <utility>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

// the hello period is at least this time per peer, so that the rate of hellos stays bounded in large data
// centres
constexpr std::chrono::milliseconds hello_spacing{13};
constexpr int contact_period_factor = 10;
constexpr std::size_t contacts_per_data_centre = 2;

} // namespace

membership::membership(listed_host self, node_incarnation incarnation, membership_settings settings)
    : m_self(std::move(self)), m_incarnation(incarnation), m_settings(settings)
{
}

bool membership::list_is_fresh(time_point now) const
{
    return m_list_version != 0 && now < m_list_at + m_settings.m_list_freshness;
}

duration membership::hello_period() const
{
    const duration spread = static_cast<duration::rep>(m_peers.size()) * hello_spacing;
    return std::max(m_settings.m_hello_period, spread);
}

void membership::on_list(const host_list& list, time_point asked_at)
{
    if (list.m_version < m_list_version)
    {
        return;
    }
    const bool was_stale = !list_is_fresh(asked_at);
    update_self_listing(list, asked_at, was_stale);
    update_listed_peers(list, asked_at, was_stale);
    update_listed_remotes(list, asked_at);
    m_list_version = std::max<std::uint64_t>(list.m_version, 1);
    m_list_at = std::max(m_list_at, asked_at);
    m_changed = true;
}

void membership::on_data_centres(const std::vector<data_centre>& declared, time_point now)
{
    for (const data_centre& entry : declared)
    {
        if (entry.name() != m_self.data_centre())
        {
            m_remote_revisions.try_emplace(entry.name(), remote_revision{0, now});
        }
    }
}

void membership::update_self_listing(const host_list& list, time_point asked_at, bool was_stale)
{
    const auto is_self = [this](const platform_host& entry)
    {
        return entry.m_host == m_self && !entry.m_leaving;
    };
    const bool listed = std::any_of(list.m_hosts.begin(), list.m_hosts.end(), is_self);
    if (listed && (!m_listed || was_stale))
    {
        m_listed_since = asked_at;
    }
    m_listed = listed;
}

void membership::update_listed_peers(const host_list& list, time_point asked_at, bool was_stale)
{
    for (auto& [address, entry] : m_peers)
    {
        entry.m_unlisted_since = entry.m_listed || was_stale ? asked_at : entry.m_unlisted_since;
        entry.m_listed = false;
    }
    for (const platform_host& listed : list.m_hosts)
    {
        const bool local = listed.m_host.data_centre() == m_self.data_centre();
        if (local && !listed.m_leaving && listed.m_host.peer() != m_self.peer())
        {
            peer& entry = m_peers[listed.m_host.peer()];
            entry.m_status.m_host = listed.m_host;
            entry.m_listed = true;
        }
    }
}

void membership::update_listed_remotes(const host_list& list, time_point asked_at)
{
    std::map<endpoint, peer_status> remotes;
    for (const platform_host& listed : list.m_hosts)
    {
        if (listed.m_host.data_centre() == m_self.data_centre() || listed.m_leaving)
        {
            continue;
        }
        const auto known = m_remotes.find(listed.m_host.peer());
        const bool same = known != m_remotes.end() && known->second.m_host == listed.m_host;
        const peer_status fresh{listed.m_host, 0, 0, false, false, time_point{}};
        remotes.emplace(listed.m_host.peer(), same ? known->second : fresh);
        // a new entry starts at 0, since a data centre without a hello may still use any older revision
        remote_revision& floor = m_remote_revisions[listed.m_host.data_centre()];
        floor.m_last_listed = std::max(floor.m_last_listed, asked_at);
    }
    const bool changed = remotes.size() != m_remotes.size() ||
                         !std::equal(remotes.begin(), remotes.end(), m_remotes.begin(),
                                     [](const auto& lhs, const auto& rhs) { return lhs.first == rhs.first; });
    m_remotes = std::move(remotes);
    if (changed)
    {
        choose_contacts();
    }
}

void membership::choose_contacts()
{
    using scored = std::pair<std::uint64_t, endpoint>;
    std::map<std::string, std::vector<scored>> by_data_centre;
    for (const auto& [address, status] : m_remotes)
    {
        const std::uint64_t score = rendezvous_score(m_self.peer().packed(), address.packed());
        by_data_centre[status.m_host.data_centre()].emplace_back(score, address);
    }
    m_contacts.clear();
    for (auto& [name, hosts] : by_data_centre)
    {
        std::sort(hosts.begin(), hosts.end(), std::greater<>{});
        hosts.resize(std::min(hosts.size(), contacts_per_data_centre));
        for (const scored& chosen : hosts)
        {
            m_contacts.push_back(chosen.second);
        }
    }
}

time_point membership::sent_at(std::uint64_t sequence) const
{
    return m_started_at + std::chrono::microseconds{static_cast<std::int64_t>(sequence)};
}

void membership::on_hello(const endpoint& sender, node_incarnation incarnation, const hello& content,
                          time_point now)
{
    if (incarnation == m_incarnation || sender == m_self.peer())
    {
        return;
    }
    if (content.m_data_centre == m_self.data_centre())
    {
        on_local_hello(sender, incarnation, content, now);
    }
    else
    {
        on_remote_hello(sender, incarnation, content, now);
    }
}

void membership::on_remote_hello(const endpoint& sender, node_incarnation incarnation, const hello& content,
                                 time_point now)
{
    const auto found = m_remotes.find(sender);
    if (found == m_remotes.end() || found->second.m_host.data_centre() != content.m_data_centre)
    {
        return;
    }
    found->second = peer_status{found->second.m_host, incarnation,       content.m_revision,
                                content.m_ready,      content.m_leaving, now};
    revision_number& floor = m_remote_revisions[content.m_data_centre].m_min_revision;
    floor = std::max(floor, content.m_min_revision);
}

bool membership::acknowledges_after(const hello& content, time_point earliest) const
{
    return content.m_acked_incarnation == m_incarnation && sent_at(content.m_acked_sequence) > earliest;
}

void membership::on_local_hello(const endpoint& sender, node_incarnation incarnation, const hello& content,
                                time_point now)
{
    const auto [found, added] = m_peers.try_emplace(sender);
    peer& entry = found->second;
    if (added)
    {
        entry.m_status.m_host = listed_host{sender, content.m_data_centre};
        entry.m_unlisted_since = now;
    }
    const bool is_new = entry.m_status.m_incarnation != incarnation;
    if (is_new && entry.m_status.m_incarnation != 0 &&
        !acknowledges_after(content, entry.m_status.m_last_hello))
    {
        // may be a late message of a process that has ended; a reply to the next hello will show whether it
        // is
        entry.m_next_hello = time_point{};
        return;
    }
    if (!is_new && content.m_sequence <= entry.m_sequence)
    {
        return;
    }
    if (is_new || content.m_leaving)
    {
        inherit_reservations(entry, now);
    }
    if (is_new)
    {
        entry.m_released_at = time_point{};
        entry.m_counts_self = false;
        entry.m_next_hello = time_point{};
    }
    entry.m_status = peer_status{entry.m_status.m_host, incarnation,       content.m_revision,
                                 content.m_ready,       content.m_leaving, now};
    entry.m_sequence = content.m_sequence;
    entry.m_claimed_fraction = content.m_claimed_fraction;
    entry.m_lost_fraction = content.m_lost_fraction;
    entry.m_min_revision = content.m_min_revision;
    entry.m_hosts = content.m_hosts;
    entry.m_data_centre_fraction = content.m_data_centre_fraction;
    entry.m_counts_unlisted = content.m_counts_unlisted;
    if (content.m_leaving && !entry.is_released())
    {
        entry.m_released_at = now;
    }
    on_acknowledgement(entry, content, now);
    m_changed = m_changed || added || is_new || content.m_leaving;
}

void membership::on_acknowledgement(peer& sender, const hello& content, time_point now) const
{
    const time_point answered = sent_at(content.m_acked_sequence);
    if (content.m_acked_incarnation != m_incarnation || answered > now)
    {
        return;
    }
    sender.m_acked_at = std::max(sender.m_acked_at, answered);
    if (content.m_counted)
    {
        sender.m_counts_self = true;
        sender.m_confirmed_at = std::max(sender.m_confirmed_at, answered);
    }
}

void membership::hello_now() noexcept
{
    m_next_contact = time_point{};
    for (auto& [address, entry] : m_peers)
    {
        entry.m_next_hello = time_point{};
    }
}

hello membership::make_hello(const peer& other, bool counted, time_point now) const
{
    return hello{m_sequence,
                 m_self.data_centre(),
                 m_status.m_revision,
                 other.m_status.m_incarnation,
                 other.m_sequence,
                 counted,
                 m_status.m_ready,
                 m_status.m_leaving,
                 std::max(m_claimed_fraction, m_acknowledged_fraction),
                 lost_fraction(now),
                 local_min_revision(now),
                 counted_hosts(now),
                 m_status.m_data_centre_fraction,
                 counts_unlisted()};
}

void membership::start(time_point now)
{
    if (m_started_at == time_point{})
    {
        m_started_at = now;
        m_join_since = now;
    }
}

void membership::advance_sequence(time_point now)
{
    // the sequence of a hello is its sending time, so that no table of sent hellos is needed for replies
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - m_started_at).count();
    m_sequence = std::max(m_sequence + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(elapsed, 0)));
}

std::vector<outgoing_message> membership::on_tick(const node_status& status, time_point now)
{
    start(now);
    m_status = status;
    remove_lost_hosts(now);
    update_joined(now);
    update_claim(now);
    update_hosts(now);
    advance_sequence(now);
    const duration period = hello_period();
    std::vector<outgoing_message> result;
    for (auto& [address, entry] : m_peers)
    {
        if (now < entry.m_next_hello)
        {
            continue;
        }
        entry.m_next_hello = now + period;
        const bool counted = is_confirmable(entry, now);
        entry.m_last_confirmation = counted ? now : entry.m_last_confirmation;
        result.push_back({address, make_hello(entry, counted, now)});
    }
    send_contact_hellos(result, now);
    return result;
}

void membership::send_contact_hellos(std::vector<outgoing_message>& result, time_point now)
{
    if (now < m_next_contact)
    {
        return;
    }
    m_next_contact = now + contact_period_factor * m_settings.m_hello_period;
    for (const endpoint& address : m_contacts)
    {
        result.push_back({address, make_hello(peer{}, false, now)});
    }
}

std::vector<peer_status> membership::peers() const
{
    std::vector<peer_status> result;
    result.reserve(m_peers.size() + m_remotes.size());
    for (const auto& [address, entry] : m_peers)
    {
        if (entry.m_listed)
        {
            result.push_back(entry.m_status);
        }
    }
    for (const auto& [address, status] : m_remotes)
    {
        result.push_back(status);
    }
    return result;
}

} // namespace teasellead
