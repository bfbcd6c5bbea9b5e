#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "raw_listener.hpp"
#include "teasellead/entry/upstream_client.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using test_support::listen_on_loopback;

constexpr std::uint16_t port = 9398;
constexpr std::uint32_t loopback = 0x7F000001;

constexpr std::string_view valid_reply =
    "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nX-Teasellead-Request-Id: q\r\n"
    "X-Teasellead-Service: s\r\nX-Teasellead-Shard: a\r\n"
    "X-Teasellead-Shard-Map: 1\r\nX-Teasellead-Snapshot: 1\r\n"
    "X-Teasellead-Incarnation: 1\r\nX-Teasellead-Covered-Keys: 1\r\n\r\n"
    "{\"results\":[]}";

/// when the test server closes its connection
enum class closing
{
    after_reply,
    after_next_request
};

/// replies to the first request that it receives and closes the connection at the given time after it
class closing_server
{
  public:
    explicit closing_server(std::string reply = std::string{valid_reply},
                            closing when = closing::after_next_request)
        : m_reply(std::move(reply)), m_when(when), m_listener(listen_on_loopback(port)),
          m_thread([this] { run(); })
    {
    }

    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;

    ~closing_server()
    {
        m_stopping = true;
        m_thread.join();
        ::close(m_listener);
    }

    [[nodiscard]] int requests() const noexcept
    {
        return m_requests;
    }

  private:
    void run()
    {
        while (!m_stopping)
        {
            const int socket = ::accept(m_listener, nullptr, nullptr);
            if (socket >= 0)
            {
                serve(socket);
                ::close(socket);
            }
        }
    }

    void serve(int socket)
    {
        while (receive(socket))
        {
            ++m_requests;
            if (m_requests != 1)
            {
                return;
            }
            (void)::send(socket, m_reply.data(), m_reply.size(), MSG_NOSIGNAL);
            if (m_when == closing::after_reply)
            {
                return;
            }
        }
    }

    static bool receive(int socket)
    {
        const timeval wait{2, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
        char buffer[4096];
        return ::recv(socket, buffer, sizeof(buffer), 0) > 0;
    }

    const std::string m_reply;
    const closing m_when;
    int m_listener;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_requests{0};
    std::thread m_thread;
};

/// replies to each request of each connection; replies can be held back
class holding_server
{
  public:
    holding_server() : m_listener(listen_on_loopback(port)), m_thread([this] { run(); })
    {
    }

    holding_server(const holding_server&) = delete;
    holding_server& operator=(const holding_server&) = delete;

    ~holding_server()
    {
        m_stopping = true;
        m_thread.join();
        ::close(m_listener);
    }

    /// starts to hold replies back, or sends the held replies and all further ones
    void hold(bool is_holding) noexcept
    {
        m_is_holding = is_holding;
    }

    [[nodiscard]] int connections() const noexcept
    {
        return m_connections;
    }

    [[nodiscard]] int requests() const noexcept
    {
        return m_requests;
    }

  private:
    void run()
    {
        std::vector<int> open;
        while (!m_stopping)
        {
            if (const int accepted = ::accept(m_listener, nullptr, nullptr); accepted >= 0)
            {
                ++m_connections;
                open.push_back(accepted);
            }
            for (const int socket : open)
            {
                receive(socket);
            }
            if (!m_is_holding)
            {
                reply();
            }
        }
        for (const int socket : open)
        {
            ::close(socket);
        }
    }

    void receive(int socket)
    {
        char buffer[4096];
        if (::recv(socket, buffer, sizeof(buffer), MSG_DONTWAIT) <= 0)
        {
            return;
        }
        ++m_requests;
        m_unanswered.push_back(socket);
    }

    void reply()
    {
        for (const int socket : m_unanswered)
        {
            (void)::send(socket, valid_reply.data(), valid_reply.size(), MSG_NOSIGNAL);
        }
        m_unanswered.clear();
    }

    int m_listener;
    std::vector<int> m_unanswered; ///< accessed by the server thread only
    std::atomic<bool> m_is_holding{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_connections{0};
    std::atomic<int> m_requests{0};
    std::thread m_thread;
};

class upstream_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_client_test);
    CPPUNIT_TEST(never_sends_a_request_again_by_itself);
    CPPUNIT_TEST(sends_nothing_after_the_send_deadline);
    CPPUNIT_TEST(cancelled_transfer_keeps_the_only_connection);
    CPPUNIT_TEST(keeps_the_connection_limit);
    CPPUNIT_TEST(reports_how_an_exchange_failed);
    CPPUNIT_TEST(ends_at_the_deadline);
    CPPUNIT_TEST_SUITE_END();

  public:
    void never_sends_a_request_again_by_itself()
    {
        const closing_server server;
        const auto first = run(far_ahead());
        CPPUNIT_ASSERT(std::holds_alternative<upstream_reply>(first));
        const auto second = run(far_ahead());
        CPPUNIT_ASSERT(second == outcome{attempt_failure::lost});
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
    }

    void sends_nothing_after_the_send_deadline()
    {
        const closing_server server;
        const auto not_sent = run(m_clock.now());
        CPPUNIT_ASSERT(not_sent == outcome{attempt_failure::not_connected});
        CPPUNIT_ASSERT_EQUAL(0, server.requests());
    }

