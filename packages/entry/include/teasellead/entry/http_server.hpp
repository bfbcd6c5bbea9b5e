#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/runtime/http_message.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace teasellead
{

/// sends the response to a request; to be called at most once, from any thread
using http_responder = std::function<void(runtime::http_response)>;

/*!
@brief an HTTP server on one address

Its connections are served by an event loop. Safe for use by several threads.
*/
class http_server
{
  public:
    /// handles a request; called on the loop's thread, so it must not block
    using handler = std::function<void(const runtime::http_request&, http_responder)>;

    /*!
    @brief starts a server

    @param[in] loop      loop that serves the connections; must outlive the server
    @param[in] listen    address to listen on
    @param[in] max_body  largest body of a request in bytes; larger ones get status 413
    @param[in] handle    handles requests; an exception becomes status 500

    @throw transport_error 403 if the address can't be bound
    */
    http_server(runtime::loop_thread& loop, const endpoint& listen, std::size_t max_body, handler handle);

    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// closes the server with all its connections; later responses are dropped
    ~http_server();

    /// closes each connection after its next response, and announces that in the response
    void announce_close();

    /// refuses new connections and closes idle ones; requests in flight are finished
    void stop_listening();

    /// responds to all requests that have no response yet that they may have run, and to those that were
    /// received only in part that they haven't run
    void end_requests();

    /// number of open connections, including those on which a response is being sent
    [[nodiscard]] std::size_t connections() const;

    /// number of requests whose response hasn't been sent
    [[nodiscard]] std::size_t in_flight() const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace teasellead
