#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <string>
#include <thread>
#include <vector>

#include "raw_connection.hpp"
#include "teasellead/runtime/caller_server.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::runtime;
using teasellead::runtime::loop_thread;
using test_support::raw_connection;

const endpoint server_address = endpoint::parse("127.95.0.1:8363");

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto found = text.find(part); found != std::string::npos; found = text.find(part, found + 1))
    {
        ++count;
    }
    return count;
}

class caller_session_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_session_test);
    CPPUNIT_TEST(bad_requests_get_an_error_response);
    CPPUNIT_TEST(excessive_content_length_is_rejected);
    CPPUNIT_TEST(slow_head_times_out);
    CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
    CPPUNIT_TEST(chunked_body_is_assembled);
    CPPUNIT_TEST(caller_disconnect_is_detected);
    CPPUNIT_TEST(partial_request_is_refused_on_demand);
    CPPUNIT_TEST(slow_sender_is_refused_over_the_limit);
    CPPUNIT_TEST(idle_connection_makes_room_for_another);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        m_thread = std::make_unique<loop_thread>();
        m_thread->run(
            [this]
            {
                m_server = std::make_unique<caller_server>(
                    m_thread->loop(), server_address,
                    [this](const http_request& request, const respond_function& respond)
                    { return handle(request, respond); });
                m_server->set_limits({512, 64, 200ms, 5s});
            });
    }

    void tearDown() override
    {
        m_thread->run([this] { m_server.reset(); });
        m_thread.reset();
    }

    /// the body may arrive together with the head, after it, or not at all
    void excessive_content_length_is_rejected()
    {
        const std::string head = "POST / HTTP/1.1\r\nContent-Length: 9000000000000\r\n";
        for (const std::string& rest : {std::string{"\r\n"}, "\r\n" + std::string(100, 'x'),
                                        std::string{"Expect: 100-continue\r\n\r\n"}})
        {
            raw_connection connection{server_address};
            connection.send(head + rest);
            CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 413"}, connection.read_all().substr(0, 12));
        }
        raw_connection connection{server_address};
        connection.send(head + "\r\n");
        connection.send(std::string(100, 'x'));
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 413"}, connection.read_all().substr(0, 12));
    }

    void bad_requests_get_an_error_response()
    {
        struct row
        {
            std::string m_request;
            std::string m_status;
        };
        const std::vector<row> rows{
            {"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "200"},
            {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", "400"},
            {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", "400"},
            {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
            {"GET / HTTP/1.1\r\nbad header\r\n\r\n", "400"},
            {"GET /a b HTTP/1.1\r\n\r\n", "400"},
            {"\r\n\x01\x02\x03", "400"},
            {"GET / HTTP/9.9\r\n\r\n", "400"},
            {"GET / HTTP/1.1\r\nX: " + std::string(1000, 'x') + "\r\n\r\n", "431"},
            {"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x'), "413"},
            {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n" + std::string(80, 'x') +
                 "\r\n0\r\n\r\n",
             "413"},
        };
        for (const row& each : rows)
        {
            raw_connection connection{server_address};
            connection.send(each.m_request);
            const std::string response = connection.read_all();
            CPPUNIT_ASSERT_MESSAGE(each.m_request.substr(0, 80) + " -> " + response.substr(0, 40),
                                   response.compare(0, 12, "HTTP/1.1 " + each.m_status) == 0);
            // bytes that follow a bad request aren't parsed as another request
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(response, "HTTP/1.1 "));
        }
    }

    void slow_head_times_out()
    {
        raw_connection connection{server_address};
        connection.send("GET / HTTP/1.1\r\nHost:");
        CPPUNIT_ASSERT(connection.read_all().compare(0, 12, "HTTP/1.1 408") == 0);
    }

    void partial_request_is_refused_on_demand()
    {
        raw_connection partial{server_address};
        raw_connection idle{server_address};
        partial.send("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
        std::this_thread::sleep_for(50ms);
        m_thread->run(
            [this]
            {
                m_server->refuse_partial_requests();
                m_server->close_idle();
            });
        const std::string refused = partial.read_all();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 503"}, refused.substr(0, 12));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(refused, "Retry-After: "));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(refused, "Connection: close"));
        CPPUNIT_ASSERT(idle.read_all().empty());
    }

    /// each connection occupies a buffer of 4096 bytes; there is room for one and a half
    void slow_sender_is_refused_over_the_limit()
    {
        limit({6000, 0, 100'000}, 10);
        raw_connection slow{server_address};
        slow.send("POST /slow HTTP/1.1\r\nPadding: " + std::string(200, '.') +
                  "\r\nContent-Length: 4\r\n\r\nab");
        raw_connection quick{server_address};
        quick.send("POST /quick HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nab");
        const std::string refused = slow.read_all();
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 503"}, refused.substr(0, 12));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(refused, "Retry-After: "));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(refused, "Connection: close"));
        quick.send("cd");
        CPPUNIT_ASSERT(quick.read_all().find("/quick:abcd") != std::string::npos);
    }

    void idle_connection_makes_room_for_another()
    {
        limit({100'000, 0, 100'000}, 2);
        raw_connection first{server_address};
        raw_connection second{server_address};
        second.send("POST /second HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nab");
        std::this_thread::sleep_for(50ms);
        raw_connection third{server_address};
        CPPUNIT_ASSERT(first.read_all().empty());
        second.send("cd");
        CPPUNIT_ASSERT(second.read_all().find("/second:abcd") != std::string::npos);
        third.send("GET /third HTTP/1.1\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(third.read_all().find("/third") != std::string::npos);
    }

    void pipelined_requests_are_answered_in_order()
    {
        raw_connection connection{server_address};
        connection.send("GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\nConnection: close\r\n\r\n");
        const std::string responses = connection.read_all();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_of(responses, "HTTP/1.1 200"));
        CPPUNIT_ASSERT(responses.find("/first") < responses.find("/second"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(responses, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(responses, "Keep-Alive: timeout=5"));
    }

    void chunked_body_is_assembled()
    {
        raw_connection connection{server_address};
        connection.send("POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(connection.read_all().find("/c:abcde") != std::string::npos);
    }

    void caller_disconnect_is_detected()
    {
        m_is_gone = std::promise<void>{};
        raw_connection connection{server_address};
        connection.send("GET /wait HTTP/1.1\r\n\r\n");
        m_is_waiting.get_future().wait();
        connection.close();
        CPPUNIT_ASSERT(m_is_gone.get_future().wait_for(500ms) == std::future_status::ready);
    }

  private:
    void limit(const memory_limits& memory, std::size_t connections)
    {
        m_thread->run(
            [&]
            {
                m_server->set_limits({512, 64, 5s, 5s});
                m_server->limit_connections(
                    {m_clock, std::make_shared<memory_budget>(memory), connections, {}});
            });
    }

    disconnect_callback handle(const http_request& request, const respond_function& respond)
    {
        if (request.m_target == "/wait")
        {
            m_is_waiting.set_value();
            return [this]
            {
                m_is_gone.set_value();
            };
        }
        respond({200, {}, request.m_target + ":" + request.m_body});
        return {};
    }

    manual_clock m_clock;
    std::unique_ptr<loop_thread> m_thread;
    std::unique_ptr<caller_server> m_server;
    std::promise<void> m_is_waiting;
    std::promise<void> m_is_gone;
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_session_test);

} // namespace
