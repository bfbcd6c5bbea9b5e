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

/// state of the node that is passed to the functions of @ref bucket_ownership
struct ownership_context
{
    const quota_members& m_members;
    const std::string& m_name; ///< name of the account
    time_point m_now;
    std::vector<outgoing_message>& m_messages; ///< receives the messages to send
};

/*!
@brief decides which node holds the single token bucket of an account

Among the nodes that know each other, one holds the bucket: the first in the order of the account's rendezvous
hashes. When a node with a higher score joins or the holder stops, a message transfers the bucket with its
remaining tokens. A node that should hold the bucket but doesn't have it asks the next nodes in the order for
it; it creates an empty bucket only if none of them has it. So however often the holder changes, all buckets
together never grant more than one bucket with the whole limit would have granted. Unresponsive nodes may hold
another bucket on the other side of a network partition, so a holder uses only the fraction of the limit that
belongs to the responsive nodes.

A state machine without I/O. Not safe for use by several threads.
*/
class bucket_ownership
{
  public:
    /// creates the state of a node without the bucket; @param[in] key  hash of the account's name
    explicit bucket_ownership(std::uint64_t key) noexcept : m_key(key)
    {
    }

    /// whether this node holds the bucket
    [[nodiscard]] bool is_held() const noexcept
    {
        return m_bucket.has_value();
    }

    /// whether this node is asking others for the bucket
    [[nodiscard]] bool is_searching() const noexcept
    {
        return m_search && !m_bucket;
    }

    /*!
    @brief refills and returns the bucket; @pre is_held()

    @param[in] parameters  parameters of a bucket with the whole limit
    @param[in] members     the nodes
    @param[in] now         current time
    */
    [[nodiscard]] quota_bucket& refilled(const bucket_parameters& parameters, const quota_members& members,
                                         time_point now);

    /// fraction of the rate that the bucket uses, since there may be another one
    [[nodiscard]] double usable_fraction(const quota_members& members, time_point now) const;

    /// the node to ask for tokens; this one if it holds the bucket or should hold it
    [[nodiscard]] endpoint target(const ownership_context& context);

    /// transfers the bucket or starts a search if the members or the known holder have changed
    void update(const bucket_parameters& parameters, const ownership_context& context);

    /// processes a message of another node
    void on_message(const endpoint& sender, const bucket_request& content,
                    const bucket_parameters& parameters, const ownership_context& context);
    void on_message(const endpoint& sender, const bucket_reply& content, const bucket_parameters& parameters,
                    const ownership_context& context);

    /// processes another node's statement of who holds the bucket
    void on_holder_hint(const endpoint& sender, const endpoint& holder, const ownership_context& context);

    /// discards the known holder, which hasn't replied
    void discard_holder() noexcept
    {
        m_holder.reset();
    }

    /// discards the bucket after a stall in which other nodes may have created a new one
    void on_stall() noexcept
    {
        m_bucket.reset();
        m_search.reset();
        m_holder.reset();
    }

    /// repeats requests, ends a search that has timed out, and transfers the bucket to a node with a higher
    /// score
    void on_tick(const bucket_parameters& parameters, const ownership_context& context);

  private:
    struct asked_node
    {
        endpoint m_address;
        bool m_has_answered{false};
        bool m_is_converged{false};   ///< whether the node knew most other nodes when it replied
        bool m_is_last_holder{false}; ///< whether this is the last known holder of the bucket
        time_point m_last_responsive; ///< when the node was last responsive
    };

    struct bucket_search
    {
        std::uint64_t m_call{0};
        time_point m_began;
        time_point m_sent_at;
        std::vector<asked_node> m_asked;
    };

    /// information about one incarnation of a node, valid for a limited time
    struct node_info
    {
        endpoint m_address;
        node_incarnation m_incarnation{0}; ///< 0 if unknown
        time_point m_until;
    };

    void update_order(const ownership_context& context);
    [[nodiscard]] endpoint preferred_holder(const ownership_context& context);
    [[nodiscard]] std::uint64_t score(const endpoint& node) const;
    [[nodiscard]] bool ranks_above(const endpoint& other, const ownership_context& context) const;
    [[nodiscard]] static node_info info_of(const endpoint& node, const ownership_context& context);
    [[nodiscard]] static bool is_valid(const node_info& info, const ownership_context& context);
    [[nodiscard]] const endpoint* valid_holder(const ownership_context& context);
    void record_decline(const endpoint& sender, const ownership_context& context);
    void set_holder(const endpoint& holder, const ownership_context& context);
    void hand_over(const endpoint& receiver, std::uint64_t call, const bucket_parameters& parameters,
                   const ownership_context& context);
    void begin_search(const ownership_context& context);
    [[nodiscard]] bool may_have_duplicate(const quota_members& members, time_point now) const;
    void ask(const endpoint& node, bool is_last_holder, const ownership_context& context);
    void send_request(const endpoint& node, const ownership_context& context) const;
    void continue_search(const ownership_context& context);
    [[nodiscard]] static bool is_responsive(const endpoint& node, const quota_members& members);
    [[nodiscard]] static bool is_confirmed(const bucket_search& search, const quota_members& members,
                                           time_point now);
    [[nodiscard]] bool is_awaited(const asked_node& node, const ownership_context& context) const;

    std::uint64_t m_key;
    std::optional<quota_bucket> m_bucket; ///< empty unless this node holds the bucket
    /// a search continues after a bucket was created, until all asked nodes have replied
    std::optional<bucket_search> m_search;
    std::optional<node_info> m_holder;     ///< another node that holds the bucket
    std::optional<endpoint> m_last_holder; ///< the other node that was last known to hold the bucket
    /// a node with a higher score that has given up the bucket, since it is about to stop
    std::optional<node_info> m_declined;
    holder_order m_order;
    std::uint64_t m_order_version{0};
    std::uint64_t m_last_call{0};
};

} // namespace teasellead
