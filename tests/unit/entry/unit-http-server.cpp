#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "raw_connection.hpp"
#include "teasellead/entry/http_client.hpp"
#include "teasellead/entry/http_server.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;

constexpr std::size_t max_body = 100;
constexpr auto timeout = 2000ms;
// more than the buffers of a connection hold
constexpr std::size_t large_body = 30'000'000;
const endpoint address = endpoint::parse("127.96.0.1:8080");

runtime::http_response text_response(std::string body)
{
    return {200, {{"Content-Type", "text/plain"}}, std::move(body)};
}

class http_server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(responds_and_rejects_bad_requests);
    CPPUNIT_TEST(response_may_be_sent_later_from_any_thread);
    CPPUNIT_TEST(response_after_the_end_of_the_server_is_discarded);
    CPPUNIT_TEST(slow_reader_counts_as_a_connection_until_it_has_its_response);
    CPPUNIT_TEST(unfinished_requests_can_be_ended_with_a_response);
    CPPUNIT_TEST(announces_that_it_closes_a_connection);
    CPPUNIT_TEST(persistent_connection_that_the_server_closed_is_replaced);
    CPPUNIT_TEST(cancelled_call_returns_soon);
    CPPUNIT_TEST_SUITE_END();

  public:
    void responds_and_rejects_bad_requests()
    {
        struct row
        {
            std::string m_target;
            std::vector<runtime::header_field> m_fields;
            std::string m_body;
            unsigned m_status;
            std::string m_reply;
        };
        const std::string rejection = R"({"error":"the request can't be read","verdict":"not_run"})";
        const std::vector<row> rows{
            {"/echo", {}, "body", 200, "body"},
            {"/echo", {}, std::string(max_body, 'x'), 200, std::string(max_body, 'x')},
            {"/echo", {}, std::string(max_body + 1, 'x'), 413, rejection},
            {"/echo", {{"X-Large", std::string(20'000, 'x')}}, "", 431, rejection},
            {"/echo", {{"Content-Length", "7"}}, "", 400, rejection},
            {"/throw", {}, "", 500, R"({"error":"internal error","verdict":"may_have_run"})"},
        };
        const http_server server = make_server();
        for (const row& each : rows)
        {
            http_client client{address};
            const auto response = client.call("POST", each.m_target, each.m_fields, each.m_body, timeout);
            CPPUNIT_ASSERT(response.has_value());
            CPPUNIT_ASSERT_EQUAL(each.m_status, response->m_status);
            CPPUNIT_ASSERT_EQUAL(each.m_reply, response->m_body);
        }
    }

    void response_may_be_sent_later_from_any_thread()
    {
        const http_server server = make_server();
        http_client client{address};
        const auto response = client.call("POST", "/later", {}, "body", timeout);
        CPPUNIT_ASSERT(response.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"later"}, response->m_body);
        m_later.join();
    }

    void response_after_the_end_of_the_server_is_discarded()
    {
        std::optional<http_server> server;
        server.emplace(m_loop, address, max_body, handler());
        auto call = std::async(std::launch::async,
                               []
                               {
                                   http_client client{address};
                                   return client.call("POST", "/keep", {}, "", timeout).has_value();
                               });
        const http_responder responder = m_kept.get_future().get();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server->in_flight());
        server.reset();
        responder(text_response("too late"));
        CPPUNIT_ASSERT(!call.get());
    }

    // guards against responses that a stopping node cuts off because no request is in flight any more
    void slow_reader_counts_as_a_connection_until_it_has_its_response()
    {
        http_server server = make_server();
        test_support::raw_connection caller{address};
        caller.send("POST /large HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(100ms);
        server.announce_close();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.in_flight());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.connections());
        caller.send("POST /echo HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(caller.read_all().size() > large_body);
        caller.close();
        wait_until_closed(server);
    }

    void unfinished_requests_can_be_ended_with_a_response()
    {
        http_server server = make_server();
        server.announce_close();
        test_support::raw_connection running{address};
        test_support::raw_connection partial{address};
        running.send("POST /keep HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
        partial.send("POST /echo HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
        const http_responder responder = m_kept.get_future().get();
        std::this_thread::sleep_for(50ms);
        server.end_requests();
        const std::string ended = running.read_all();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 502"}, ended.substr(0, 12));
        CPPUNIT_ASSERT(ended.find("may_have_run") != std::string::npos);
        const std::string refused = partial.read_all();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 503"}, refused.substr(0, 12));
        CPPUNIT_ASSERT(refused.find("not_run") != std::string::npos);
        responder(text_response("too late"));
        running.close();
        partial.close();
        wait_until_closed(server);
    }

    void announces_that_it_closes_a_connection()
    {
        http_server server = make_server();
        http_client client{address};
        const auto before = client.call("POST", "/echo", {}, "", timeout);
        CPPUNIT_ASSERT(!runtime::find_field(before->m_fields, "connection"));
        server.announce_close();
        const auto after = client.call("POST", "/echo", {}, "", timeout);
        CPPUNIT_ASSERT(runtime::find_field(after->m_fields, "connection") == "close");
    }

    void persistent_connection_that_the_server_closed_is_replaced()
    {
        http_client client{address};
        for (int restart = 0; restart < 3; ++restart)
        {
            const http_server server = make_server();
            CPPUNIT_ASSERT(client.get("/echo", timeout).has_value());
        }
    }

    void cancelled_call_returns_soon()
    {
        const http_server server = make_server();
        http_client client{address};
        auto call =
            std::async(std::launch::async, [&client] { return client.get("/keep", 60s).has_value(); });
        (void)m_kept.get_future().get();
        client.cancel();
        CPPUNIT_ASSERT(!call.get());
        client.rearm();
        CPPUNIT_ASSERT(client.get("/echo", timeout).has_value());
    }

  private:
    static void wait_until_closed(const http_server& server)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (server.connections() > 0 && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(5ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.connections());
    }

    http_server make_server()
    {
        return http_server{m_loop, address, max_body, handler()};
    }

    http_server::handler handler()
    {
        return [this](const runtime::http_request& request, const http_responder& respond)
        {
            take(request, respond);
        };
    }

    void take(const runtime::http_request& request, const http_responder& respond)
    {
        if (request.m_target == "/throw")
        {
            throw std::runtime_error("a fault of the handler");
        }
        if (request.m_target == "/large")
        {
            respond(text_response(std::string(large_body, 'x')));
            return;
        }
        if (request.m_target == "/later")
        {
            m_later = std::thread{[respond]
                                  {
                                      respond(text_response("later"));
                                  }};
            return;
        }
        if (request.m_target == "/keep")
        {
            m_kept.set_value(respond);
            return;
        }
        respond(text_response(request.m_body));
    }

    runtime::loop_thread m_loop;
    std::thread m_later;
    std::promise<http_responder> m_kept; ///< responder of the only request that isn't answered
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace
