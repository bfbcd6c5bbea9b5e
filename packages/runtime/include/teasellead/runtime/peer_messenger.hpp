#pragma once

#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>

#include "teasellead/fleet/peer_link.hpp"
#include "teasellead/runtime/asio.hpp"

namespace teasellead::runtime
{

/*!
@brief connects a peer link to the event loop

Passes each received message to a handler and sends the messages that the handler returns.

All functions must be called by the thread that runs the loop.
*/
class peer_messenger
{
  public:
    /*!
    @brief starts to wait for messages

    @param[in] loop        event loop
    @param[in] link        link to the peers
    @param[in] handle      called with each received message; returns the messages to send
    @param[in] on_received called after one or more messages were handled
    */
    peer_messenger(asio::io_context& loop, std::unique_ptr<peer_link> link,
                   std::function<std::vector<outgoing_message>(const peer_message&)> handle,
                   std::function<void()> on_received);
    ~peer_messenger();
    peer_messenger(const peer_messenger&) = delete;
    peer_messenger& operator=(const peer_messenger&) = delete;

    /// handles all messages that have arrived
    void receive();

    /// sends messages
    void send(const std::vector<outgoing_message>& messages);

    /// opens connections to some of the peers before there is a message for them
    void prepare(std::vector<endpoint> peers);

    /// closes the connections to all addresses that aren't listed
    void retain(const std::vector<endpoint>& receivers);

  private:
    void wait();

    std::unique_ptr<peer_link> m_link;
    std::function<std::vector<outgoing_message>(const peer_message&)> m_handle;
    std::function<void()> m_on_received;
    asio::posix::stream_descriptor m_readable;
};

} // namespace teasellead::runtime
