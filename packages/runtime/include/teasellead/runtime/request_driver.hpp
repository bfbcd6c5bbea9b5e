#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "teasellead/forwarding/configuration_lease.hpp"
#include "teasellead/forwarding/dispatch.hpp"
#include "teasellead/forwarding/route_table.hpp"
#include "teasellead/runtime/caller_server.hpp"
#include "teasellead/runtime/request_log.hpp"
#include "teasellead/runtime/upstream_pool.hpp"
#include "teasellead/runtime/wire_protocol.hpp"

namespace teasellead::runtime
{

/// objects that all requests of a node share; they must outlive all requests
struct request_environment
{
    asio::io_context& m_loop;
    const monotonic_clock& m_clock;
    const wire_protocol& m_protocol;
    forwarding::dispatch_context& m_dispatch_context;
    const forwarding::configuration_lease& m_configuration_lease;
    upstream_pool& m_pool;
    std::shared_ptr<memory_budget> m_memory; ///< of what requests hold
    request_log& m_log;
    std::function<void()> m_send; ///< sends the messages to peers that processing of requests has queued
};

/// a request that passed admission
struct admitted_request
{
    http_request m_request;
    request_metadata m_metadata;
    std::string m_account;                  ///< empty if the route needs no key
    forwarding::shared_route_table m_table; ///< owns the object that m_route points to
    const forwarding::route* m_route{nullptr};
    forwarding::dispatch_request m_dispatch;
};

/*!
@brief performs the I/O of one admitted request

Executes the actions of its @ref forwarding::dispatch, feeds the outcomes of the attempts back to it, and
responds to the caller exactly once unless the caller disconnects. The callbacks of its attempts keep the
object alive until all of them have ended.
*/
class request_driver : public std::enable_shared_from_this<request_driver>
{
  public:
    request_driver(request_environment& environment, admitted_request request, respond_function respond);

    /// sends the first attempts
    void start();

    /// responds at once with what the upstreams have replied so far, because the node stops
    void end_early();

    /// ends the request without a response because the caller disconnected
    void cancel();

  private:
    void execute(const std::vector<forwarding::dispatch_action>& actions);
    void send(const forwarding::send_attempt& action);
    void release(forwarding::attempt_number attempt);
    void count_end(forwarding::attempt_number attempt, std::string_view result);
    void log_end(std::string_view outcome, std::string_view reason, unsigned status,
                 const forwarding::gathered* result, time_point now);
    void log_failure(forwarding::attempt_number attempt, forwarding::attempt_failure failure);
    void handle_notice(forwarding::attempt_number attempt, const http_response& response, time_point now);
    void on_attempt_end(forwarding::attempt_number attempt, exchange_result result);
    void on_timer();
    void arm();
    void respond_if_finished();
    void send_response(http_response response, std::string_view outcome, std::string_view reason);
    [[nodiscard]] bool may_send() const;
    [[nodiscard]] std::chrono::milliseconds time_left(time_point now) const;

    request_environment& m_environment;
    admitted_request m_request;
    respond_function m_respond;
    forwarding::dispatch m_dispatch;
    time_point m_started_at;
    time_point m_close_released_at{time_point::max()}; ///< when released attempts are abandoned
    asio::steady_timer m_timer;
    time_point m_wakeup{};  ///< when the timer expires
    bool m_is_armed{false}; ///< whether it runs
    std::unordered_map<forwarding::attempt_number, std::shared_ptr<client_connection>> m_running;
    std::string m_common_head;
    memory_charge m_attempt_charge; ///< for the copies of the request that were made for its attempts
    memory_charge m_reply_charge;   ///< for the replies that the dispatch holds
    bool m_is_ended{false};
};

} // namespace teasellead::runtime
