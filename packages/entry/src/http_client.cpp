#include "teasellead/entry/http_client.hpp"

#include <atomic>
#include <boost/asio/post.hpp>
#include <variant>

#include "detail/request_text.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/runtime/client_connection.hpp"

namespace teasellead
{

namespace
{

constexpr std::uint64_t max_reply_bytes = 2'000'000;
constexpr std::chrono::milliseconds connect_timeout{5'000};

} // namespace

class http_client::implementation
{
  public:
    explicit implementation(const endpoint& server) : m_server(server)
    {
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ~implementation()
    {
        if (m_connection)
        {
            m_connection->close();
        }
    }

    std::optional<runtime::http_response> call(const std::string& method, const std::string& target,
                                               const std::vector<runtime::header_field>& fields,
                                               const std::string& body, std::chrono::milliseconds timeout)
    {
        const time_point until = m_clock.now() + timeout;
        const std::string text = detail::request_text(method, target, m_server, fields, body);
        const bool was_reused = ensure_connection();
        auto response = exchange(text, until);
        if (!response && was_reused && method == "GET" && m_clock.now() < until)
        {
            (void)ensure_connection();
            response = exchange(text, until);
        }
        return response;
    }

    void cancel()
    {
        m_cancelled = true;
        runtime::asio::post(m_loop, [] {});
    }

    void rearm() noexcept
    {
        m_cancelled = false;
    }

  private:
    /// reuses the connection of an earlier call or makes a new one; returns whether it is reused
    bool ensure_connection()
    {
        m_loop.restart();
        m_loop.poll();
        const bool is_reusable = m_connection && m_connection->is_idle() &&
                                 m_clock.now() < m_connection->usable_until() &&
                                 !m_connection->has_unread_input();
        if (is_reusable)
        {
            return true;
        }
        if (m_connection)
        {
            m_connection->close();
        }
        m_connection =
            std::make_shared<runtime::client_connection>(m_loop, m_clock, m_server, connect_timeout);
        return false;
    }

    std::optional<runtime::http_response> exchange(const std::string& text, time_point until)
    {
        std::optional<runtime::exchange_result> ended;
        runtime::exchange next;
        next.m_bytes = text;
        next.m_max_body = max_reply_bytes;
        next.m_on_end = [&ended](runtime::exchange_result result)
        {
            ended = std::move(result);
        };
        m_connection->start(std::move(next));
        m_loop.restart();
        while (!ended && !m_cancelled && m_loop.run_one_until(until) > 0)
        {
        }
        if (!ended)
        {
            // m_on_end refers to a local variable and must not be called later
            m_connection->close();
            return std::nullopt;
        }
        auto* const received = std::get_if<runtime::received_response>(&*ended);
        return received == nullptr ? std::nullopt : std::optional{std::move(received->m_response)};
    }

    endpoint m_server;
    system_monotonic_clock m_clock;
    runtime::asio::io_context m_loop{1};
    std::shared_ptr<runtime::client_connection> m_connection;
    std::atomic<bool> m_cancelled{false};
};

http_client::http_client(const endpoint& server) : m_implementation(std::make_unique<implementation>(server))
{
}

http_client::~http_client() = default;

std::optional<runtime::http_response> http_client::call(const std::string& method, const std::string& target,
                                                        const std::vector<runtime::header_field>& fields,
                                                        const std::string& body,
                                                        std::chrono::milliseconds timeout)
{
    return m_implementation->call(method, target, fields, body, timeout);
}

std::optional<runtime::http_response> http_client::get(const std::string& target,
                                                       std::chrono::milliseconds timeout)
{
    return call("GET", target, {}, {}, timeout);
}

void http_client::cancel()
{
    m_implementation->cancel();
}

void http_client::rearm() noexcept
{
    m_implementation->rearm();
}

} // namespace teasellead
