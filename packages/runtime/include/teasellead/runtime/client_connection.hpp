#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/runtime/asio.hpp"
#include "teasellead/runtime/http_message.hpp"
#include "teasellead/runtime/memory_budget.hpp"

namespace teasellead::runtime
{

/// a complete response
struct received_response
{
    http_response m_response;
    std::string m_connection; ///< value of the Connection header field
};

/// why an exchange ended without a response
enum class exchange_failure
{
    not_connected, ///< the connection couldn't be established; nothing was sent
    not_sent,      ///< no byte of the request was sent
    lost,          ///< the connection failed, or was closed before the end of the response
    malformed      ///< the response is invalid or too large, too many responses were skipped, or one
                   ///< may be a late response to an earlier request
};

/// name of a failure as used in logs
[[nodiscard]] std::string_view to_string(exchange_failure failure) noexcept;

/// whether a response belongs to a request
enum class response_match
{
    own,         ///< it names this request
    other,       ///< it names another request
    unidentified ///< it names no request
};

/// outcome of one exchange
using exchange_result = std::variant<received_response, exchange_failure>;

/// default limit for the body of a response in bytes
inline constexpr std::uint64_t default_max_response_body = 16 * 1024 * 1024;

/// one request on a connection, with the callbacks that handle its response
struct exchange
{
    std::string m_bytes;                                 ///< the serialised request
    bool m_is_head{false};                               ///< whether it is a HEAD request: no response body
    std::uint64_t m_max_body{default_max_response_body}; ///< in bytes; a larger response is malformed
    /// called just before the request is sent and may prevent it; if empty, the request is always sent
    std::function<bool()> m_may_send;
    /// called when a connection for the request is begun, and when the request is sent; may be empty
    std::function<void()> m_on_handed_over;
    /// whether a response belongs to this request; if empty, every response does
    std::function<response_match(const http_response&)> m_match;
    /// called once with the outcome, but not after @ref client_connection::close
    std::function<void(exchange_result)> m_on_end;
};

/*!
@brief persistent connection to an HTTP server that carries one request at a time

Responses to other requests are skipped. One that names no request belongs to the only request that was sent
so far; if there were earlier ones, it may be a second response to one of them, and the exchange fails.

The connection is closed if bytes arrive that belong to no response, if only the end of the connection marks
the end of a response, if the server asks for it, or if a response arrives before the request was sent
completely. All functions must be called by the thread that runs the loop.
*/
class client_connection : public std::enable_shared_from_this<client_connection>
{
  public:
    /*!
    @brief creates an object that connects when the first request is started

    @param[in] loop             event loop
    @param[in] clock            clock of @ref usable_until
    @param[in] address          address of the server
    @param[in] connect_timeout  longest time to connect
    @param[in] budget           limits the bytes of replies, those of unfinished ones on all connections that
                                share it among them; no limit if null
    */
    client_connection(asio::io_context& loop, const monotonic_clock& clock, const endpoint& address,
                      std::chrono::milliseconds connect_timeout,
                      std::shared_ptr<memory_budget> budget = nullptr);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// sets a callback that is called once when the connection is closed, for any reason
    void on_closed(std::function<void()> callback)
    {
        m_on_closed = std::move(callback);
    }

    /*!
    @brief sends a request; the first call also connects

    @pre the connection isn't closed and no exchange is running
    */
    void start(exchange next);

    /// closes the connection; the callback of a running exchange isn't called
    void close();

    /// whether the connection is open and no exchange is running
    [[nodiscard]] bool is_idle() const noexcept
    {
        return m_state == state::idle;
    }

    [[nodiscard]] bool is_closed() const noexcept
    {
        return m_state == state::closed;
    }

    /// whether the server reset the connection before any byte of its response to the first request
    [[nodiscard]] bool was_reset_on_first_use() const noexcept
    {
        return m_was_reset_on_first_use;
    }

    /// whether received bytes, the end of the stream or a socket error haven't been processed by the loop yet
    [[nodiscard]] bool has_unread_input();

    /// time until which an idle connection may be used: a fraction of the server's Keep-Alive timeout, if any
    [[nodiscard]] time_point usable_until() const noexcept
    {
        return m_usable_until;
    }

  private:
    enum class state
    {
        unconnected,
        connecting,
        idle,
        busy,
        closed
    };

    using parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void note_hand_over() const;
    void on_connected(const boost::system::error_code& error);
    void send();
    void on_sent(const boost::system::error_code& error);
    void read();
    void on_read(const boost::system::error_code& error, std::size_t bytes);
    void begin_response();
    [[nodiscard]] bool charge();
    void parse();
    [[nodiscard]] response_match match(const http_response& response) const;
    void on_response();
    void on_error(const boost::system::error_code& error);
    void on_end_of_stream(bool is_clean);
    void fail(exchange_failure failure_after_sending);
    void end(exchange_result result);

    const monotonic_clock& m_clock;
    tcp::socket m_socket;
    endpoint m_address;
    std::chrono::milliseconds m_connect_timeout;
    asio::steady_timer m_timer;
    state m_state{state::unconnected};
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    std::optional<exchange> m_exchange;
    memory_charge m_charge; ///< for the unfinished response
    int m_skipped{0};       ///< interim responses, and responses to other requests, in the running exchange
    bool m_is_reading{false};
    bool m_is_sending{false};
    bool m_has_received{false}; ///< whether the server has sent anything
    bool m_was_reset_on_first_use{false};
    std::uint64_t m_sent_requests{0};
    bool m_has_sent{false}; ///< whether bytes of the running request may have been sent
    time_point m_usable_until{time_point::max()};
    std::function<void()> m_on_closed;
};

} // namespace teasellead::runtime
