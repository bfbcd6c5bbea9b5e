#include "teasellead/fleet/publication_follower.hpp"

#include <algorithm>
#include <chrono>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

using std::chrono::milliseconds;

// arbitrary hash key that is the same on all nodes
constexpr std::uint64_t order_key = 1;
constexpr std::size_t max_failures = 2;
constexpr std::size_t max_recent_calls = 8;

std::uint64_t score_of(const endpoint& node)
{
    return rendezvous_score(order_key, node.packed());
}

} // namespace

follower_settings follower_settings::for_bounds(duration key_freshness, duration change_bound)
{
    constexpr duration::rep requests_per_period = 8;
    constexpr double reader_timeout_fraction = 0.35;
    constexpr double usable_fraction = 0.7;
    follower_settings result;
    result.m_poll_period = std::min(result.m_poll_period, key_freshness / requests_per_period);
    result.m_reply_timeout = std::min(result.m_reply_timeout, key_freshness / requests_per_period);
    result.m_reader_timeout =
        std::min(result.m_reader_timeout,
                 std::chrono::duration_cast<duration>(key_freshness * reader_timeout_fraction));
    // half of a bound that is too short for a lost call
    const duration latest_start =
        std::max(change_bound - source_call_schedule::catch_up_time(), change_bound / 2);
    result.m_max_confirmation_age = std::min(
        result.m_max_confirmation_age, std::chrono::duration_cast<duration>(key_freshness * usable_fraction));
    result.m_usable_age = std::min({result.m_usable_age, result.m_max_confirmation_age, latest_start});
    return result;
}

bool publication_follower::comes_before(const endpoint& lhs, const endpoint& rhs) noexcept
{
    return score_of(lhs) > score_of(rhs);
}

void publication_follower::on_members(std::vector<endpoint> local, std::vector<endpoint> others)
{
    if (local.size() != m_local.size())
    {
        // the nodes that were asked may have ranked first only in an incomplete view
        m_rank = 0;
        m_first_usable_rank = 0;
        m_failures = 0;
    }
    m_local = std::move(local);
    m_others = std::move(others);
    std::sort(m_local.begin(), m_local.end(), comes_before);
}

void publication_follower::on_source(bool is_reachable, time_point now)
{
    if (m_source_is_reachable && !is_reachable)
    {
        m_next_request = now;
    }
    m_source_is_reachable = is_reachable;
}

void publication_follower::on_confirmation(const confirmation_times& times)
{
    m_confirmation.m_confirmed_at = std::max(m_confirmation.m_confirmed_at, times.m_confirmed_at);
    m_confirmation.m_current_at = std::max(m_confirmation.m_current_at, times.m_current_at);
}

bool publication_follower::is_designated() const
{
    return m_local.empty() || comes_before(m_self, m_local.front());
}

bool publication_follower::reads_source(time_point now) const
{
    return is_designated() || now < m_reads_until;
}

std::optional<endpoint> publication_follower::choose_peer(time_point now)
{
    if (!reads_source(now))
    {
        return m_local[std::min(m_rank, m_local.size() - 1)];
    }
    if (m_source_is_reachable)
    {
        return std::nullopt;
    }
    const std::size_t peers = m_local.size() + m_others.size();
    if (peers == 0)
    {
        return std::nullopt;
    }
    const std::size_t chosen = m_random.below(peers);
    return chosen < m_local.size() ? m_local[chosen] : m_others[chosen - m_local.size()];
}

