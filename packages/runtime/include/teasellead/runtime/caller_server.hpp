#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "teasellead/forwarding/route.hpp"
#include "teasellead/runtime/asio.hpp"
#include "teasellead/runtime/connection_eviction.hpp"
#include "teasellead/runtime/http_message.hpp"

namespace teasellead::runtime
{

/// delivers the response of one request; later calls are ignored
using respond_function = std::function<void(http_response)>;

/// called when the caller disconnects before its response was delivered
using disconnect_callback = std::function<void()>;

/*!
@brief handles one complete request

The response may be delivered before the handler returns or later. The returned function is called if the
caller disconnects before the response was delivered.
*/
using http_handler = std::function<disconnect_callback(http_request, respond_function)>;

class caller_session;

/// why a server closes a caller's connection to stay within its limits
enum class eviction_reason
{
    slow_reader, ///< the caller's response occupied the memory for responses for the longest
    slow_sender, ///< the caller's request occupied the memory for requests for the longest
    surplus      ///< there were too many connections
};

/// a connection that a server closed to stay within its limits
struct eviction
{
    eviction_reason m_reason{eviction_reason::surplus};
    connection_load m_load; ///< of the connection when it was closed

    friend bool operator==(const eviction&, const eviction&) = default;
};

/// limits of what the connections of a server hold together
struct caller_connection_limits
{
    const monotonic_clock& m_clock;          ///< must outlive the server
    std::shared_ptr<memory_budget> m_budget; ///< of requests and responses; no limit if null
    std::size_t m_max_connections{std::numeric_limits<std::size_t>::max()};
    std::function<void(const eviction&)> m_on_eviction; ///< may be empty
};

/*!
@brief HTTP server that handles one request at a time on each connection

It keeps reading from a connection while the request is being handled, so that the handler is notified when
the caller disconnects. All functions must be called by the thread that runs the loop.
*/
class caller_server
{
  public:
    /*!
    @brief starts to accept connections

    @param[in] loop     event loop
    @param[in] address  address to listen on
    @param[in] handler  called for each complete request

    @throw transport_error 403 if the address can't be bound
    */
    caller_server(asio::io_context& loop, const endpoint& address, http_handler handler);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// sets the limits for requests that start after this call
    void set_limits(const forwarding::caller_limits& limits);

    /// sets the function that creates the response to a malformed request; without it the body is empty
    void on_reject(std::function<http_response(unsigned status)> make_response)
    {
        m_make_rejection = std::move(make_response);
    }

    /*!
    @brief sets the limits of what connections that are accepted later hold together; without them there are
    none

    A connection over a limit makes the server close another one, or itself; see @ref heaviest_connection and
    @ref most_dispensable_connection.
    */
    void limit_connections(caller_connection_limits limits);

    /// adds `Connection: close` to each response from now on
    void announce_close();

    /// stops accepting connections and closes those on which no request is in progress
    void close_idle();

    /// sends a response to all requests that have none yet; later responses to them are ignored
    void end_requests(const http_response& response);

    /// responds with 503 to requests that were received only in part, and closes their connections
    void refuse_partial_requests();

    /// number of requests that have no response yet
    [[nodiscard]] std::size_t in_flight() const noexcept;

    /// number of open connections
    [[nodiscard]] std::size_t connections() const noexcept;

  private:
    friend class caller_session;

    void accept();
    void admit(tcp::socket socket);
    [[nodiscard]] bool make_room();
    void evict(caller_session& session, eviction_reason reason);
    /// closes connections until the limit of a use is kept or none may be closed
    void relieve(memory_use use);
    /// time of the activities of connections; without limits it stands still
    [[nodiscard]] time_point now() const;
    /// a copy, since a session that ends removes itself from the set
    [[nodiscard]] std::vector<std::shared_ptr<caller_session>> open_sessions() const;

    asio::io_context& m_loop;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_accept_retry_timer;
    http_handler m_handler;
    std::function<http_response(unsigned)> m_make_rejection;
    forwarding::caller_limits m_limits;
    std::optional<caller_connection_limits> m_connection_limits;
    bool m_is_closing{false};
    std::size_t m_in_flight{0};
    std::set<std::shared_ptr<caller_session>> m_sessions;
    /// lets handlers of the acceptor detect that the server was destroyed
    std::shared_ptr<int> m_alive{std::make_shared<int>(0)};
};

} // namespace teasellead::runtime
