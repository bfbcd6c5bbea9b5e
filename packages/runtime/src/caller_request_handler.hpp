#pragma once

#include <optional>
#include <string_view>
#include <unordered_map>

#include "admission.hpp"
#include "teasellead/fleet/quota_ledger.hpp"
#include "teasellead/runtime/caller_server.hpp"
#include "teasellead/runtime/stop_schedule.hpp"

namespace teasellead::runtime
{

/*!
@brief handles requests of callers: admits them, checks the limit of their account, and starts their drivers

If the token bucket of an account is held by another node, a request may have to wait for that node's reply.
*/
class caller_request_handler
{
  public:
    /*!
    @brief creates a handler; the referenced objects must outlive it

    @param[in] environment  objects that all requests share
    @param[in] quotas       rate limits of the accounts
    */
    caller_request_handler(request_environment& environment, quota_ledger& quotas)
        : m_environment(environment), m_quotas(quotas), m_admission(environment.m_configuration_lease),
          m_timer(environment.m_loop)
    {
    }

    /// sets the route table by which requests are admitted
    void set_table(forwarding::shared_route_table table)
    {
        m_table = std::move(table);
    }

    /// from now on refuses requests that may not finish before the node stops
    void begin_stop(const stop_schedule& stop)
    {
        m_stop = stop;
    }

    /// handles a request; see @ref http_handler
    [[nodiscard]] disconnect_callback handle(http_request request, respond_function respond);

    /*!
    @brief responds at once to all requests that have no response yet, because the node stops

    @return number of these requests
    */
    std::size_t end_requests();

    /// starts or refuses the waiting requests for which the account limits have decided
    void on_quota_decisions();

  private:
    struct waiting_request
    {
        admitted_request m_request;
        respond_function m_respond;
    };

    void reject(const std::string& request_id, const rejection& rejected, duration waited,
                const respond_function& respond);
    void refuse(const admitted_request& request, http_response response, std::string_view reason,
                const respond_function& respond);
    void refuse_over_limit(const admitted_request& request, duration retry_after,
                           const respond_function& respond);
    void refuse_stopping(const admitted_request& request, const respond_function& respond);
    void start_driver(quota_ticket ticket, admitted_request request, respond_function respond);
    void wait_for_quota(quota_ticket ticket, admitted_request request, respond_function respond);
    void on_disconnect(quota_ticket ticket);
    void schedule_quota_check();

    request_environment& m_environment;
    quota_ledger& m_quotas;
    request_admission m_admission;
    asio::steady_timer m_timer;
    bool m_is_check_scheduled{false};
    forwarding::shared_route_table m_table;
    std::optional<stop_schedule> m_stop; ///< once a stop has begun
    quota_ticket m_last_ticket{0};       ///< each request has a ticket of its own
    std::unordered_map<quota_ticket, waiting_request> m_waiting;
    std::unordered_map<quota_ticket, std::shared_ptr<request_driver>> m_running;
};

} // namespace teasellead::runtime