    void cancelled_transfer_keeps_the_only_connection()
    {
        holding_server server;
        CPPUNIT_ASSERT(std::holds_alternative<upstream_reply>(run(far_ahead())));
        server.hold(true);
        const transfer_id cancelled =
            m_client.send(request_until(far_ahead()), std::make_shared<completion_queue>());
        wait_for_requests(server, 2);
        m_client.cancel(cancelled);
        // returns after the cancellation has been processed
        m_loop.run([] {});
        server.hold(false);
        // the only connection isn't free until the reply to the cancelled request has arrived
        m_limit = 1;
        outcome next = attempt_failure::no_free_connection;
        while (next == outcome{attempt_failure::no_free_connection})
        {
            next = run(far_ahead());
        }
        CPPUNIT_ASSERT(std::holds_alternative<upstream_reply>(next));
        CPPUNIT_ASSERT_EQUAL(1, server.connections());
        CPPUNIT_ASSERT_EQUAL(0, m_disconnections.load());
    }

    void keeps_the_connection_limit()
    {
        struct row
        {
            std::string m_name;
            std::uint32_t m_limit;
            bool m_expects_connection;
            outcome m_expected;
        };
        const std::vector<row> rows{
            {"no connection allowed", 0, false, attempt_failure::no_free_connection},
            {"none open, but one expected", 10, true, attempt_failure::not_connected},
        };
        for (const row& each : rows)
        {
            const holding_server server;
            m_limit = each.m_limit;
            sub_request request = request_until(far_ahead());
            request.m_expects_connection = each.m_expects_connection;
            CPPUNIT_ASSERT_MESSAGE(each.m_name, run(request) == each.m_expected);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_name, 0, server.requests());
        }
        const holding_server server;
        m_limit = 1;
        sub_request again = request_until(far_ahead());
        CPPUNIT_ASSERT(std::holds_alternative<upstream_reply>(run(again)));
        again.m_expects_connection = true;
        CPPUNIT_ASSERT(std::holds_alternative<upstream_reply>(run(again)));
        CPPUNIT_ASSERT_EQUAL(1, server.connections());
    }

    void reports_how_an_exchange_failed()
    {
        struct row
        {
            std::string m_reply;
            attempt_failure m_expected;
        };
        const std::vector<row> rows{
            {"", attempt_failure::lost},
            {"no HTTP at all\r\n\r\n", attempt_failure::invalid_reply},
            {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody", attempt_failure::lost},
            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", attempt_failure::invalid_reply},
            {"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n", attempt_failure::invalid_reply},
            {"HTTP/1.1 503 No\r\nX-Teasellead-Not-Run: shed\r\nContent-Length: 0\r\n\r\n",
             attempt_failure::shed},
            {"HTTP/1.1 503 No\r\nX-Teasellead-Not-Run: draining\r\nContent-Length: 0\r\n\r\n",
             attempt_failure::draining},
            {"HTTP/1.1 409 No\r\nX-Teasellead-Not-Run: wrong_snapshot\r\nContent-Length: 0\r\n\r\n",
             attempt_failure::wrong_snapshot},
            {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", attempt_failure::invalid_reply},
        };
        for (const row& each : rows)
        {
            const closing_server server{each.m_reply, closing::after_reply};
            CPPUNIT_ASSERT_MESSAGE(each.m_reply, run(request_until(far_ahead())) == outcome{each.m_expected});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_reply, 1, server.requests());
        }
    }

    void ends_at_the_deadline()
    {
        holding_server server;
        server.hold(true);
        sub_request request = request_until(far_ahead());
        request.m_deadline = m_clock.now() + 50ms;
        CPPUNIT_ASSERT(run(request) == outcome{attempt_failure::timed_out});
        request.m_deadline = m_clock.now();
        CPPUNIT_ASSERT(run(request) == outcome{attempt_failure::not_connected});
        wait_for_requests(server, 1);
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
    }

  private:
    using outcome = std::variant<upstream_reply, attempt_failure>;

    static void wait_for_requests(const holding_server& server, int count)
    {
        while (server.requests() < count)
        {
            std::this_thread::yield();
        }
    }

    [[nodiscard]] time_point far_ahead() const
    {
        return m_clock.now() + 10s;
    }

    [[nodiscard]] sub_request request_until(time_point send_by) const
    {
        sub_request request;
        request.m_upstream = endpoint{loopback, port};
        request.m_request_id = "q";
        request.m_body = "{}";
        request.m_send_deadline = send_by;
        request.m_deadline = far_ahead();
        return request;
    }

    outcome run(time_point send_by)
    {
        return run(request_until(send_by));
    }

    outcome run(const sub_request& request)
    {
        const auto completions = std::make_shared<completion_queue>();
        (void)m_client.send(request, completions);
        const auto ended = completions->wait(far_ahead());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
        return ended.front().m_outcome;
    }

    system_monotonic_clock m_clock;
    std::atomic<std::uint32_t> m_limit{10};
    std::atomic<int> m_disconnections{0};
    runtime::loop_thread m_loop;
    upstream_client m_client{m_loop,
                             m_clock,
                             10'000,
                             {[this](const endpoint&) { return m_limit.load(); },
                              [this](const endpoint&)
                              {
                                  ++m_disconnections;
                              }}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_client_test);

} // namespace
