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
#include "teasellead/runtime/receive_budget.hpp"

namespace teasellead::runtime
{

/// a whole response that was received
struct received_response
{
    http_response m_response;
    std::string m_connection; ///< value of its connection field
};

/// why an exchange gave no response
enum class exchange_failure
{
    not_connected, ///< no connection; nothing was sent
    not_sent,      ///< the connection ended before a byte of the request left
    lost,          ///< the connection ended without a response
    malformed      ///< what came is no whole response, a larger one than allowed, or too many
};

/// name of a failure in logs
[[nodiscard]] std::string_view to_string(exchange_failure failure) noexcept;

/// end of one exchange
using exchange_result = std::variant<received_response, exchange_failure>;

/// largest body of a response in bytes, unless an exchange says otherwise
inline constexpr std::uint64_t default_max_response_body = 16 * 1024 * 1024;

/// one request on a connection
struct exchange
{
    std::string m_bytes;                                 ///< the request as it is sent
    bool m_is_head{false};                               ///< whether the response has no body
    std::uint64_t m_max_body{default_max_response_body}; ///< in bytes; a larger response is malformed
    /// asked just before the first byte leaves; nothing allows it always
    std::function<bool()> m_may_send;
    /// whether a response belongs to this request; one that doesn't is skipped
    std::function<bool(const http_response&)> m_is_own;
    std::function<void(exchange_result)> m_on_end;
};

/*!
@brief a kept connection to an HTTP server with one request at a time

Bytes that nobody asked for, a response that doesn't end cleanly and a request whose response came before it
was sent whole end the connection. All functions must be called by the thread that runs the loop.
*/
class client_connection : public std::enable_shared_from_this<client_connection>
{
  public:
    /*!
    @brief creates a closed connection

    @param[in] loop             event loop
    @param[in] clock            time of @ref usable_until
    @param[in] address          server
    @param[in] connect_timeout  longest time to connect
    @param[in] budget           bounds what this and other connections receive at once; none if empty
    */
    client_connection(asio::io_context& loop, const monotonic_clock& clock, const endpoint& address,
                      std::chrono::milliseconds connect_timeout,
                      std::shared_ptr<receive_budget> budget = nullptr);
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// called once when the connection is closed, for whatever reason
    void on_closed(std::function<void()> callback)
    {
        m_on_closed = std::move(callback);
    }

    /*!
    @brief sends a request, after connecting if need be

    @pre no exchange is running
    */
    void start(exchange next);

    /// ends the connection; a running exchange ends without a call of its function
    void close();

    /// whether it is open and no exchange is running
    [[nodiscard]] bool is_idle() const noexcept
    {
        return m_state == state::idle;
    }

    [[nodiscard]] bool is_closed() const noexcept
    {
        return m_state == state::closed;
    }

    /// whether the server has sent or closed something that the loop hasn't taken note of yet
    [[nodiscard]] bool has_unread_input();

    /// time by which the server wants an idle connection to be used or closed
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
    void on_connected(const boost::system::error_code& error);
    void send();
    void on_sent(const boost::system::error_code& error);
    void read();
    void on_read(const boost::system::error_code& error, std::size_t bytes);
    void begin_response();
    [[nodiscard]] bool charge();
    void release_charge() noexcept;
    void parse();
    void on_response();
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
    std::shared_ptr<receive_budget> m_budget;
    std::size_t m_charged{0}; ///< bytes of the unfinished response
    int m_skipped{0};         ///< responses to the running request that weren't its final one
    bool m_is_reading{false};
    bool m_is_sending{false};
    bool m_has_sent{false}; ///< whether bytes of the running request may have left
    time_point m_usable_until{time_point::max()};
    std::function<void()> m_on_closed;
};

} // namespace teasellead::runtime
