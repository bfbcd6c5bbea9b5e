#include "teasellead/runtime/caller_server.hpp"

#include <fcntl.h>

#include "caller_session.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead::runtime
{

namespace
{

constexpr int bind_failed_id = 403;
constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

caller_server::caller_server(asio::io_context& loop, const endpoint& address, http_handler handler)
    : m_loop(loop), m_acceptor(loop), m_accept_retry_timer(loop), m_handler(std::move(handler))
{
    try
    {
        m_acceptor.open(tcp::v4());
        // a child process must not inherit the descriptor, which would keep the address in use
        ::fcntl(m_acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
        m_acceptor.set_option(tcp::acceptor::reuse_address{true});
        m_acceptor.bind(to_tcp(address));
        m_acceptor.listen();
    }
    catch (const boost::system::system_error& error)
    {
        throw transport_error(bind_failed_id, "address " + address.to_string() + ": " + error.what());
    }
    accept();
}

caller_server::~caller_server()
{
    for (const auto& session : open_sessions())
    {
        session->close();
    }
}

void caller_server::accept()
{
    m_acceptor.async_accept(
        [this, alive = std::weak_ptr<int>{m_alive}](const boost::system::error_code& error,
                                                    tcp::socket socket)
        {
            // this handler may run after the server was destroyed, with a connection accepted just before
            if (alive.expired() || error == asio::error::operation_aborted || !m_acceptor.is_open())
            {
                return;
            }
            if (!error)
            {
                const auto session = std::make_shared<caller_session>(std::move(socket), *this);
                m_sessions.insert(session);
                session->start();
                accept();
                return;
            }
            // the process may have run out of file descriptors; try again when some may have been closed
            m_accept_retry_timer.expires_after(accept_retry_delay);
            m_accept_retry_timer.async_wait(
                [this](const boost::system::error_code& cancelled)
                {
                    if (!cancelled)
                    {
                        accept();
                    }
                });
        });
}

void caller_server::set_limits(const forwarding::caller_limits& limits)
{
    m_limits = limits;
}

void caller_server::announce_close()
{
    m_is_closing = true;
}

void caller_server::close_idle()
{
    boost::system::error_code ignored; // the acceptor may already be closed
    m_acceptor.close(ignored);
    for (const auto& session : open_sessions())
    {
        session->close_if_idle();
    }
}

void caller_server::end_requests(const http_response& response)
{
    for (const auto& session : open_sessions())
    {
        session->respond(response);
    }
}

void caller_server::refuse_partial_requests()
{
    for (const auto& session : open_sessions())
    {
        session->refuse_partial_request();
    }
}

std::vector<std::shared_ptr<caller_session>> caller_server::open_sessions() const
{
    return {m_sessions.begin(), m_sessions.end()};
}

std::size_t caller_server::in_flight() const noexcept
{
    return m_in_flight;
}

std::size_t caller_server::connections() const noexcept
{
    return m_sessions.size();
}

} // namespace teasellead::runtime
