#pragma once

#include <string>
#include <vector>

#include "teasellead/runtime/asio.hpp"

namespace test_support
{

/*!
@brief many connections of callers that send bytes and read little or nothing

A connection that the server has closed is opened again. The receive buffers are small, so that unread bytes
stay with the server.
*/
class slow_crowd
{
  public:
    /*!
    @param[in] server  address of the server
    @param[in] size    number of callers
    @param[in] bytes   what each of them sends
    @param[in] joins   number of connections that are opened in one round
    */
    slow_crowd(const teasellead::endpoint& server, std::size_t size, std::string bytes, std::size_t joins)
        : m_server(server), m_bytes(std::move(bytes)), m_members(size), m_joins(joins)
    {
    }

    /// sends as much as the server takes, and reads at most so many bytes on each connection
    void advance(std::size_t max_read)
    {
        std::size_t joined = 0;
        for (member& each : m_members)
        {
            if (!each.m_socket && joined < m_joins)
            {
                open(each);
                ++joined;
            }
            if (each.m_socket)
            {
                advance(each, max_read);
            }
        }
    }

  private:
    using tcp = teasellead::runtime::tcp;

    struct member
    {
        std::unique_ptr<tcp::socket> m_socket;
        std::size_t m_sent{0};
    };

    void open(member& each)
    {
        constexpr int receive_buffer = 4096;
        each.m_sent = 0;
        each.m_socket = std::make_unique<tcp::socket>(m_loop, tcp::v4());
        each.m_socket->set_option(tcp::socket::receive_buffer_size{receive_buffer});
        boost::system::error_code refused; // the next round tries again
        each.m_socket->connect(teasellead::runtime::to_tcp(m_server), refused);
        each.m_socket->non_blocking(true);
    }

    void advance(member& each, std::size_t max_read)
    {
        boost::system::error_code error;
        while (!error && each.m_sent < m_bytes.size())
        {
            each.m_sent += each.m_socket->write_some(
                boost::asio::buffer(m_bytes.data() + each.m_sent, m_bytes.size() - each.m_sent), error);
        }
        if (max_read > 0 && (!error || error == boost::asio::error::would_block))
        {
            std::string received(max_read, '\0');
            (void)each.m_socket->read_some(boost::asio::buffer(received), error);
        }
        if (error && error != boost::asio::error::would_block)
        {
            each.m_socket.reset();
        }
    }

    teasellead::endpoint m_server;
    std::string m_bytes;
    teasellead::runtime::asio::io_context m_loop{1};
    std::vector<member> m_members;
    std::size_t m_joins;
};

} // namespace test_support
