#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "teasellead/fleet/messages.hpp"
#include "teasellead/fleet/publication_log.hpp"
#include "teasellead/fleet/relay_budget.hpp"
#include "teasellead/fleet/source_call_schedule.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead
{

/// periods of @ref publication_follower
struct follower_settings
{
    duration m_poll_period{std::chrono::milliseconds{350}}; ///< time between two requests to peers
    /// time without a reply until a request has failed
    duration m_reply_timeout{std::chrono::milliseconds{250}};
    /// time without a reply of a peer that reads the source until this node reads it itself
    duration m_reader_timeout{std::chrono::milliseconds{1600}};
    /// time since this node's items were current beyond which it reads the source itself
    duration m_usable_age{std::chrono::milliseconds{3300}};
    /// the same for the time since the confirmation that keys need, which is older
    duration m_max_confirmation_age{std::chrono::milliseconds{3300}};
    /// min. time for which a follower reads the source itself
    duration m_own_read_time{std::chrono::seconds{4}};

    /// limit of the mean rate at which items are sent to peers; 0 for no limit
    double m_relay_bytes_per_second{0.0};

    /*!
    @brief shortens the periods so that keys stay fresh and changes are used in time

    @param[in] key_freshness  time for which keys count as fresh after a confirmation
    @param[in] change_bound   longest time from a change until each node uses it
    */
    [[nodiscard]] static follower_settings for_bounds(duration key_freshness, duration change_bound);

    /// staleness of a reader's items up to which its followers don't read the source themselves
    [[nodiscard]] duration max_reader_staleness() const noexcept
    {
        constexpr duration tick = std::chrono::milliseconds{100};
        return std::max(m_usable_age - m_poll_period - m_reply_timeout - tick, m_usable_age / 2);
    }

    friend bool operator==(const follower_settings&, const follower_settings&) = default;
};

/// how the requests of a node to its peers ended, and what it sent to them
struct follower_counts
{
    std::uint64_t m_from_readers{0};      ///< answered by a peer that reads the source
    std::uint64_t m_from_others{0};       ///< answered by another peer
    std::uint64_t m_unanswered{0};        ///< without an answer in time
    std::uint64_t m_late{0};              ///< answers that came after that time
    std::uint64_t m_from_older_epochs{0}; ///< answers of peers that don't know of the source's return yet
    std::uint64_t m_deferred{0};          ///< requests of peers that got no items because of the limit
    std::uint64_t m_full_replies{0};      ///< sent replies that list all items
    std::uint64_t m_relayed_bytes{0};     ///< bytes of the items in all sent replies
    std::uint64_t m_largest_reply{0};     ///< bytes of the items in the largest sent reply

    friend bool operator==(const follower_counts&, const follower_counts&) = default;
};

/// updates that a peer sent
struct peer_updates
{
    std::vector<published_item> m_items;      ///< the changes, including removals
    std::optional<time_point> m_confirmed_at; ///< when the items were confirmed as current; empty if unknown
    /// until then a missing entry may only have expired at the source and isn't taken as removed
    time_point m_expiry_grace_end{};

    friend bool operator==(const peer_updates&, const peer_updates&) = default;
};

/*!
@brief decides from where a node reads the items that its deployment publishes: the source or a peer

One node of each data centre, the first in the order of rendezvous hashes, reads the source; the others send
their requests to it. A reply counts only if its sender reads the source: the age of its items says little,
because a reader's items are up to two watches old. When two requests in a row fail, a node sends the next
ones to the node with the next rank. When it reaches its own rank, has found no reader for a while, or its
items are too old, it reads the source itself for a while. So the node with the next rank replaces a reader
that has failed, and the others find it. A node that can't reach the source sends requests to any peer. The
number of readers doesn't grow with the number of nodes. A state machine without I/O. Not safe for use by
several threads.
*/
class publication_follower
{
  public:
    publication_follower(endpoint self, follower_settings settings, std::uint64_t seed)
        : m_self(self), m_settings(settings), m_random(seed), m_relay(settings.m_relay_bytes_per_second)
    {
    }

    /// whether one node of a data centre ranks before another as the reader of the source
    [[nodiscard]] static bool comes_before(const endpoint& lhs, const endpoint& rhs) noexcept;

    /*!
    @brief sets the nodes that may send updates

    @param[in] local   other nodes of this node's data centre
    @param[in] others  nodes of other data centres
    */
    void on_members(std::vector<endpoint> local, std::vector<endpoint> others);

    /// records whether the source could be reached
    void on_source(bool is_reachable, time_point now);

    /// records up to when this node's items are complete
    void on_confirmation(const confirmation_times& times);

    /// up to when this node's items were current
    [[nodiscard]] time_point current_at() const noexcept
    {
        return m_confirmation.m_current_at;
    }

    /// whether this node must read the source itself
    [[nodiscard]] bool reads_source(time_point now) const;

    /*!
    @brief returns the requests that are due

    @param[in] have  position up to which this node has every change
    @param[in] now   current time
    */
    [[nodiscard]] std::vector<outgoing_message> on_tick(const publication_position& have, time_point now);

    /*!
    @brief replies to a peer's request

    Without items if the rate of sent items is used up. The peer then isn't confirmed and asks again, or reads
    the source itself before its changes are due.

    @param[in] sender        the peer
    @param[in] request       its request
    @param[in] known         items of this node
    @param[in] expiry_grace  remaining time in which missing entries may only have expired at the source
    @param[in] now           current time
    */
    [[nodiscard]] outgoing_message answer(const endpoint& sender, const publication_request& request,
                                          const publication_log& known, duration expiry_grace,
                                          time_point now);

    /*!
    @brief applies a peer's reply; nothing of an older epoch is taken or confirmed

    @param[in]     sender  the peer
    @param[in]     reply   its reply
    @param[in,out] known   items of this node

    @return the updates; empty if the reply doesn't match a recent request
    */
    [[nodiscard]] std::optional<peer_updates> on_reply(const endpoint& sender, const publication_reply& reply,
                                                       publication_log& known);

    [[nodiscard]] const follower_counts& counts() const noexcept
    {
        return m_counts;
    }

  private:
    /// a request to a peer
    struct call
    {
        std::uint64_t m_number{0};
        endpoint m_peer;
        publication_position m_have; ///< up to which this node had every change
        time_point m_requested_at{};
    };

    /// removes and returns a recent request
    [[nodiscard]] std::optional<call> take_call(const endpoint& peer, std::uint64_t number);
    /// whether a reply is based on what this node had when it sent the request
    [[nodiscard]] static bool is_usable(const publication_reply& reply, const call& answered) noexcept;
    void on_timely_reply(bool is_from_reader, time_point requested_at);
    void on_late_reply(const call& answered, bool is_from_reader);
    [[nodiscard]] bool is_designated() const;
    [[nodiscard]] std::optional<endpoint> choose_peer(time_point now);
    [[nodiscard]] bool needs_source(time_point now) const;
    [[nodiscard]] bool is_from_reader(const publication_reply& reply, const publication_log& known) const;
    void on_request_failed(time_point now);
    void start_reading(time_point now);

    endpoint m_self;
    follower_settings m_settings;
    random_source m_random;
    std::vector<endpoint> m_local; ///< other nodes of this data centre, ordered by rank
    std::vector<endpoint> m_others;
    bool m_source_is_reachable{true};
    confirmation_times m_confirmation;
    time_point m_reads_until{};
    std::uint64_t m_call{0}; ///< number of the latest request
    time_point m_requested_at{};
    bool m_is_waiting{false};
    std::deque<call> m_recent_calls; ///< the current one and earlier ones without a reply
    relay_budget m_relay;
    std::size_t m_rank{0};              ///< rank of the node that receives the requests
    std::size_t m_first_usable_rank{0}; ///< nodes with lower ranks were found to be unresponsive or outdated
    std::size_t m_failures{0};          ///< consecutive requests to that node that failed
    /// when a peer that reads the source last replied, or when this node last read the source itself
    time_point m_reader_seen_at{};
    time_point m_next_request{};
    follower_counts m_counts;
};

} // namespace teasellead
