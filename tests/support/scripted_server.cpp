#include "scripted_server.hpp"

#include <algorithm>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace test_support
{

namespace
{

const std::string end_of_head = "\r\n\r\n";

} // namespace

class scripted_server::session : public std::enable_shared_from_this<session>
{
  public:
    session(runtime::tcp::socket socket, scripted_server& server)
        : m_socket(std::move(socket)), m_server(&server)
    {
    }

    void read()
    {
        runtime::asio::async_read_until(
            m_socket, runtime::asio::dynamic_buffer(m_input), end_of_head,
            [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes)
            { self->on_head(error, bytes); });
    }

    /// closes the connection; the server may be destroyed afterwards
    void close()
    {
        m_server = nullptr;
        boost::system::error_code ignored; // the socket isn't used any more
        m_socket.close(ignored);
    }

  private:
    void on_head(const boost::system::error_code& error, std::size_t bytes)
    {
        if (m_server == nullptr)
        {
            return;
        }
        if (error)
        {
            end();
            return;
        }
        const std::string head = m_input.substr(0, bytes);
        m_input.erase(0, bytes);
        ++m_requests;
        ++m_server->m_requests;
        m_server->m_most_on_a_connection = std::max(m_server->m_most_on_a_connection, m_requests);
        m_answer = m_server->m_respond(head);
        runtime::asio::async_write(m_socket, runtime::asio::buffer(m_answer.m_bytes),
                                   [self = shared_from_this()](const boost::system::error_code&, std::size_t)
                                   { self->on_written(); });
    }

    void on_written()
    {
        if (m_server == nullptr)
        {
            return;
        }
        if (m_answer.m_closes)
        {
            end();
            return;
        }
        read();
    }

    void end()
    {
        scripted_server& server = *m_server;
        close();
        server.m_sessions.erase(this);
    }

    runtime::tcp::socket m_socket;
    scripted_server* m_server;
    std::string m_input;
    scripted_answer m_answer;
    std::size_t m_requests{0};
};

scripted_server::scripted_server(runtime::loop_thread& thread, const teasellead::endpoint& address,
                                 responder respond)
    : m_thread(thread), m_respond(std::move(respond))
{
    m_thread.run(
        [&]
        {
            m_acceptor =
                std::make_unique<runtime::tcp::acceptor>(m_thread.loop(), runtime::to_tcp(address), true);
            accept();
        });
}

scripted_server::~scripted_server()
{
    m_thread.run(
        [this]
        {
            m_acceptor.reset();
            for (const auto& [key, each] : m_sessions)
            {
                each->close();
            }
            m_sessions.clear();
        });
}

void scripted_server::accept()
{
    m_acceptor->async_accept(
        [this, alive = std::weak_ptr<int>{m_alive}](const boost::system::error_code& error,
                                                    runtime::tcp::socket socket)
        {
            // this handler may run after the server was destroyed
            if (error || alive.expired())
            {
                return;
            }
            const auto added = std::make_shared<session>(std::move(socket), *this);
            m_sessions.emplace(added.get(), added);
            added->read();
            accept();
        });
}

std::size_t scripted_server::requests() const
{
    std::size_t result = 0;
    m_thread.run([&] { result = m_requests; });
    return result;
}

std::size_t scripted_server::most_requests_on_a_connection() const
{
    std::size_t result = 0;
    m_thread.run([&] { result = m_most_on_a_connection; });
    return result;
}

} // namespace test_support
