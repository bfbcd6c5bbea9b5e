#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teasellead/fleet/messages.hpp"
#include "teasellead/fleet/quota_bucket.hpp"
#include "teasellead/fleet/quota_members.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/// what a lease uses of its node
struct lease_context
{
    const quota_members& m_members;
    const std::string& m_name; ///< of the account
    time_point m_now;
    std::vector<outgoing_message>& m_messages; ///< receives what is to be sent
};

/*!
@brief which node holds the one bucket of an account

Among the nodes that know each other, one holds the bucket: the first in the order of the account's rendezvous
hashes. When a better one joins or the holder stops, the bucket moves there by a message, with what is left in
it. A node that should hold the bucket but doesn't have it asks the next nodes in the order for it; only when
none of them has it does it create one, which begins empty. So however often the holder changes, all buckets
together never give more than one bucket with the whole limit would have given. While some nodes are silent
they may hold another bucket on their side of a cut, so a holder uses only the part of the limit that belongs
to the nodes that it hears.

A state machine without I/O. Not safe for use by several threads.
*/
class quota_lease
{
  public:
    /// begins without a bucket; @param[in] key  hash of the account's name
    explicit quota_lease(std::uint64_t key) noexcept : m_key(key)
    {
    }

    /// whether this node holds the bucket
    [[nodiscard]] bool is_held() const noexcept
    {
        return m_bucket.has_value();
    }

    /// whether this node asks others for the bucket
    [[nodiscard]] bool is_searching() const noexcept
    {
        return m_search && !m_bucket;
    }

    /*!
    @brief the bucket with what has come since the last call; @pre is_held()

    @param[in] terms    terms of a bucket with the whole limit
    @param[in] members  the nodes
    @param[in] now      current time
    */
    [[nodiscard]] quota_bucket& refilled(const bucket_terms& terms, const quota_members& members,
                                         time_point now);

    /// the node that is to be asked for tokens; this one if it holds the bucket or is to hold it
    [[nodiscard]] endpoint target(const lease_context& context);

    /// does what follows from a change of the members
    void reconsider(const bucket_terms& terms, const lease_context& context);

    /// takes a message of another node
    void on_message(const endpoint& sender, const bucket_request& content, const bucket_terms& terms,
                    const lease_context& context);
    void on_message(const endpoint& sender, const bucket_reply& content, const bucket_terms& terms,
                    const lease_context& context);

    /// another node has said who holds the bucket
    void on_hint(const endpoint& sender, const endpoint& holder, const lease_context& context);

    /// the node that was taken for the holder hasn't answered
    void forget_holder() noexcept
    {
        m_holder.reset();
    }

    /// this node stood still for so long that the others may have replaced it
    void on_pause() noexcept
    {
        m_bucket.reset();
        m_search.reset();
        m_holder.reset();
    }

    /// asks again, ends a search that has lasted long enough, and hands the bucket to a better node
    void on_tick(const bucket_terms& terms, const lease_context& context);

  private:
    struct asked_node
    {
        endpoint m_address;
        bool m_has_answered{false};
        bool m_is_settled{false};
        bool m_is_likely{false}; ///< whether it was the last that is known to have held the bucket
        time_point m_last_heard; ///< when it wasn't silent
    };

    struct bucket_search
    {
        std::uint64_t m_call{0};
        time_point m_began;
        time_point m_sent_at;
        std::vector<asked_node> m_asked;
    };

    /// what was heard of one run of a node
    struct node_note
    {
        endpoint m_address;
        node_incarnation m_incarnation{0}; ///< 0 if it isn't known
        time_point m_until;
    };

    void update_order(const lease_context& context);
    [[nodiscard]] endpoint first(const lease_context& context);
    [[nodiscard]] std::uint64_t score(const endpoint& node) const;
    [[nodiscard]] bool ranks_above(const endpoint& other, const lease_context& context) const;
    [[nodiscard]] static node_note note_of(const endpoint& node, const lease_context& context);
    [[nodiscard]] static bool is_valid(const node_note& note, const lease_context& context);
    [[nodiscard]] const endpoint* valid_holder(const lease_context& context);
    void note_declined(const endpoint& sender, const lease_context& context);
    void set_holder(const endpoint& holder, const lease_context& context);
    void hand_over(const endpoint& receiver, std::uint64_t call, const bucket_terms& terms,
                   const lease_context& context);
    void begin_search(const lease_context& context);
    [[nodiscard]] bool is_doubtful(const quota_members& members, time_point now) const;
    [[nodiscard]] double sure_part(const quota_members& members, time_point now) const;
    void ask(const endpoint& node, bool is_likely, const lease_context& context);
    void send_question(const endpoint& node, const lease_context& context) const;
    void continue_search(const lease_context& context);
    [[nodiscard]] static bool is_heard(const endpoint& node, const quota_members& members);
    [[nodiscard]] static bool is_confirmed(const bucket_search& search, const quota_members& members,
                                           time_point now);
    [[nodiscard]] bool is_awaited(const asked_node& node, const lease_context& context) const;

    std::uint64_t m_key;
    std::optional<quota_bucket> m_bucket; ///< if this node holds it
    std::optional<bucket_search>
        m_search;                      ///< goes on beside a new bucket until all asked nodes have answered
    std::optional<node_note> m_holder; ///< another node that holds the bucket
    std::optional<endpoint> m_last_holder; ///< the other node that was last known to hold it
    std::optional<node_note>
        m_declined; ///< a node that has handed the bucket over, since it isn't to hold it
    quota_order m_order;
    std::uint64_t m_order_version{0};
    std::uint64_t m_last_call{0};
};

} // namespace teasellead
