#include "teasellead/runtime/client_connection.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <cerrno>
#include <charconv>
#include <sys/socket.h>
#include <utility>

#include "feed_parser.hpp"
#include "message_head.hpp"
#include "response_check.hpp"

namespace teasellead::runtime
{

namespace
{

namespace http = boost::beast::http;

constexpr std::size_t read_size = 4096;
constexpr std::uint32_t max_response_header = 32 * 1024;
// limit for the interim responses and responses to earlier requests that are skipped in one exchange
constexpr int max_skipped = 16;
// fraction of the server's idle timeout for which an idle connection is used
constexpr double usable_fraction = 0.7;

std::optional<std::chrono::milliseconds> idle_timeout_of(std::string_view keep_alive)
{
    constexpr std::string_view parameter = "timeout=";
    const auto begin = keep_alive.find(parameter);
    if (begin == std::string_view::npos)
    {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const std::string_view digits = keep_alive.substr(begin + parameter.size());
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc{})
    {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
}

} // namespace

std::string_view to_string(exchange_failure failure) noexcept
{
    switch (failure)
    {
    case exchange_failure::not_connected:
        return "not_connected";
    case exchange_failure::not_sent:
        return "not_sent";
    case exchange_failure::lost:
        return "lost";
    case exchange_failure::malformed:
        return "malformed";
    }
    return "unknown";
}

client_connection::client_connection(asio::io_context& loop, const monotonic_clock& clock,
                                     const endpoint& address, std::chrono::milliseconds connect_timeout,
                                     std::shared_ptr<memory_budget> budget)
    : m_clock(clock), m_socket(loop), m_address(address), m_connect_timeout(connect_timeout), m_timer(loop),
      m_charge(std::move(budget), memory_use::reply)
{
}

client_connection::~client_connection() = default;

void client_connection::start(exchange next)
{
    m_exchange = std::move(next);
    m_has_sent = false;
    m_skipped = 0;
    if (m_state == state::unconnected)
    {
        connect();
        return;
    }
    send();
}

void client_connection::connect()
{
    m_state = state::connecting;
    m_timer.expires_after(m_connect_timeout);
    m_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error)
        {
            if (!error && self->m_state == state::connecting)
            {
                self->fail(exchange_failure::lost);
            }
        });
    m_socket.async_connect(to_tcp(m_address),
                           [self = shared_from_this()](const boost::system::error_code& error)
                           { self->on_connected(error); });
    note_hand_over();
}

void client_connection::note_hand_over() const
{
    if (m_exchange->m_on_handed_over)
    {
        m_exchange->m_on_handed_over();
    }
}

void client_connection::on_connected(const boost::system::error_code& error)
{
    if (m_state != state::connecting)
    {
        return;
    }
    m_timer.cancel();
    if (error)
    {
        fail(exchange_failure::lost);
        return;
    }
    boost::system::error_code ignored; // without the option, small writes are only delayed
    m_socket.set_option(tcp::no_delay{true}, ignored);
    send();
}

void client_connection::send()
{
    if (m_exchange->m_may_send && !m_exchange->m_may_send())
    {
        m_state = state::idle;
        read();
        end(exchange_failure::not_sent);
        return;
    }
    m_state = state::busy;
    m_is_sending = true;
    m_has_sent = true;
    ++m_sent_requests;
    begin_response();
    asio::async_write(m_socket, asio::buffer(m_exchange->m_bytes),
                      [self = shared_from_this()](const boost::system::error_code& error, std::size_t)
                      { self->on_sent(error); });
    note_hand_over();
    read();
}

void client_connection::on_sent(const boost::system::error_code& error)
{
    m_is_sending = false;
    if (error && m_state == state::busy)
    {
        on_error(error);
        fail(exchange_failure::lost);
    }
}

void client_connection::read()
{
    if (m_is_reading || m_state == state::closed)
    {
        return;
    }
    m_is_reading = true;
    m_socket.async_read_some(m_buffer.prepare(read_size),
                             [self = shared_from_this()](const boost::system::error_code& error,
                                                         std::size_t bytes) { self->on_read(error, bytes); });
}

void client_connection::on_read(const boost::system::error_code& error, std::size_t bytes)
{
    m_is_reading = false;
    if (m_state == state::closed)
    {
        return;
    }
    if (error)
    {
        on_error(error);
        on_end_of_stream(error == asio::error::eof);
        return;
    }
    m_has_received = true;
    if (m_state != state::busy)
    {
        // the server sent bytes although no request is running
        close();
        return;
    }
    m_buffer.commit(bytes);
    parse();
}

