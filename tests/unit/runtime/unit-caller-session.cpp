#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <string>
#include <vector>

#include "teasellead/runtime/caller_server.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::runtime;
using teasellead::runtime::loop_thread;

const endpoint server_address = endpoint::parse("127.95.0.1:8363");

/// a connection that sends bytes as they are
class raw_connection
{
  public:
    raw_connection() : m_socket(m_loop)
    {
        m_socket.connect(to_tcp(server_address));
    }

    void send(const std::string& bytes)
    {
        boost::system::error_code ignored; // the server may have closed already
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /// everything until the server closes
    std::string read_all()
    {
        std::string received;
        boost::system::error_code end;
        asio::read(m_socket, asio::dynamic_buffer(received), end);
        return received;
    }

    void close()
    {
        m_socket.close();
    }

  private:
    asio::io_context m_loop;
    tcp::socket m_socket;
};

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
    CPPUNIT_TEST(bad_requests_get_a_clear_answer);
    CPPUNIT_TEST(length_beyond_all_bounds_is_rejected);
    CPPUNIT_TEST(slow_head_is_ended);
    CPPUNIT_TEST(requests_in_a_row_are_answered_in_order);
    CPPUNIT_TEST(chunks_are_put_together);
    CPPUNIT_TEST(caller_that_goes_is_noticed);
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

    /// the body may come with the head, after it, or never
    void length_beyond_all_bounds_is_rejected()
    {
        const std::string head = "POST / HTTP/1.1\r\nContent-Length: 9000000000000\r\n";
        for (const std::string& rest : {std::string{"\r\n"}, "\r\n" + std::string(100, 'x'),
                                        std::string{"Expect: 100-continue\r\n\r\n"}})
        {
            raw_connection connection;
            connection.send(head + rest);
            CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 413"}, connection.read_all().substr(0, 12));
        }
        raw_connection connection;
        connection.send(head + "\r\n");
        connection.send(std::string(100, 'x'));
        CPPUNIT_ASSERT_EQUAL(std::string{"HTTP/1.1 413"}, connection.read_all().substr(0, 12));
    }

    void bad_requests_get_a_clear_answer()
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
            raw_connection connection;
            connection.send(each.m_request);
            const std::string answer = connection.read_all();
            CPPUNIT_ASSERT_MESSAGE(each.m_request.substr(0, 80) + " -> " + answer.substr(0, 40),
                                   answer.compare(0, 12, "HTTP/1.1 " + each.m_status) == 0);
            // nothing that follows a bad request is taken for another
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(answer, "HTTP/1.1 "));
        }
    }

    void slow_head_is_ended()
    {
        raw_connection connection;
        connection.send("GET / HTTP/1.1\r\nHost:");
        CPPUNIT_ASSERT(connection.read_all().compare(0, 12, "HTTP/1.1 408") == 0);
    }

    void requests_in_a_row_are_answered_in_order()
    {
        raw_connection connection;
        connection.send("GET /first HTTP/1.1\r\n\r\nGET /second HTTP/1.1\r\nConnection: close\r\n\r\n");
        const std::string answers = connection.read_all();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count_of(answers, "HTTP/1.1 200"));
        CPPUNIT_ASSERT(answers.find("/first") < answers.find("/second"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(answers, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_of(answers, "Keep-Alive: timeout=5"));
    }

    void chunks_are_put_together()
    {
        raw_connection connection;
        connection.send("POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(connection.read_all().find("/c:abcde") != std::string::npos);
    }

    void caller_that_goes_is_noticed()
    {
        m_is_gone = std::promise<void>{};
        raw_connection connection;
        connection.send("GET /wait HTTP/1.1\r\n\r\n");
        m_is_waiting.get_future().wait();
        connection.close();
        CPPUNIT_ASSERT(m_is_gone.get_future().wait_for(500ms) == std::future_status::ready);
    }

  private:
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

    std::unique_ptr<loop_thread> m_thread;
    std::unique_ptr<caller_server> m_server;
    std::promise<void> m_is_waiting;
    std::promise<void> m_is_gone;
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_session_test);

} // namespace
