#include "teasellead/runtime/caller_server.hpp"

#include <algorithm>
#include <fcntl.h>
#include <iterator>

#include "caller_session.hpp"
#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/runtime/refusals.hpp"

namespace teasellead::runtime
{

namespace
{

constexpr int bind_failed_id = 403;
constexpr std::chrono::milliseconds accept_retry_delay{50};

std::vector<connection_load> loads_of(const std::vector<std::shared_ptr<caller_session>>& sessions)
{
    std::vector<connection_load> result;
    result.reserve(sessions.size());
    std::transform(sessions.begin(), sessions.end(), std::back_inserter(result),
                   [](const std::shared_ptr<caller_session>& each) { return each->load(); });
    return result;
}

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
                admit(std::move(socket));
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

void caller_server::admit(tcp::socket socket)
{
    if (!make_room())
    {
        return; // the socket's destructor closes the connection, of which nothing was read
    }
    const auto session = std::make_shared<caller_session>(std::move(socket), *this);
    m_sessions.insert(session);
    session->start();
}

bool caller_server::make_room()
{
    while (m_connection_limits && m_sessions.size() >= m_connection_limits->m_max_connections)
    {
        const auto sessions = open_sessions();
        const std::optional<std::size_t> chosen = most_dispensable_connection(loads_of(sessions));
        if (!chosen)
        {
            return false;
        }
        evict(*sessions[*chosen], eviction_reason::surplus);
    }
    return true;
}

void caller_server::relieve(memory_use use)
{
    if (!m_connection_limits || !m_connection_limits->m_budget)
    {
        return;
    }
    const auto reason =
        use == memory_use::response ? eviction_reason::slow_reader : eviction_reason::slow_sender;
    while (m_connection_limits->m_budget->is_exceeded(use))
    {
        const auto sessions = open_sessions();
        const std::optional<std::size_t> chosen = heaviest_connection(loads_of(sessions), use);
        if (!chosen)
        {
            return;
        }
        evict(*sessions[*chosen], reason);
    }
}

void caller_server::evict(caller_session& session, eviction_reason reason)
{
    const eviction evicted{reason, session.load()};
    if (reason == eviction_reason::slow_sender)
    {
        session.refuse_partial_request(memory_refusal());
    }
    else
    {
        session.close();
    }
    if (m_connection_limits->m_on_eviction)
    {
        m_connection_limits->m_on_eviction(evicted);
    }
}

time_point caller_server::now() const
{
    return m_connection_limits ? m_connection_limits->m_clock.now() : time_point{};
}

void caller_server::limit_connections(caller_connection_limits limits)
{
    m_connection_limits.emplace(std::move(limits));
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
        session->refuse_partial_request(stopping_refusal());
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
