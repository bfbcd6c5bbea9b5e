#include "teasellead/runtime/peer_messenger.hpp"

#include <algorithm>
#include <chrono>

namespace teasellead::runtime
{

namespace
{

// number of peers to which connections are opened before there is a message for them
constexpr std::size_t max_preconnected = 128;
constexpr std::size_t preconnects_per_call = 8;

} // namespace

peer_messenger::peer_messenger(asio::io_context& loop, std::unique_ptr<peer_link> link,
                               std::function<std::vector<outgoing_message>(const peer_message&)> handle,
                               std::function<void()> on_received)
    : m_link(std::move(link)), m_handle(std::move(handle)), m_on_received(std::move(on_received)),
      m_readable(loop, m_link->descriptor())
{
    wait();
}

peer_messenger::~peer_messenger()
{
    // the link owns the descriptor and closes it
    m_readable.release();
}

void peer_messenger::wait()
{
    m_readable.async_wait(asio::posix::stream_descriptor::wait_read,
                          [this](const boost::system::error_code& error)
                          {
                              if (!error)
                              {
                                  receive();
                                  wait();
                              }
                          });
}

void peer_messenger::receive()
{
    const auto messages = m_link->receive(std::chrono::milliseconds{0});
    for (const peer_message& message : messages)
    {
        send(m_handle(message));
    }
    if (!messages.empty())
    {
        m_on_received();
    }
}

void peer_messenger::send(const std::vector<outgoing_message>& messages)
{
    for (const outgoing_message& message : messages)
    {
        m_link->send(message);
    }
}

void peer_messenger::prepare(std::vector<endpoint> peers)
{
    peers.resize(std::min(peers.size(), max_preconnected));
    m_link->prepare(peers, preconnects_per_call);
}

void peer_messenger::retain(const std::vector<endpoint>& receivers)
{
    m_link->retain(receivers);
}

} // namespace teasellead::runtime
