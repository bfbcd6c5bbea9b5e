#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "teasellead/fleet/membership.hpp"
#include "teasellead/fleet/messages.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/routing/cold_permits.hpp"
#include "teasellead/routing/quarantine.hpp"
#include "teasellead/routing/upstream_table.hpp"

namespace teasellead
{

/// a request that a peer has forwarded to this node, which issued its request id
struct forwarded_request
{
    endpoint m_sender;
    forward_request m_request;
};

/// receives the reply to a forwarded request
using forward_handler = std::function<void(const forward_reply&)>;

/// the reply to a request that this node forwarded, with its handler
struct forward_outcome
{
    forward_handler m_handler;
    forward_reply m_reply;
};

/*!
@brief exchanges messages about upstreams and requests with the peers: evidence, cold permits, quarantine and
forwarded requests

Not safe for use by several threads. Handlers are returned by @ref take_replies and not called here, so that
the caller can call them without holding a lock.
*/
class peer_exchange
{
  public:
    /*!
    @brief creates an exchange; the referenced objects must outlive it

    @param[in] upstreams         state of the upstreams
    @param[in] crash_quarantine  quarantine of requests that crash upstreams
    @param[in] first_lease       id of the first cold-permit lease; differs for each incarnation of a node
    */
    peer_exchange(upstream_table& upstreams, quarantine& crash_quarantine, std::uint64_t first_lease);

    /*!
    @brief handles a message

    @param[in]     sender    peer that sent it
    @param[in]     content   a message about upstreams or requests; others are ignored
    @param[in]     now       current time
    @param[in,out] outgoing  receives the messages to send in reply
    */
    void on_message(const endpoint& sender, const peer_content& content, time_point now,
                    std::vector<outgoing_message>& outgoing);

    /// adds the messages that are due at @a now to @a outgoing; to be called periodically
    void tick(const std::vector<peer_status>& peers, time_point now, std::vector<outgoing_message>& outgoing);

    /*!
    @brief registers a request that is forwarded to the node that issued its request id

    @param[in] issuing_host  the node that issued the request id
    @param[in] request       the request; its correlation number is set here
    @param[in] on_reply      receives the reply

    @return the message to send
    */
    [[nodiscard]] outgoing_message forward(const endpoint& issuing_host, forward_request request,
                                           forward_handler on_reply);

    /// removes a forwarded request whose reply isn't needed any more; a later reply is dropped
    void cancel_forward(std::uint64_t correlation);

    /// requests that peers have forwarded to this node since the last call
    [[nodiscard]] std::vector<forwarded_request> take_forwarded();

    /// replies to forwarded requests received since the last call
    [[nodiscard]] std::vector<forward_outcome> take_replies();

  private:
    void send_state_to_new_incarnations(const std::vector<peer_status>& peers, time_point now,
                                        std::vector<outgoing_message>& outgoing);
    void broadcast_changes(const std::vector<peer_status>& peers, std::vector<outgoing_message>& outgoing);
    void repeat_evidence(const std::vector<peer_status>& peers, time_point now,
                         std::vector<outgoing_message>& outgoing);
    void on_permit_request(const endpoint& sender, const cold_permit_request& content, time_point now,
                           std::vector<outgoing_message>& outgoing);

    upstream_table* m_upstreams;
    quarantine* m_quarantine;
    cold_permits m_permits;
    /// incarnation of each peer to which all evidence was sent
    std::map<endpoint, node_incarnation> m_informed_incarnations;
    time_point m_next_repeat;
    std::size_t m_repeat_index{0};
    std::uint64_t m_last_correlation{0};
    std::map<std::uint64_t, forward_handler> m_pending_forwards;
    std::vector<forwarded_request> m_forwarded;
    std::vector<forward_outcome> m_replies;
};

} // namespace teasellead
