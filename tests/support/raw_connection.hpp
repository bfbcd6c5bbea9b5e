#pragma once

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "teasellead/runtime/asio.hpp"

namespace test_support
{

/// a TCP connection that sends bytes without interpreting them
class raw_connection
{
  public:
    explicit raw_connection(const teasellead::endpoint& server) : m_socket(m_loop)
    {
        m_socket.connect(teasellead::runtime::to_tcp(server));
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code ignored; // the server may have closed already
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /// reads all bytes until the server closes the connection
    std::string read_all()
    {
        std::string received;
        boost::system::error_code end;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(received), end);
        return received;
    }

    void close()
    {
        m_socket.close();
    }

  private:
    teasellead::runtime::asio::io_context m_loop;
    teasellead::runtime::tcp::socket m_socket;
};

} // namespace test_support
