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

    /// sends a refusal if a request was received only in part, and closes the connection
    void refuse_partial_request(http_response refused);

    /// what the connection holds
    [[nodiscard]] connection_load load() const;

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

    void enter(phase next)
    {
        m_phase = next;
        m_phase_began = m_server->now();
    }

    void charge_input();
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

    tcp::socket m_socket;
    caller_server* m_server;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    phase m_phase{phase::idle};
    time_point m_phase_began;
    std::size_t m_request_bytes{0}; ///< received bytes of the current request, until it has a response
    memory_charge m_input_charge;
    memory_charge m_output_charge;
    bool m_is_reading{false};
    bool m_keeps_alive{true};
    bool m_is_head_request{false};
    bool m_has_checked_expect{false};
    std::uint64_t m_request_number{0};
    disconnect_callback m_on_disconnect;
    std::string m_output; ///< what is being written: an interim response, or the head of a response
    std::string m_output_body;
};

} // namespace teasellead::runtime
