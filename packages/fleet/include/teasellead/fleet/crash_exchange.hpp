#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "teasellead/fleet/messages.hpp"
#include "teasellead/fleet/peer_status.hpp"
#include "teasellead/forwarding/crash_guard.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead
{

/*!
@brief exchanges records of requests that may crash upstreams between nodes

Each request fingerprint has a coordinator, the node with the highest rendezvous hash score for it. All losses
are reported to it, and it notifies all nodes when a request becomes isolated, refused or clear. When the
coordinator fails, the node with the next score continues with its own copy of the record. The coordinator of
a service, chosen in the same way, grants the trials of isolated requests to that service, one at a time. In
addition, each node sends records to a random other node every second, and requests the records of a few nodes
when it starts, so that they reach nodes that missed a notice. A state machine without I/O. Not safe for use
by several threads.
*/
class crash_exchange
{
  public:
    /*!
    @brief creates an exchange without other nodes

    @param[in] self   address of this node
    @param[in] guard  crash records of this node; must outlive this object
    */
    crash_exchange(endpoint self, forwarding::crash_guard& guard) noexcept : m_self(self), m_guard(guard)
    {
    }

    /// sets the other nodes; a node that is about to stop isn't a coordinator
    void on_members(const std::vector<peer_status>& others, bool is_leaving);

    void on_message(const endpoint& sender, const crash_notice& content, time_point now);
    void on_message(const endpoint& sender, const trial_request& content, time_point now);
    void on_message(const endpoint& sender, const trial_reply& content, time_point now);

    /// sends changed records, and records that other nodes may have missed
    void on_tick(random_source& random, time_point now);

    /// requests the trials that requests wait for; must be called after the state of requests has changed
    void on_requests(time_point now);

    /// returns the messages to send, queued since the last call
    [[nodiscard]] std::vector<outgoing_message> take_messages();

  private:
    /// a granted trial that hasn't ended
    struct trial_lease
    {
        endpoint m_holder;
        std::uint64_t m_call{0};
        time_point m_until;
    };

    void update_coordinators(const std::vector<endpoint>& candidates);
    [[nodiscard]] bool is_eligible(const endpoint& node) const;
    /// the node with the highest score for a name among one node and others
    [[nodiscard]] endpoint best_coordinator(const std::string& name, const endpoint& first,
                                            const std::vector<endpoint>& others) const;
    [[nodiscard]] endpoint choose_coordinator(const std::string& name) const;
    [[nodiscard]] endpoint coordinator_of_record(const std::string& fingerprint);
    [[nodiscard]] trial_reply decide_trial(const endpoint& requester, const trial_request& wanted,
                                           time_point now);
    void end_lease(const endpoint& holder, const trial_request& ended);
    /// requests a trial from its coordinator, or reports its end
    void send_trial_request(const forwarding::requested_trial& trial, bool is_over, time_point now);
    void notify_coordinators();
    void notify_all();
    void gossip_records(random_source& random, time_point now);
    void request_records(time_point now);
    void send_records(const endpoint& receiver, const std::vector<forwarding::crash_record>& records);

    endpoint m_self;
    forwarding::crash_guard& m_guard;
    std::vector<endpoint> m_responsive; ///< other nodes that are responsive and aren't leaving, sorted
    std::unordered_map<std::string, endpoint> m_coordinators; ///< by fingerprint of a record
    bool m_is_leaving{false};
    std::unordered_map<std::string, trial_lease> m_leases; ///< by service
    std::vector<outgoing_message> m_messages;
    time_point m_last_gossip{};
    time_point m_last_record_request{};
    std::size_t m_record_requests{0};
    bool m_has_received_notice{false}; ///< whether a notice of another node was received since the start
};

} // namespace teasellead