std::vector<outgoing_message> publication_follower::on_tick(const publication_position& have, time_point now)
{
    if (m_is_waiting && now - m_requested_at >= m_settings.m_reply_timeout)
    {
        m_is_waiting = false;
        m_next_request = now;
        ++m_counts.m_unanswered;
        on_request_failed(now);
    }
    // before the first tick no peer could be asked
    const bool is_first = m_reader_seen_at == time_point{};
    if (is_first || reads_source(now))
    {
        m_reader_seen_at = now;
    }
    if (!reads_source(now) && needs_source(now))
    {
        start_reading(now);
    }
    if (m_is_waiting || now < m_next_request)
    {
        return {};
    }
    const std::optional<endpoint> peer = choose_peer(now);
    if (!peer)
    {
        return {};
    }
    ++m_call;
    m_recent_calls.push_back({m_call, *peer, have, now});
    if (m_recent_calls.size() > max_recent_calls)
    {
        m_recent_calls.pop_front();
    }
    m_requested_at = now;
    m_is_waiting = true;
    m_next_request = now + m_settings.m_poll_period;
    return {{*peer, publication_request{m_call, have}}};
}

bool publication_follower::needs_source(time_point now) const
{
    return now - m_confirmation.m_current_at > m_settings.m_usable_age ||
           now - m_confirmation.m_confirmed_at > m_settings.m_max_confirmation_age ||
           now - m_reader_seen_at > m_settings.m_reader_timeout;
}

bool publication_follower::is_from_reader(const publication_reply& reply, const publication_log& known) const
{
    // one that hasn't noticed yet that the source came back from a backup confirms what is no longer there
    if (reply.m_as_of.epoch() < known.as_of().epoch())
    {
        return false;
    }
    // a reader whose source has become silent notices it later than its followers; one without a confirmation
    // has just started to read
    return reply.m_is_reader && reply.m_staleness.value_or(milliseconds{0}) <= m_settings.m_usable_age &&
           reply.m_confirmation_age.value_or(milliseconds{0}) <= m_settings.m_max_confirmation_age;
}

void publication_follower::on_request_failed(time_point now)
{
    if (reads_source(now))
    {
        return;
    }
    ++m_failures;
    // a node that was already found to be unresponsive gets only one more request
    const bool is_known_failed = m_rank < m_first_usable_rank;
    if (!is_known_failed && m_rank == 0 && m_failures < max_failures)
    {
        return;
    }
    m_failures = 0;
    m_first_usable_rank = std::max(m_first_usable_rank, m_rank + 1);
    m_rank = m_first_usable_rank;
    const bool is_own_rank = m_rank >= m_local.size() || comes_before(m_self, m_local[m_rank]);
    if (is_own_rank)
    {
        m_rank = 0;
        start_reading(now);
    }
}

void publication_follower::start_reading(time_point now)
{
    // random, so that nodes that start to read at the same time don't stay synchronised
    m_reads_until = now + m_settings.m_own_read_time +
                    m_random.below(4) * std::chrono::duration_cast<duration>(milliseconds{500});
    m_failures = 0;
}

outgoing_message publication_follower::answer(const endpoint& sender, const publication_request& request,
                                              const publication_log& known, duration expiry_grace,
                                              time_point now)
{
    const publication_position have =
        request.m_knows_epochs ? request.m_have
                               : publication_position{known.as_of().epoch(), request.m_have.revision()};
    publication_reply reply;
    reply.m_call = request.m_call;
    reply.m_is_reader = m_source_is_reachable && reads_source(now);
    reply.m_expiry_grace = std::chrono::ceil<milliseconds>(expiry_grace);
    if (have < known.as_of() && !m_relay.may_send(sender, have, now))
    {
        // confirms nothing, since the peer lacks items
        ++m_counts.m_deferred;
        reply.m_as_of = have;
        return {sender, std::move(reply)};
    }
    publication_delta delta = known.since(have);
    const std::size_t bytes = delta.bytes();
    m_relay.on_sent(sender, have, bytes, now);
    m_counts.m_full_replies += delta.m_is_full ? 1 : 0;
    m_counts.m_relayed_bytes += bytes;
    m_counts.m_largest_reply = std::max<std::uint64_t>(m_counts.m_largest_reply, bytes);
    reply.m_as_of = delta.m_as_of;
    reply.m_is_full = delta.m_is_full;
    reply.m_items = std::move(delta.m_items);
    reply.m_unchanged = std::move(delta.m_unchanged);
    if (m_confirmation.m_confirmed_at != time_point{})
    {
        reply.m_confirmation_age = std::chrono::ceil<milliseconds>(now - m_confirmation.m_confirmed_at);
        reply.m_staleness = std::chrono::ceil<milliseconds>(now - m_confirmation.m_current_at);
    }
    return {sender, std::move(reply)};
}

