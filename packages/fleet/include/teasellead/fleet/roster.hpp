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
    duration m_joining_period{std::chrono::milliseconds{100}}; ///< the same just after a start
    std::size_t m_fanout{2}; ///< peers that receive each notice, in turn inside and outside the data centre
    std::size_t m_least_records{24};                        ///< records of a notice; half of the nodes,
    std::size_t m_most_records{160};                        ///< within these bounds
    duration m_silence{std::chrono::seconds{8}};            ///< after which one silent node is forgotten
    duration m_partition_silence{std::chrono::seconds{30}}; ///< the same if most others are silent too
    duration m_join_time{std::chrono::milliseconds{1500}};  ///< after which a node without answers is alone
    duration m_settling_time{
        std::chrono::milliseconds{1500}};          ///< after a start, others may be unknown so long
    duration m_calm_time{std::chrono::seconds{1}}; ///< without a new node, after which most are known
    duration m_longest_settling_time{std::chrono::seconds{6}};
    duration m_agreement_time{std::chrono::milliseconds{500}}; ///< after a start, views differ for so long
    duration m_agreement_calm{std::chrono::milliseconds{400}}; ///< without a new node, after which they agree
    std::size_t m_least_nodes_at_start{10};                    ///< nodes that are assumed meanwhile

    friend bool operator==(const roster_settings&, const roster_settings&) = default;
};

/*!
@brief which nodes there are, by gossip that begins at a few seeds

There is no list of nodes and none has a special role. Each node tells a few peers what it has heard of the
nodes lately, the newest first. Limits that are divided by the number of nodes stay safe because a node that
falls silent is counted until it can't serve any more, and for longer when so many are silent that this node
itself may be cut off. A state machine without I/O. Not safe for use by several threads.
*/
class roster
{
  public:
    /*!
    @brief creates the view of a node that has just started

    @param[in] self         address of this node
    @param[in] data_centre  its data centre
    @param[in] incarnation  greater than that of an earlier process at the address
    @param[in] seeds        addresses to begin with; some may be stale
    @param[in] settings     periods
    @param[in] now          current time
    */
    roster(endpoint self, std::string data_centre, node_incarnation incarnation, std::vector<endpoint> seeds,
           roster_settings settings, time_point now);

    /// replaces the addresses to begin with; nodes that are known stay known
    void set_seeds(std::vector<endpoint> seeds);

    /*!
    @brief takes a notice

    @param[in] sender   its sender
    @param[in] notice   the records
    @param[in] now      current time

    @return the answer, if the sender wants one
    */
    [[nodiscard]] std::vector<outgoing_message> on_notice(const endpoint& sender, const roster_notice& notice,
                                                          time_point now);

    /*!
    @brief notices that are due

    @param[in] leaving  whether it stops
    @param[in] random   chooses the receivers
    @param[in] now      current time
    */
    [[nodiscard]] std::vector<outgoing_message> on_tick(bool leaving, random_source& random, time_point now);

    /// whether this node knows most others: it has heard of no new one for a while
    [[nodiscard]] bool has_settled(time_point now) const
    {
        const bool is_new = now - m_started_at < m_settings.m_settling_time;
        return !is_new && (now - m_last_joined >= m_settings.m_calm_time ||
                           now - m_started_at >= m_settings.m_longest_settling_time);
    }

    /*!
    @brief whether this node's view agrees with that of most others

    Sooner than @ref has_settled: others that are cut off may still be unknown, but those that can be reached
    choose the same owners.
    */
    [[nodiscard]] bool has_agreed(time_point now) const
    {
        const bool is_calm = now - m_started_at >= m_settings.m_agreement_time &&
                             now - m_last_joined >= m_settings.m_agreement_calm;
        return has_settled(now) || (!m_nodes.empty() && is_calm);
    }

    /// whether this node has heard from another, or is alone
    [[nodiscard]] bool has_joined(time_point now) const;

    /// number of nodes that may be serving, this one among them; at least 1
    [[nodiscard]] std::size_t counted_nodes(time_point now) const;

    /*!
    @brief the greatest number of nodes that were counted at once lately

    For bounds over time, in which a node that has left still weighs.
    */
    [[nodiscard]] std::size_t recent_nodes(time_point now);

    /*!
    @brief the least number of nodes that there may be, this one among them

    A node that has just started may be cut off from the seeds that it hasn't heard of.
    */
    [[nodiscard]] std::size_t expected_nodes(time_point now) const;

    /// addresses to which notices may go: the counted nodes and the seeds
    [[nodiscard]] std::vector<endpoint> receivers(time_point now) const;

    /// addresses of the counted nodes, without this one
    [[nodiscard]] std::vector<endpoint> peers(time_point now) const;

    /// nodes that may be serving, also those that are about to stop, with what is known of each
    [[nodiscard]] std::vector<peer_status> peer_statuses(time_point now) const;

    /// those of @ref peers that are in this node's data centre, or those that aren't
    [[nodiscard]] std::vector<endpoint> peers(bool is_local, time_point now) const;

  private:
    struct known_node
    {
        node_record m_record;
        time_point m_heard_at; ///< when its record last grew
    };

    [[nodiscard]] bool is_counted(const known_node& node, time_point now) const;
    void update_silence(time_point now);
    [[nodiscard]] std::vector<endpoint> next_receivers(random_source& random, time_point now);
    [[nodiscard]] std::optional<endpoint> next_receiver(std::vector<endpoint>& queue, bool is_local,
                                                        random_source& random, time_point now) const;
    void take(const node_record& record, time_point now);
    [[nodiscard]] roster_notice make_notice(random_source& random, bool wants_reply, time_point now) const;

    endpoint m_self;
    node_record m_own;
    std::vector<endpoint> m_seeds;
    std::vector<endpoint> m_unheard_seeds; ///< of which no record has come yet
    roster_settings m_settings;
    time_point m_started_at;
    time_point m_next_gossip;
    time_point m_last_joined{}; ///< when a new node was last heard of
    std::map<endpoint, known_node> m_nodes;
    // in random order; each peer is told once before any is again
    std::vector<endpoint> m_next_local;
    std::vector<endpoint> m_next_remote;
    duration m_counted_silence;
    std::size_t m_recent_nodes{0};
    time_point m_recent_at{};
    random_source m_reply_random;
};

} // namespace teasellead
