#include "caller_request_handler.hpp"

#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/runtime/refusals.hpp"

namespace teasellead::runtime
{

namespace
{

constexpr std::chrono::milliseconds quota_check_interval{20};
// other nodes can serve the request at once
constexpr std::chrono::milliseconds stopping_retry_after{0};

std::shared_ptr<request_driver> start_driver(request_environment& environment, admitted_request request,
                                             respond_function respond)
{
    auto driver = std::make_shared<request_driver>(environment, std::move(request), std::move(respond));
    driver->start();
    return driver;
}

} // namespace

disconnect_callback caller_request_handler::handle(http_request request, respond_function respond)
{
    const time_point now = m_environment.m_clock.now();
    request_metadata metadata = m_environment.m_protocol.read_metadata(request);
    const std::string request_id = metadata.m_request_id;
    admission_result decided = m_admission.decide(std::move(request), std::move(metadata), m_table, now);
    if (const auto* rejected = std::get_if<rejection>(&decided))
    {
        reject(request_id, *rejected, duration::zero(), respond);
        return {};
    }
    auto& admitted = std::get<admitted_request>(decided);
    if (m_stop && !m_stop->admits(now, admitted.m_dispatch.m_response_deadline))
    {
        refuse_stopping(admitted, respond);
        return {};
    }
    quota_answer answer = quota_granted{};
    const quota_ticket ticket = ++m_last_ticket;
    if (!admitted.m_account.empty())
    {
        answer = m_quotas.request(admitted.m_account, ticket, now);
        m_environment.m_send();
    }
    return std::visit(overloaded{[&](const quota_granted&) -> disconnect_callback
                                 {
                                     const auto driver =
                                         start_driver(m_environment, std::move(admitted), std::move(respond));
                                     return [driver]
                                     {
                                         driver->cancel();
                                     };
                                 },
                                 [&](const quota_refused& refused) -> disconnect_callback
                                 {
                                     refuse_over_limit(admitted, refused.m_retry_after, respond);
                                     return {};
                                 },
                                 [&](const quota_pending&) -> disconnect_callback
                                 {
                                     return wait_for_quota(std::move(admitted), std::move(respond), ticket);
                                 }},
                      answer);
}

disconnect_callback caller_request_handler::wait_for_quota(admitted_request request, respond_function respond,
                                                           quota_ticket ticket)
{
    const auto waiting =
        std::make_shared<waiting_request>(waiting_request{std::move(request), std::move(respond), nullptr});
    m_waiting.emplace(ticket, waiting);
    schedule_quota_check();
    return [this, waiting, ticket]
    {
        if (waiting->m_driver)
        {
            waiting->m_driver->cancel();
            return;
        }
        m_quotas.withdraw(waiting->m_request.m_account, ticket);
        m_waiting.erase(ticket);
    };
}

void caller_request_handler::schedule_quota_check()
{
    if (m_is_check_scheduled || !m_quotas.has_waiting())
    {
        return;
    }
    m_is_check_scheduled = true;
    m_timer.expires_after(quota_check_interval);
    m_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            m_is_check_scheduled = false;
            if (!error)
            {
                m_quotas.on_tick(m_environment.m_clock.now());
                m_environment.m_send();
                on_quota_decisions();
                schedule_quota_check();
            }
        });
}

void caller_request_handler::on_quota_decisions()
{
    for (const quota_decision& decision : m_quotas.take_decisions())
    {
        const auto found = m_waiting.find(decision.m_ticket);
        if (found == m_waiting.end())
        {
            continue;
        }
        const shared_waiting waiting = found->second;
        m_waiting.erase(found);
        if (!decision.m_is_granted)
        {
            refuse_over_limit(waiting->m_request, decision.m_retry_after, waiting->m_respond);
            continue;
        }
        waiting->m_driver =
            start_driver(m_environment, std::move(waiting->m_request), std::move(waiting->m_respond));
    }
}

void caller_request_handler::refuse_over_limit(const admitted_request& request, duration retry_after,
                                               const respond_function& respond)
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
    reject(request.m_metadata.m_request_id,
           {refusal(too_many_requests, wait), request.m_route->m_name, request.m_account, "over_limit"},
           m_environment.m_clock.now() - request.m_dispatch.m_arrived, respond);
}

void caller_request_handler::refuse_stopping(const admitted_request& request, const respond_function& respond)
{
    reject(request.m_metadata.m_request_id,
           {refusal(service_unavailable, stopping_retry_after), request.m_route->m_name, request.m_account,
            "stopping"},
           m_environment.m_clock.now() - request.m_dispatch.m_arrived, respond);
}

void caller_request_handler::reject(const std::string& request_id, const rejection& rejected, duration waited,
                                    const respond_function& respond)
{
    request_entry entry;
    entry.m_request_id = request_id;
    entry.m_route = rejected.m_route;
    entry.m_account = rejected.m_account;
    entry.m_outcome = "refused";
    entry.m_reason = rejected.m_reason;
    entry.m_status = rejected.m_response.m_status;
    entry.m_latency = waited;
    entry.m_limit_wait = waited;
    entry.m_version = m_table ? m_table->version() : 0;
    entry.m_version_age = m_environment.m_configuration_lease.age(m_environment.m_clock.now());
    m_environment.m_log.add(entry);
    respond(rejected.m_response);
}

} // namespace teasellead::runtime