std::optional<publication_follower::call> publication_follower::take_call(const endpoint& peer,
                                                                          std::uint64_t number)
{
    const auto found =
        std::find_if(m_recent_calls.begin(), m_recent_calls.end(),
                     [&](const call& each) { return each.m_number == number && each.m_peer == peer; });
    if (found == m_recent_calls.end())
    {
        return std::nullopt;
    }
    const call result = *found;
    m_recent_calls.erase(found);
    return result;
}

bool publication_follower::is_usable(const publication_reply& reply, const call& answered) noexcept
{
    // an earlier process at this address may have sent a request with the same number
    const bool is_based_on_items =
        answered.m_have.has_items() && answered.m_have.epoch() == reply.m_as_of.epoch();
    return is_based_on_items || (reply.m_is_full && reply.m_unchanged.empty());
}

void publication_follower::on_timely_reply(bool is_from_reader, time_point requested_at)
{
    m_is_waiting = false;
    if (is_from_reader)
    {
        ++m_counts.m_from_readers;
        m_reader_seen_at = requested_at;
        m_failures = 0;
        m_first_usable_rank = m_rank;
    }
    else
    {
        ++m_counts.m_from_others;
        on_request_failed(requested_at);
    }
}

void publication_follower::on_late_reply(const call& answered, bool is_from_reader)
{
    ++m_counts.m_late;
    const auto peer = std::find(m_local.begin(), m_local.end(), answered.m_peer);
    if (!is_from_reader || peer == m_local.end())
    {
        return;
    }
    // slow, but it has what the next ones lack
    m_reader_seen_at = std::max(m_reader_seen_at, answered.m_requested_at);
    m_rank = static_cast<std::size_t>(peer - m_local.begin());
    m_first_usable_rank = m_rank;
    m_failures = 0;
}

std::optional<peer_updates>
publication_follower::on_reply(const endpoint& sender, const publication_reply& reply, publication_log& known)
{
    const std::optional<call> answered = take_call(sender, reply.m_call);
    if (!answered)
    {
        return std::nullopt;
    }
    const time_point requested_at = answered->m_requested_at;
    if (m_is_waiting && reply.m_call == m_call)
    {
        on_timely_reply(is_from_reader(reply, known), requested_at);
    }
    else
    {
        on_late_reply(*answered, is_from_reader(reply, known));
    }
    peer_updates updates;
    if (reply.m_as_of.epoch() < known.as_of().epoch())
    {
        ++m_counts.m_from_older_epochs;
        return updates;
    }
    // counted from the sending of the request, as the ages below
    updates.m_expiry_grace_end = requested_at + reply.m_expiry_grace;
    if (reply.m_as_of.has_items() && is_usable(reply, *answered))
    {
        updates.m_items = reply.m_is_full ? known.on_listing(reply.m_items, reply.m_unchanged, reply.m_as_of)
                                          : known.on_changes(reply.m_items, reply.m_as_of);
    }
    const bool is_complete = reply.m_as_of.has_items() && known.as_of().epoch() == reply.m_as_of.epoch() &&
                             known.as_of() >= reply.m_as_of;
    if (reply.m_confirmation_age && is_complete)
    {
        // ages are counted from the sending of the request, since the delay of the reply isn't known
        const time_point confirmed_at = requested_at - *reply.m_confirmation_age;
        on_confirmation({confirmed_at, requested_at - reply.m_staleness.value_or(*reply.m_confirmation_age)});
        updates.m_confirmed_at = confirmed_at;
    }
    return updates;
}

} // namespace teasellead
