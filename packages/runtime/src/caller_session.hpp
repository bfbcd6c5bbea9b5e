#pragma once

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "teasellead/runtime/caller_server.hpp"

namespace teasellead::runtime
{

/// one connection of a caller
class caller_session : public std::enable_shared_from_this<caller_session>
{
  public:
    caller_session(tcp::socket socket, caller_server& server);

    /// reads the first request
    void start();

    /// closes the connection if no request is in progress
    void close_if_idle();

    /// sends the response if a request has none yet
    void respond(http_response response);

    /// responds with 503 if a request was received only in part
    void refuse_partial_request();

    /// closes the connection immediately, also during a request
    void close();

  private:
    enum class phase
    {
        idle,       ///< no byte of the next request has arrived
        reading,    ///< a request was received in part
        handling,   ///< a complete request was passed to the handler and has no response yet
        responding, ///< a response is being written
        lingering,  ///< the sending side is shut down; input is discarded until the caller closes
        closed
    };

    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void begin_request();
    void read();
    void on_read(const boost::system::error_code& error, std::size_t bytes);
    void on_end_of_stream();
    void parse();
    void on_request();
    void send_continue_if_expected();
    void reject(unsigned status, std::vector<header_field> fields = {});
    void write(http_response response, bool is_final);
    void on_written(const boost::system::error_code& error);
    void linger();
    void arm(std::chrono::milliseconds delay);
    void on_timer();
    [[nodiscard]] std::string head_of(const http_response& response, bool is_final) const;

    tcp::socket m_socket;
    caller_server* m_server;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    phase m_phase{phase::idle};
    bool m_is_reading{false};
    bool m_keeps_alive{true};
    bool m_is_head_request{false};
    bool m_has_checked_expect{false};
    std::uint64_t m_request_number{0};
    disconnect_callback m_on_disconnect;
    std::string m_output;
};

} // namespace teasellead::runtime
