#include "caller_session.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <chrono>
#include <iterator>

#include "feed_parser.hpp"
#include "message_head.hpp"

namespace teasellead::runtime
{

namespace
{

namespace http = boost::beast::http;

using std::chrono::milliseconds;

constexpr std::size_t read_size = 4096;
// limit for the bytes of pipelined requests that are buffered while a request is handled
constexpr std::size_t max_read_ahead = 64 * 1024;
constexpr milliseconds linger_time{1000};
constexpr milliseconds write_timeout{10'000};
// added to the announced idle timeout, so that callers stop using a connection before it is closed
constexpr milliseconds idle_close_delay{1000};

constexpr unsigned bad_request = 400;
constexpr unsigned request_timeout = 408;
constexpr unsigned content_too_large = 413;
constexpr unsigned fields_too_large = 431;

std::shared_ptr<memory_budget> budget_of(const std::optional<caller_connection_limits>& limits)
{
    return limits ? limits->m_budget : nullptr;
}

unsigned status_of(const boost::system::error_code& error)
{
    if (error == http::error::header_limit)
    {
        return fields_too_large;
    }
    return error == http::error::body_limit ? content_too_large : bad_request;
}

} // namespace

caller_session::caller_session(tcp::socket socket, caller_server& server)
    : m_socket(std::move(socket)), m_server(&server), m_timer(server.m_loop), m_phase_began(server.now()),
      m_input_charge(budget_of(server.m_connection_limits), memory_use::request),
      m_output_charge(budget_of(server.m_connection_limits), memory_use::response)
{
}

void caller_session::start()
{
    boost::system::error_code ignored; // without the option, small writes are only delayed
    m_socket.set_option(tcp::no_delay{true}, ignored);
    begin_request();
}

connection_load caller_session::load() const
{
    const duration since = m_server->now() - m_phase_began;
    const std::size_t bytes = m_input_charge.bytes() + m_output_charge.bytes();
    switch (m_phase)
    {
    case phase::idle:
        return {connection_activity::idle, bytes, since};
    case phase::reading:
        return {connection_activity::receiving, bytes, since};
    case phase::handling:
        return {connection_activity::handling, bytes, since};
    case phase::responding:
        return {connection_activity::sending, bytes, since};
    default:
        return {connection_activity::lingering, bytes, since};
    }
}

void caller_session::charge_input()
{
    // a body in chunks may occupy more than its bytes
    const bool grows = m_parser && m_parser->is_header_done() && m_parser->chunked();
    const std::size_t body = grows ? m_parser->get().body().capacity() : 0;
    m_input_charge.set(m_buffer.capacity() + std::max(m_request_bytes, body));
}

void caller_session::begin_request()
{
    enter(phase::idle);
    m_request_bytes = 0;
    charge_input();
    m_keeps_alive = true;
    m_has_checked_expect = false;
    m_parser.emplace();
    m_parser->header_limit(m_server->m_limits.m_max_header_bytes);
    m_parser->body_limit(m_server->m_limits.m_max_body_bytes);
    arm(m_server->m_limits.m_idle_timeout + idle_close_delay);
    if (m_buffer.size() > 0)
    {
        parse();
        return;
    }
    read();
}

void caller_session::read()
{
    const bool is_ahead = m_phase == phase::handling || m_phase == phase::responding;
    if (m_is_reading || m_phase == phase::closed || m_buffer.size() >= max_read_ahead ||
        (is_ahead && m_input_charge.is_exceeded()))
    {
        return;
    }
    m_is_reading = true;
    m_socket.async_read_some(m_buffer.prepare(read_size),
                             [self = shared_from_this()](const boost::system::error_code& error,
                                                         std::size_t bytes) { self->on_read(error, bytes); });
}

void caller_session::on_read(const boost::system::error_code& error, std::size_t bytes)
{
    m_is_reading = false;
    if (m_phase == phase::closed)
    {
        return;
    }
    if (error)
    {
        on_end_of_stream();
        return;
    }
    m_buffer.commit(bytes);
    switch (m_phase)
    {
    case phase::idle:
    case phase::reading:
        m_request_bytes += bytes;
        parse();
        return;
    case phase::lingering:
        m_buffer.clear();
        read();
        return;
    default:
        charge_input();
        read();
        return;
    }
}

void caller_session::on_end_of_stream()
{
    const disconnect_callback on_disconnect = std::move(m_on_disconnect);
    m_on_disconnect = nullptr;
    close();
    if (on_disconnect)
    {
        on_disconnect();
    }
}

void caller_session::parse()
{
    if (m_phase == phase::idle)
    {
        enter(phase::reading);
        arm(m_server->m_limits.m_header_timeout);
    }
    if (const boost::system::error_code error =
            feed_parser(*m_parser, m_buffer, m_server->m_limits.m_max_body_bytes))
    {
        reject(status_of(error));
        return;
    }
    charge_input();
    if (m_parser->is_done())
    {
        on_request();
        return;
    }
    m_server->relieve(memory_use::request);
    if (m_phase != phase::reading)
    {
        return; // this connection was chosen
    }
    send_continue_if_expected();
    read();
}

void caller_session::send_continue_if_expected()
{
    if (m_has_checked_expect || !m_parser->is_header_done())
    {
        return;
    }
    m_has_checked_expect = true;
    const auto expectation = m_parser->get()[http::field::expect];
    if (!same_field_name({expectation.data(), expectation.size()}, "100-continue"))
    {
        return;
    }
    m_output = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this()](const boost::system::error_code& error, std::size_t)
                      {
                          if (error)
                          {
                              self->on_end_of_stream();
                          }
                      });
}

