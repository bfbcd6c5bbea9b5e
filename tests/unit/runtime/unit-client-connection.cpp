#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <linux/sockios.h>
#include <optional>
#include <string>
#include <sys/ioctl.h>
#include <thread>
#include <utility>
#include <vector>

#include "teasellead/runtime/client_connection.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::runtime;
using teasellead::runtime::loop_thread;

const endpoint server_address = endpoint::parse("127.95.0.2:8080");

/// what the test server does with its connection after the response
enum class ending
{
    kept,
    closed,
    reset
};

class client_connection_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_connection_test);
    CPPUNIT_TEST(responses_and_reuse_of_the_connection);
    CPPUNIT_TEST(odd_statuses_are_malformed);
    CPPUNIT_TEST(odd_lines_are_malformed);
    CPPUNIT_TEST(response_without_id_belongs_to_the_first_request_only);
    CPPUNIT_TEST(endless_responses_are_aborted);
    CPPUNIT_TEST(connections_share_the_reply_budget);
    CPPUNIT_TEST(refused_connection_confirms_that_nothing_ran);
    CPPUNIT_TEST(forbidden_request_is_never_sent);
    CPPUNIT_TEST_SUITE_END();

  public:
    void responses_and_reuse_of_the_connection()
    {
        struct row
        {
            std::string m_name;
            std::string m_bytes;
            ending m_ending;
            std::string m_body; ///< empty if the exchange fails
            bool m_is_kept;
            exchange_failure m_failure{exchange_failure::lost};
            bool m_is_reset_on_first_use{false};
        };
        const std::string own = "Request-Id: own\r\n";
        const std::vector<row> rows{
            {"whole", "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 4\r\n\r\nbody", ending::kept, "body",
             true},
            {"chunked",
             "HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
             ending::kept, "body", true},
            {"asked to close",
             "HTTP/1.1 200 OK\r\n" + own + "Connection: close\r\nContent-Length: 4\r\n\r\nbody", ending::kept,
             "body", false},
            {"ends with its connection", "HTTP/1.1 200 OK\r\n" + own + "\r\nbody", ending::closed, "body",
             false},
            {"ends with a reset", "HTTP/1.1 200 OK\r\n" + own + "\r\nbody", ending::reset, "", false},
            {"truncated", "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 9\r\n\r\nbody", ending::closed, "",
             false, exchange_failure::lost},
            {"truncated chunk", "HTTP/1.1 200 OK\r\n" + own + "Transfer-Encoding: chunked\r\n\r\n9\r\nbody",
             ending::closed, "", false, exchange_failure::lost},
            {"no response", "", ending::closed, "", false},
            {"reset without a response", "", ending::reset, "", false, exchange_failure::lost, true},
            {"no HTTP", "what is this\r\n\r\n", ending::kept, "", false, exchange_failure::malformed},
            {"another's first",
             "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 5\r\n\r\nalien"
             "HTTP/1.1 200 OK\r\n" +
                 own + "Content-Length: 4\r\n\r\nbody",
             ending::kept, "body", true},
            {"interim first",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + own + "Content-Length: 4\r\n\r\nbody",
             ending::kept, "body", true},
            {"bytes behind it",
             "HTTP/1.1 200 OK\r\n" + own +
                 "Content-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
             ending::kept, "body", false},
        };
        for (const row& each : rows)
        {
            loop_thread thread;
            std::promise<exchange_result> ended;
            std::shared_ptr<client_connection> connection;
            std::thread server = serve(each.m_bytes, each.m_ending);
            thread.run(
                [&]
                {
                    connection =
                        std::make_shared<client_connection>(thread.loop(), m_clock, server_address, 500ms);
                    connection->start(exchange_of([&ended](exchange_result result)
                                                  { ended.set_value(std::move(result)); }));
                });
            const exchange_result result = ended.get_future().get();
            bool is_kept = false;
            thread.run(
                [&]
                {
                    is_kept = connection->is_idle();
                    connection->close();
                });
            server.join();
            const auto* const received = std::get_if<received_response>(&result);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_name, each.m_body,
                                         received == nullptr ? std::string{} : received->m_response.m_body);
            CPPUNIT_ASSERT(received != nullptr || std::get<exchange_failure>(result) == each.m_failure);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_name, each.m_is_kept, is_kept);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_name, each.m_is_reset_on_first_use,
                                         connection->was_reset_on_first_use());
        }
    }

    /// the connection ends at once, although the server keeps it, and the bytes carry the id of the request
    void odd_statuses_are_malformed()
    {
        const std::string own = "Request-Id: own\r\n";
        const std::string length = "Content-Length: 4\r\n";
        std::vector<std::string> heads;
        for (const std::string status :
             {"000", "001", "099", "101", "600", "999", "20", "2000", "2x0", "+20"})
        {
            heads.push_back("HTTP/1.1 " + status + " Odd\r\n" + own + length);
            heads.push_back("HTTP/1.1 " + status + " Odd\r\n" + own);
            heads.push_back("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + " Odd\r\n" + own + length);
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, not_refused(heads));
    }

    /// likewise
    void odd_lines_are_malformed()
    {
        const std::string own = "Request-Id: own\r\n";
        const std::string length = "Content-Length: 4\r\n";
        std::vector<std::string> heads;
        for (const std::string& line : {std::string{"Odd Name: x"},
                                        std::string{"Odd\tName: x"},
                                        std::string{"Odd\x01: x"},
                                        std::string{"Odd\0: x", 7},
                                        std::string{"Odd\x7f: x"},
                                        std::string{"Odd\x80: x"},
                                        std::string{"Odd\xfd: x"},
                                        std::string{"Odd\xfe: x"},
                                        std::string{"Odd\xff: x"},
                                        std::string{": x"},
                                        std::string{"Odd : x"},
                                        std::string{" Odd: x"},
                                        std::string{"Odd: x\r\n y"},
                                        std::string{"Odd: x\r\n\ty"},
                                        std::string{"Odd: x\r\n "},
                                        std::string{"Odd"},
                                        std::string{"Odd: a\x01"},
                                        std::string{"Odd: a\0z", 8},
                                        std::string{"Odd: a\rz"},
                                        std::string{"Odd: a\nB: z"},
                                        std::string{"Content-Length: 5"},
                                        std::string{"Content-Length: 4"},
                                        std::string{"Transfer-Encoding: chunked"}})
        {
            heads.push_back("HTTP/1.1 200 OK\r\n" + own + line + "\r\n" + length);
        }
        for (const std::string line :
             {"Content-Length: +4", "Content-Length: -4", "Content-Length: 4, 4", "Content-Length: 4 4",
              "Content-Length:", "Transfer-Encoding: gzip", "Transfer-Encoding: identity",
              "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip"})
        {
            heads.push_back("HTTP/1.1 200 OK\r\n" + own + line + "\r\n");
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, not_refused(heads));
    }

    // guards against a late second response that is taken for the response to the next request: a refusal
    // in it would prove, wrongly, that this one didn't run
    void response_without_id_belongs_to_the_first_request_only()
    {
        const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        loop_thread thread;
        std::shared_ptr<client_connection> connection;
        std::thread server = serve(refusal, ending::kept, 2);
        std::vector<exchange_result> results;
        for (int request = 0; request < 2; ++request)
        {
            std::promise<exchange_result> ended;
            thread.run(
                [&]
                {
                    if (!connection)
                    {
                        connection = std::make_shared<client_connection>(thread.loop(), m_clock,
                                                                         server_address, 500ms);
                    }
                    connection->start(exchange_of([&ended](exchange_result result)
                                                  { ended.set_value(std::move(result)); }));
                });
            results.push_back(ended.get_future().get());
        }
        bool is_closed = false;
        thread.run(
            [&]
            {
                is_closed = connection->is_closed();
                connection->close();
            });
        server.join();
        CPPUNIT_ASSERT_EQUAL(503U, std::get<received_response>(results[0]).m_response.m_status);
        CPPUNIT_ASSERT(std::get<exchange_failure>(results[1]) == exchange_failure::malformed);
        CPPUNIT_ASSERT(is_closed);
    }

    /// the server sends until the client closes the connection
    void endless_responses_are_aborted()
    {
        struct row
        {
            std::string m_name;
            std::string m_first;
            std::string m_repeated;
        };
        const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: own\r\n";
        const std::string junk(1000, 'x');
        const std::vector<row> rows{
            {"junk instead of a response", "", junk},
            {"status line", "HTTP/1.1 200 ", junk},
            {"line of the head", "HTTP/1.1 200 OK\r\nA: ", junk},
            {"lines of the head", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
            {"body that ends with the connection", head + "\r\n", junk},
            {"more chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + junk + "\r\n"},
            {"size of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
            {"extension of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n1;", junk},
            {"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
            {"length beyond all bounds", head + "Content-Length: 9000000000000\r\n\r\n", junk},
            {"the same with its first bytes", head + "Content-Length: 9000000000000\r\n\r\nx", junk},
            {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
            {"responses to others", "", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n"},
        };
        for (const row& each : rows)
        {
            const auto budget = std::make_shared<memory_budget>(memory_limits{0, receive_limit, 0});
            const exchange_result result = exchange_without_end(each.m_first, each.m_repeated, budget);
            CPPUNIT_ASSERT_MESSAGE(each.m_name, std::holds_alternative<exchange_failure>(result));
            CPPUNIT_ASSERT_MESSAGE(each.m_name,
                                   std::get<exchange_failure>(result) == exchange_failure::malformed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_name, std::size_t{0}, budget->used(memory_use::reply));
        }
    }

    /// bytes that one connection has reserved aren't available to the others until it releases them
    void connections_share_the_reply_budget()
    {
        const auto budget = std::make_shared<memory_budget>(memory_limits{0, 100, 0});
        memory_charge first{budget, memory_use::reply};
        memory_charge second{budget, memory_use::reply};
        first.set(60);
        CPPUNIT_ASSERT(!first.is_exceeded());
        second.set(40);
        CPPUNIT_ASSERT(!second.is_exceeded());
        first.set(61);
        CPPUNIT_ASSERT(first.is_exceeded());
        first.set(0);
        second.set(100);
        CPPUNIT_ASSERT(!second.is_exceeded());
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, budget->used(memory_use::reply));
    }

    void refused_connection_confirms_that_nothing_ran()
    {
        loop_thread thread;
        std::promise<exchange_result> ended;
        thread.run(
            [&]
            {
                const auto connection = std::make_shared<client_connection>(
                    thread.loop(), m_clock, endpoint::parse("127.95.0.2:8099"), 500ms);
                connection->start(
                    exchange_of([&ended](exchange_result result) { ended.set_value(std::move(result)); }));
            });
        CPPUNIT_ASSERT(std::get<exchange_failure>(ended.get_future().get()) ==
                       exchange_failure::not_connected);
    }

    void forbidden_request_is_never_sent()
    {
        loop_thread thread;
        std::promise<exchange_result> ended;
        std::shared_ptr<client_connection> connection;
        std::thread server = serve("", ending::kept);
        thread.run(
            [&]
            {
                connection =
                    std::make_shared<client_connection>(thread.loop(), m_clock, server_address, 500ms);
                exchange next =
                    exchange_of([&ended](exchange_result result) { ended.set_value(std::move(result)); });
                next.m_may_send = []
                {
                    return false;
                };
                connection->start(std::move(next));
            });
        const exchange_result result = ended.get_future().get();
        thread.run([&] { connection->close(); });
        server.join();
        CPPUNIT_ASSERT(std::get<exchange_failure>(result) == exchange_failure::not_sent);
        CPPUNIT_ASSERT(m_received.empty());
    }

  private:
    static constexpr std::size_t receive_limit = 1'000'000;

    /// those of some heads to which the exchange, or the connection, doesn't end at once
    std::string not_refused(const std::vector<std::string>& heads)
    {
        std::string failed;
        for (const std::string& head : heads)
        {
            const auto [result, is_closed] = exchange_with(head + "\r\nbody");
            const bool is_malformed = result && std::holds_alternative<exchange_failure>(*result) &&
                                      std::get<exchange_failure>(*result) == exchange_failure::malformed;
            failed += is_malformed && is_closed ? "" : head + "\n";
        }
        return failed;
    }

    /// result of a request to a server that sends some bytes and keeps its connection, if there is one soon,
    /// and whether the client has closed the connection by itself
    std::pair<std::optional<exchange_result>, bool> exchange_with(const std::string& bytes)
    {
        loop_thread thread;
        std::promise<exchange_result> ended;
        std::shared_ptr<client_connection> connection;
        std::thread server = serve(bytes, ending::kept);
        thread.run(
            [&]
            {
                connection =
                    std::make_shared<client_connection>(thread.loop(), m_clock, server_address, 500ms);
                connection->start(
                    exchange_of([&ended](exchange_result result) { ended.set_value(std::move(result)); }));
            });
        auto result = ended.get_future();
        const bool has_ended = result.wait_for(1s) == std::future_status::ready;
        bool is_closed = false;
        thread.run(
            [&]
            {
                is_closed = connection->is_closed();
                connection->close();
            });
        server.join();
        return {has_ended ? std::optional{result.get()} : std::nullopt, is_closed};
    }

    /// result of a request to a server that sends until the connection is closed
    exchange_result exchange_without_end(const std::string& first, const std::string& repeated,
                                         const std::shared_ptr<memory_budget>& budget)
    {
        loop_thread thread;
        std::promise<exchange_result> ended;
        std::shared_ptr<client_connection> connection;
        std::thread server = serve_without_end(first, repeated);
        thread.run(
            [&]
            {
                connection = std::make_shared<client_connection>(thread.loop(), m_clock, server_address,
                                                                 500ms, budget);
                connection->start(
                    exchange_of([&ended](exchange_result result) { ended.set_value(std::move(result)); }));
            });
        auto result = ended.get_future();
        const bool has_ended = result.wait_for(10s) == std::future_status::ready;
        thread.run([&] { connection->close(); });
        server.join();
        CPPUNIT_ASSERT(has_ended);
        return result.get();
    }

    /// accepts one connection and writes until the client closes it
    static std::thread serve_without_end(const std::string& first, const std::string& repeated)
    {
        auto loop = std::make_shared<asio::io_context>();
        auto acceptor = std::make_shared<tcp::acceptor>(*loop, to_tcp(server_address), true);
        return std::thread{[loop, acceptor, first, repeated]
                           {
                               tcp::socket socket{*loop};
                               acceptor->accept(socket);
                               boost::system::error_code error; // set when the client closes the connection
                               asio::write(socket, asio::buffer(first), error);
                               while (!error)
                               {
                                   asio::write(socket, asio::buffer(repeated), error);
                               }
                           }};
    }

    static exchange exchange_of(std::function<void(exchange_result)> on_end)
    {
        exchange next;
        next.m_bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        next.m_match = [](const http_response& response)
        {
            const auto id = find_field(response.m_fields, "request-id");
            if (!id)
            {
                return response_match::unidentified;
            }
            return id == "own" ? response_match::own : response_match::other;
        };
        next.m_on_end = std::move(on_end);
        return next;
    }

    /// waits until the client has acknowledged all bytes, as a reset would discard them
    static void wait_until_acknowledged(tcp::socket& socket)
    {
        int unacknowledged = 1;
        while (::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0)
        {
            std::this_thread::yield();
        }
    }

    /// accepts one connection, replies with the bytes to each of some requests and ends the connection as
    /// given
    std::thread serve(const std::string& bytes, ending end, int requests = 1)
    {
        auto loop = std::make_shared<asio::io_context>();
        auto acceptor = std::make_shared<tcp::acceptor>(*loop, to_tcp(server_address), true);
        m_received.clear();
        return std::thread{[this, loop, acceptor, bytes, end, requests]
                           {
                               tcp::socket socket{*loop};
                               acceptor->accept(socket);
                               boost::system::error_code ignored; // the client may close the connection first
                               for (int request = 0; request < requests; ++request)
                               {
                                   m_received.clear();
                                   asio::read_until(socket, asio::dynamic_buffer(m_received), "\r\n\r\n",
                                                    ignored);
                                   asio::write(socket, asio::buffer(bytes), ignored);
                               }
                               if (end == ending::kept)
                               {
                                   std::string rest;
                                   asio::read(socket, asio::dynamic_buffer(rest), ignored);
                               }
                               if (end == ending::reset)
                               {
                                   wait_until_acknowledged(socket);
                                   socket.set_option(asio::socket_base::linger{true, 0}, ignored);
                                   socket.close(ignored);
                               }
                           }};
    }

    system_monotonic_clock m_clock;
    std::string m_received;
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_connection_test);

} // namespace
