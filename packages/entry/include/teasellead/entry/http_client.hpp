#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/runtime/http_message.hpp"

namespace teasellead
{

/*!
@brief a blocking HTTP client with one persistent connection

Used for reading the platform, by `teaselleadctl` and by tests; sub-requests are sent by @ref upstream_client.
Not safe for use by several threads, except for @ref cancel and @ref rearm.
*/
class http_client
{
  public:
    /*!
    @brief creates a client

    @param[in] server  address of the server
    */
    explicit http_client(const endpoint& server);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    ~http_client();

    /*!
    @brief makes a request

    A GET request is sent a second time, on a new connection, if it fails on a reused one.

    @param[in] method   HTTP method
    @param[in] target   path with query
    @param[in] fields   header fields to send
    @param[in] body     body to send
    @param[in] timeout  time for the whole call

    @return the response, or nothing if the call failed, timed out or was cancelled
    */
    [[nodiscard]] std::optional<runtime::http_response> call(const std::string& method,
                                                             const std::string& target,
                                                             const std::vector<runtime::header_field>& fields,
                                                             const std::string& body,
                                                             std::chrono::milliseconds timeout);

    /// makes a GET request without additional header fields; see @ref call
    [[nodiscard]] std::optional<runtime::http_response> get(const std::string& target,
                                                            std::chrono::milliseconds timeout);

    /// ends the running call and all later ones early, without a response; may be called from any thread
    void cancel();

    /// allows calls again after @ref cancel
    void rearm() noexcept;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace teasellead
