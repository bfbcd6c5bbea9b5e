#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teasellead/fleet/messages.hpp"
#include "teasellead/fleet/peer_status.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead
{

/// periods of @ref roster
struct roster_settings
{
    duration m_gossip_period{std::chrono::milliseconds{500}};
    /// gossip period of a node that has just started
    duration m_joining_period{std::chrono::milliseconds{100}};
    std::size_t m_fanout{3}; ///< receivers of each notice, alternating between the own and other data centres
    // a notice holds the records of half of the known nodes, within these bounds
    std::size_t m_min_records{24};  ///< min. records of a notice
    std::size_t m_max_records{160}; ///< max. records of a notice
    duration m_node_timeout{
        std::chrono::seconds{8}}; ///< time without a new record until a node isn't counted
    /// the same if most other nodes are unresponsive too
    duration m_partition_timeout{std::chrono::seconds{30}};
    /// time without replies until a node assumes that it is alone
    duration m_join_timeout{std::chrono::milliseconds{1500}};
    /// min. time after a start until most nodes are known
    duration m_min_convergence_time{std::chrono::milliseconds{1500}};
    /// time without a new node after which most nodes are known
    duration m_convergence_stable_time{std::chrono::seconds{1}};
    /// max. time after a start until most nodes are known
    duration m_max_convergence_time{std::chrono::seconds{6}};
    duration m_min_agreement_time{
        std::chrono::milliseconds{300}}; ///< min. time after a start until views agree
    /// time without a new node after which views agree
    duration m_agreement_stable_time{std::chrono::milliseconds{250}};
    std::size_t m_min_nodes_at_start{10}; ///< min. node count assumed until most nodes are known

    friend bool operator==(const roster_settings&, const roster_settings&) = default;
};

/*!
@brief discovers the nodes of the fleet by gossip that starts from a few seeds

There is no central list of nodes and no node has a special role. Each node periodically sends the records
that it has received recently to a few peers, the newest first. Limits that are divided by the number of nodes
aren't exceeded, because an unresponsive node is counted until it can't serve any more, and for longer when so
many nodes are unresponsive that this node itself may be on one side of a network partition. A state machine
without I/O. Not safe for use by several threads.
*/
class roster
{
  public:
    /*!
    @brief creates the view of a node that has just started

    @param[in] self         address of this node
    @param[in] data_centre  its data centre
    @param[in] incarnation  greater than that of an earlier process at the address
    @param[in] seeds        addresses of the first nodes to contact; some may be stale
    @param[in] settings     periods
    @param[in] now          current time
    */
    roster(endpoint self, std::string data_centre, node_incarnation incarnation, std::vector<endpoint> seeds,
           roster_settings settings, time_point now);

    /// replaces the seeds; records of known nodes are kept
    void set_seeds(std::vector<endpoint> seeds);

    /*!
    @brief merges the records of a notice

    @param[in] sender   its sender
    @param[in] notice   the records
    @param[in] now      current time

    @return the reply, if the sender wants one
    */
    [[nodiscard]] std::vector<outgoing_message> on_notice(const endpoint& sender, const roster_notice& notice,
                                                          time_point now);

    /*!
    @brief returns the notices that are due

    @param[in] leaving  whether this node is about to stop
    @param[in] random   chooses the receivers
    @param[in] now      current time
    */
    [[nodiscard]] std::vector<outgoing_message> on_tick(bool leaving, random_source& random, time_point now);

    /// whether this node knows most other nodes: no new one has appeared for a while
    [[nodiscard]] bool has_converged(time_point now) const
    {
        const bool is_new = now - m_started_at < m_settings.m_min_convergence_time;
        return !is_new && (now - m_last_joined >= m_settings.m_convergence_stable_time ||
                           now - m_started_at >= m_settings.m_max_convergence_time);
    }

    /*!
    @brief whether this node's view agrees with that of most others

    True earlier than @ref has_converged: nodes behind a network partition may still be unknown, but the
    reachable nodes choose the same owners.
    */
    [[nodiscard]] bool has_agreed(time_point now) const
    {
        const bool is_calm = now - m_started_at >= m_settings.m_min_agreement_time &&
                             now - m_last_joined >= m_settings.m_agreement_stable_time;
        return has_converged(now) || (!m_nodes.empty() && is_calm);
    }

    /*!
    @brief whether a part of the fleet may exist of which this node knows nothing

    True for a while after a start, unless most of the seeds are known: two parts that don't know each other
    can't both know most of them. Seeds that stay unknown for long are assumed to be stale.
    */
    [[nodiscard]] bool may_be_isolated(time_point now) const;

    /// whether this node knows another node, or has concluded that it is alone
    [[nodiscard]] bool has_joined(time_point now) const;

    /// number of nodes that may be serving, this one included; at least 1
    [[nodiscard]] std::size_t counted_nodes(time_point now) const;

    /*!
    @brief largest number of nodes that were counted at once recently

    For bounds over a time window, to which a node that has left has still contributed.
    */
    [[nodiscard]] std::size_t recent_nodes(time_point now);

    /*!
    @brief lower estimate of the number of nodes in the fleet, this one included

    After a start it also counts nodes for each seed without a record, since a network partition may separate
    this node from them.
    */
    [[nodiscard]] std::size_t expected_nodes(time_point now) const;

    /// the same for the nodes of this node's data centre, of which any seed without a record may be one
    [[nodiscard]] std::size_t expected_local_nodes(time_point now) const;

    /// addresses that may receive notices: the counted nodes and the seeds
    [[nodiscard]] std::vector<endpoint> receivers(time_point now) const;

    /// addresses of the counted nodes, without this one
    [[nodiscard]] std::vector<endpoint> peers(time_point now) const;

    /// state of each node that may be serving, including those that are about to stop
    [[nodiscard]] std::vector<peer_status> peer_statuses(time_point now) const;

    /*!
    @brief addresses and data centres of all nodes of which a record is kept, this one included

    A node that was lost or has left stays until the longest timeout, since others may still hold what it had.
    */
    [[nodiscard]] std::vector<node_location> recent_locations() const;

    /// counted nodes of this node's data centre, or of the other data centres, without this node
    [[nodiscard]] std::vector<endpoint> peers(bool is_local, time_point now) const;

  private:
    struct known_node
    {
        node_record m_record;
        time_point m_updated_at; ///< when a newer record was last received
    };

    [[nodiscard]] bool is_counted(const known_node& node, time_point now) const;
    /// number of nodes that are counted for seeds without a record
    [[nodiscard]] std::size_t assumed_nodes(time_point now) const;
    void update_node_timeout(time_point now);
    [[nodiscard]] std::vector<endpoint> next_receivers(random_source& random, time_point now);
    [[nodiscard]] std::optional<endpoint> next_receiver(std::vector<endpoint>& queue, bool is_local,
                                                        random_source& random, time_point now) const;
    void merge(const node_record& record, time_point now);
    [[nodiscard]] roster_notice make_notice(random_source& random, bool wants_reply, time_point now) const;

    endpoint m_self;
    node_record m_own_record;
    std::vector<endpoint> m_seeds;
    bool m_is_seed{false};                 ///< whether this node is one of the seeds
    std::vector<endpoint> m_missing_seeds; ///< seeds of which no record was received yet
    roster_settings m_settings;
    time_point m_started_at;
    time_point m_next_gossip;
    time_point m_last_joined{}; ///< when a new node last appeared
    std::map<endpoint, known_node> m_nodes;
    // receivers of the next notices in random order; each peer gets one notice before any gets another
    std::vector<endpoint> m_next_local;
    std::vector<endpoint> m_next_remote;
    duration m_current_node_timeout;
    std::size_t m_recent_nodes{0};
    time_point m_recent_nodes_at{};
    random_source m_reply_random;
};

} // namespace teasellead
