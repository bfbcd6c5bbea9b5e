#include "plain_caller.hpp"

#include "teasellead/runtime/asio.hpp"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace test_support
{

namespace
{

using std::chrono::milliseconds;

} // namespace

std::string plain_answer::field(std::string_view name) const
{
    return std::string{runtime::find_field(m_fields, name).value_or("")};
}

class plain_caller::implementation
{
  public:
    explicit implementation(const teasellead::endpoint& node) : m_node(node)
    {
    }

    plain_answer call(const boost::beast::http::request<boost::beast::http::string_body>& request,
                      milliseconds limit)
    {
        namespace http = boost::beast::http;
        // this timeout is the caller's; the node must respond before it
        const milliseconds patience = limit + milliseconds{500};
        boost::system::error_code error;
        if (!m_stream)
        {
            m_stream.emplace(m_loop);
            m_buffer.clear();
            m_stream->expires_after(patience);
            wait([&](auto handler) { m_stream->async_connect(runtime::to_tcp(m_node), handler); }, error);
        }
        plain_answer answer;
        http::response<http::string_body> response;
        if (!error)
        {
            m_stream->expires_after(patience);
            wait(
                [&](auto handler) {
                    http::async_write(*m_stream, request,
                                      [handler](auto code, std::size_t) mutable { handler(code); });
                },
                error);
        }
        if (!error)
        {
            wait(
                [&](auto handler)
                {
                    http::async_read(*m_stream, m_buffer, response,
                                     [handler](auto code, std::size_t) mutable { handler(code); });
                },
                error);
        }
        if (error)
        {
            m_stream.reset();
            return answer;
        }
        answer.m_status = response.result_int();
        for (const auto& field : response)
        {
            answer.m_fields.push_back({std::string{field.name_string()}, std::string{field.value()}});
        }
        answer.m_body = std::move(response.body());
        if (!response.keep_alive())
        {
            m_stream.reset();
        }
        return answer;
    }

  private:
    template <class Start>
    void wait(Start start, boost::system::error_code& error)
    {
        m_loop.restart();
        start([&error](const boost::system::error_code& code) { error = code; });
        m_loop.run();
    }

    teasellead::endpoint m_node;
    runtime::asio::io_context m_loop{1};
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

plain_caller::plain_caller(const teasellead::endpoint& node)
    : m_implementation(std::make_unique<implementation>(node))
{
}

plain_caller::~plain_caller() = default;

plain_answer plain_caller::call(const std::string& method, const std::string& target,
                                const std::string& request_id, const std::string& key, milliseconds limit)
{
    boost::beast::http::request<boost::beast::http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set("Host", "one.example");
    request.set("Request-Id", request_id);
    request.set("Deadline-Ms", std::to_string(limit.count()));
    if (!key.empty())
    {
        request.set("Authorization", "Bearer " + key);
    }
    return m_implementation->call(request, limit);
}

} // namespace test_support