void client_connection::begin_response()
{
    m_parser.emplace();
    m_parser->header_limit(max_response_header);
    m_parser->body_limit(m_exchange->m_max_body);
    m_parser->skip(m_exchange->m_is_head);
}

void client_connection::parse()
{
    const auto is_acceptable = [this](std::string_view parsed)
    {
        const bool is_valid = !m_parser->is_header_done() || (is_valid_status(m_parser->get().result_int()) &&
                                                              are_valid_fields(m_parser->get().base()));
        return is_valid && !has_folded_line(parsed);
    };
    if (feed_parser(*m_parser, m_buffer, m_exchange->m_max_body, is_acceptable) || !charge())
    {
        fail(exchange_failure::malformed);
        return;
    }
    if (m_parser->is_done())
    {
        on_response();
        return;
    }
    read();
}

bool client_connection::charge()
{
    m_charge.set(m_buffer.capacity() + m_parser->get().body().capacity());
    return !m_charge.is_exceeded();
}

response_match client_connection::match(const http_response& response) const
{
    const response_match found = m_exchange->m_match ? m_exchange->m_match(response) : response_match::own;
    const bool is_only_request = m_sent_requests == 1;
    return found == response_match::unidentified && is_only_request ? response_match::own : found;
}

void client_connection::on_response()
{
    constexpr unsigned first_final_status = 200;
    auto message = m_parser->release();
    http_response response;
    response.m_status = message.result_int();
    response.m_fields = copy_fields(message);
    response.m_body = std::move(message.body());
    const bool is_interim = response.m_status < first_final_status;
    const response_match found = is_interim ? response_match::other : match(response);
    if (found == response_match::unidentified)
    {
        fail(exchange_failure::malformed);
        return;
    }
    if (found == response_match::other)
    {
        if (++m_skipped > max_skipped)
        {
            fail(exchange_failure::malformed);
            return;
        }
        begin_response();
        parse();
        return;
    }
    const bool is_reusable =
        message.keep_alive() && !message.need_eof() && !m_is_sending && m_buffer.size() == 0;
    if (const auto keep_alive = find_field(response.m_fields, "keep-alive"))
    {
        if (const auto timeout = idle_timeout_of(*keep_alive))
        {
            m_usable_until = m_clock.now() + std::chrono::duration_cast<duration>(*timeout * usable_fraction);
        }
    }
    std::string connection{find_field(response.m_fields, "connection").value_or("")};
    received_response received{std::move(response), std::move(connection)};
    m_charge.set(0);
    if (is_reusable)
    {
        m_state = state::idle;
        read();
    }
    end(std::move(received));
    if (!is_reusable)
    {
        close();
    }
}

void client_connection::on_error(const boost::system::error_code& error)
{
    const bool is_reset = error == asio::error::connection_reset || error == asio::error::broken_pipe;
    const bool is_first_use = m_state == state::busy && m_sent_requests == 1 && !m_has_received;
    m_was_reset_on_first_use = m_was_reset_on_first_use || (is_reset && is_first_use);
}

void client_connection::on_end_of_stream(bool is_clean)
{
    if (m_state != state::busy || !is_clean || !m_parser->is_header_done())
    {
        fail(exchange_failure::lost);
        return;
    }
    boost::system::error_code error;
    m_parser->put_eof(error);
    if (error || !m_parser->is_done())
    {
        // the server may have ended in the middle of its response
        fail(exchange_failure::lost);
        return;
    }
    on_response();
}

void client_connection::fail(exchange_failure failure_after_sending)
{
    const exchange_failure failure = m_state == state::connecting
                                         ? exchange_failure::not_connected
                                         : (m_has_sent ? failure_after_sending : exchange_failure::not_sent);
    std::optional<exchange> ended;
    std::swap(ended, m_exchange);
    close();
    if (ended)
    {
        ended->m_on_end(failure);
    }
}

bool client_connection::has_unread_input()
{
    char first = 0;
    const ssize_t received = ::recv(m_socket.native_handle(), &first, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void client_connection::end(exchange_result result)
{
    std::optional<exchange> ended;
    std::swap(ended, m_exchange);
    if (ended)
    {
        ended->m_on_end(std::move(result));
    }
}

void client_connection::close()
{
    if (m_state == state::closed)
    {
        return;
    }
    m_state = state::closed;
    m_charge.set(0);
    m_exchange.reset();
    m_timer.cancel();
    boost::system::error_code ignored; // the socket isn't used any more
    m_socket.close(ignored);
    const std::function<void()> callback = std::move(m_on_closed);
    if (callback)
    {
        callback();
    }
}

} // namespace teasellead::runtime
