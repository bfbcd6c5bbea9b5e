#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "teasellead/fleet/messages.hpp"

namespace teasellead
{

/// transport for messages between a node and its peers
class peer_link
{
  public:
    peer_link() = default;
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    virtual ~peer_link() = default;

    /*!
    @brief sends a message; it may be lost, delayed or duplicated

    @param[in] message  the message and its receiver
    */
    virtual void send(const outgoing_message& message) = 0;

    /*!
    @brief waits for messages

    @param[in] timeout  longest time to wait

    @return messages that have arrived; empty after a timeout or a call of @ref wake
    */
    [[nodiscard]] virtual std::vector<peer_message> receive(std::chrono::milliseconds timeout) = 0;

    /*!
    @brief opens connections in advance, since the first message on a new connection is lost

    @param[in] peers  hosts that this node may send to
    @param[in] most   largest number of connections that this call opens
    */
    virtual void prepare(const std::vector<endpoint>& peers, std::size_t most) = 0;

    /*!
    @brief closes all connections except those to the given peers

    @param[in] peers  hosts that this node still sends to
    */
    virtual void retain(const std::vector<endpoint>& peers) = 0;

    /*!
    @brief descriptor that becomes readable when messages may have arrived, for event loops

    Edge-triggered: after it becomes readable, and after each call of @ref receive, messages may be left, so
    call @ref receive until it returns none.
    */
    [[nodiscard]] virtual int descriptor() = 0;

    /// ends a running @ref receive early; may be called from any thread
    virtual void wake() = 0;

    /// number of messages and connections dropped because they were malformed, too large or not authentic
    [[nodiscard]] virtual std::uint64_t dropped() const = 0;

    /// number of messages that weren't sent because their receiver wasn't connected
    [[nodiscard]] virtual std::uint64_t unsent() const = 0;
};

/// key pair by which the nodes of a fleet authenticate each other; each key is 40 characters of Z85
struct fleet_key
{
    std::string m_public;
    std::string m_secret;

    friend bool operator==(const fleet_key&, const fleet_key&) = default;
};

/// generates a key pair
[[nodiscard]] fleet_key make_fleet_key();

/*!
@brief a peer link over ZeroMQ, encrypted and authenticated by CURVE

@param[in] self         address to listen on
@param[in] incarnation  incarnation of this node
@param[in] key          key pair of the fleet; empty keys disable encryption and authentication, for tests on
one machine

@return the link; all functions except `wake` must be called by the same thread

@throw transport_error 401 if the address can't be bound, 402 if the key isn't a pair
*/
[[nodiscard]] std::unique_ptr<peer_link>
make_zmq_peer_link(const endpoint& self, node_incarnation incarnation, const fleet_key& key);

} // namespace teasellead