void caller_session::on_request()
{
    auto message = m_parser->release();
    m_keeps_alive = message.keep_alive();
    http_request request;
    request.m_method = std::string{message.method_string()};
    request.m_target = std::string{message.target()};
    request.m_fields = copy_fields(message);
    request.m_has_body = message.chunked() || message.count(http::field::content_length) > 0;
    request.m_body = std::move(message.body());
    m_is_head_request = message.method() == http::verb::head;
    enter(phase::handling);
    m_timer.cancel();
    ++m_server->m_in_flight;
    const std::uint64_t number = ++m_request_number;
    disconnect_callback on_disconnect =
        m_server->m_handler(std::move(request),
                            [self = shared_from_this(), number](http_response response)
                            {
                                if (self->m_request_number == number)
                                {
                                    self->respond(std::move(response));
                                }
                            });
    if (m_phase == phase::handling && m_request_number == number)
    {
        m_on_disconnect = std::move(on_disconnect);
        // the read fails or ends when the caller disconnects
        read();
    }
}

void caller_session::respond(http_response response)
{
    if (m_phase != phase::handling)
    {
        return;
    }
    --m_server->m_in_flight;
    m_on_disconnect = nullptr;
    const bool is_final = !m_keeps_alive || m_server->m_is_closing;
    write(std::move(response), is_final);
}

void caller_session::reject(unsigned status, std::vector<header_field> fields)
{
    m_keeps_alive = false;
    m_is_head_request = false;
    m_parser.reset();
    m_request_bytes = 0;
    const auto& make_rejection = m_server->m_make_rejection;
    http_response response = make_rejection ? make_rejection(status) : http_response{status, {}, {}};
    std::move(fields.begin(), fields.end(), std::back_inserter(response.m_fields));
    write(std::move(response), true);
}

void caller_session::write(http_response response, bool is_final)
{
    enter(phase::responding);
    m_keeps_alive = !is_final;
    m_request_bytes = 0;
    charge_input();
    m_output = response_head(response, m_server->m_limits.m_idle_timeout, is_final);
    if (!m_is_head_request)
    {
        m_output_body = std::move(response.m_body);
    }
    m_output_charge.set(m_output.capacity() + m_output_body.capacity());
    arm(write_timeout);
    const std::array buffers{asio::const_buffer{asio::buffer(m_output)},
                             asio::const_buffer{asio::buffer(m_output_body)}};
    asio::async_write(m_socket, buffers,
                      [self = shared_from_this()](const boost::system::error_code& error, std::size_t)
                      { self->on_written(error); });
    m_server->relieve(memory_use::response);
}

void caller_session::on_written(const boost::system::error_code& error)
{
    if (m_phase != phase::responding)
    {
        return;
    }
    if (error)
    {
        close();
        return;
    }
    m_output_body = std::string{};
    m_output_charge.set(0);
    if (m_keeps_alive)
    {
        begin_request();
        return;
    }
    linger();
}

void caller_session::linger()
{
    // closing a socket with unread input sends a reset, which could discard the response before it is read
    enter(phase::lingering);
    boost::system::error_code ignored; // the caller may already have closed the connection
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_buffer.clear();
    arm(linger_time);
    read();
}

void caller_session::close_if_idle()
{
    if (m_phase == phase::idle)
    {
        linger();
    }
}

void caller_session::refuse_partial_request(http_response refused)
{
    if (m_phase == phase::reading)
    {
        reject(refused.m_status, std::move(refused.m_fields));
    }
}

void caller_session::close()
{
    if (m_phase == phase::closed)
    {
        return;
    }
    if (m_phase == phase::handling)
    {
        --m_server->m_in_flight;
    }
    enter(phase::closed);
    m_input_charge.set(0);
    m_output_charge.set(0);
    ++m_request_number;
    m_timer.cancel();
    boost::system::error_code ignored; // the socket isn't used any more
    m_socket.close(ignored);
    m_server->m_sessions.erase(shared_from_this());
}

void caller_session::arm(milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error)
        {
            if (!error)
            {
                self->on_timer();
            }
        });
}

void caller_session::on_timer()
{
    switch (m_phase)
    {
    case phase::idle:
        linger();
        return;
    case phase::reading:
        reject(request_timeout);
        return;
    case phase::responding:
    case phase::lingering:
        close();
        return;
    case phase::handling:
    case phase::closed:
        return;
    }
}

} // namespace teasellead::runtime
