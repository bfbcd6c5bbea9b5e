#include "teasellead/entry/http_server.hpp"

#include <boost/asio/dispatch.hpp>
#include <exception>
#include <string>
#include <utility>

#include "detail/json_response.hpp"
#include "detail/result_merger.hpp"
#include "teasellead/runtime/caller_server.hpp"

namespace teasellead
{

namespace
{

constexpr unsigned status_internal_error = 500;
constexpr unsigned status_unknown_outcome = 502;

/// the response to a request that can't be parsed
runtime::http_response rejection(unsigned status)
{
    return detail::json_response(
        status, detail::error_response_body({}, "the request can't be read", verdict::not_run));
}

runtime::http_response internal_error()
{
    return detail::json_response(status_internal_error,
                                 detail::error_response_body({}, "internal error", verdict::may_have_run));
}

/// the response to a request that still runs when the server stops
runtime::http_response unfinished()
{
    return detail::json_response(
        status_unknown_outcome,
        detail::error_response_body({}, "the node stops and the request still runs", verdict::may_have_run));
}

} // namespace

class http_server::implementation
{
  public:
    implementation(runtime::loop_thread& loop, const endpoint& listen, std::size_t max_body, handler handle)
        : m_loop(loop), m_handle(std::move(handle))
    {
        m_loop.run(
            [&]
            {
                m_server.emplace(
                    m_loop.loop(), listen,
                    [this](const runtime::http_request& request, runtime::respond_function respond)
                    { return on_request(request, std::move(respond)); });
                forwarding::caller_limits limits;
                limits.m_max_body_bytes = max_body;
                m_server->set_limits(limits);
                m_server->on_reject(rejection);
            });
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ~implementation()
    {
        m_loop.run([this] { m_server.reset(); });
    }

    void announce_close()
    {
        m_loop.run([this] { m_server->announce_close(); });
    }

    void stop_listening()
    {
        m_loop.run([this] { m_server->close_idle(); });
    }

    void end_requests()
    {
        m_loop.run(
            [this]
            {
                m_server->end_requests(unfinished());
                m_server->refuse_partial_requests();
            });
    }

    [[nodiscard]] std::size_t connections() const
    {
        std::size_t result = 0;
        m_loop.run([this, &result] { result = m_server->connections(); });
        return result;
    }

    [[nodiscard]] std::size_t in_flight() const
    {
        std::size_t result = 0;
        m_loop.run([this, &result] { result = m_server->in_flight(); });
        return result;
    }

  private:
    runtime::disconnect_callback on_request(const runtime::http_request& request,
                                            runtime::respond_function respond)
    {
        const http_responder responder = [&loop = m_loop, respond](runtime::http_response response)
        {
            runtime::asio::dispatch(loop.loop(), [respond, response = std::move(response)]() mutable
                                    { respond(std::move(response)); });
        };
        try
        {
            m_handle(request, responder);
        }
        catch (const std::exception&)
        {
            responder(internal_error());
        }
        return {};
    }

    runtime::loop_thread& m_loop;
    handler m_handle;
    std::optional<runtime::caller_server> m_server; ///< accessed on the loop's thread only
};

http_server::http_server(runtime::loop_thread& loop, const endpoint& listen, std::size_t max_body,
                         handler handle)
    : m_implementation(std::make_unique<implementation>(loop, listen, max_body, std::move(handle)))
{
}

http_server::~http_server() = default;

void http_server::announce_close()
{
    m_implementation->announce_close();
}

void http_server::stop_listening()
{
    m_implementation->stop_listening();
}

void http_server::end_requests()
{
    m_implementation->end_requests();
}

std::size_t http_server::connections() const
{
    return m_implementation->connections();
}

std::size_t http_server::in_flight() const
{
    return m_implementation->in_flight();
}

} // namespace teasellead
