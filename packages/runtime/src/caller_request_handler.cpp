#include "caller_request_handler.hpp"

#include <utility>

#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/runtime/refusals.hpp"

namespace teasellead::runtime
{

namespace
{

constexpr std::chrono::milliseconds quota_check_interval{20};

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
    if (!m_environment.m_memory->admits_request(admitted.m_request.m_body.size()))
    {
        refuse(admitted, memory_refusal(), "memory_short", respond);
        return {};
    }
    quota_answer answer = quota_granted{};
    const quota_ticket ticket = ++m_last_ticket;
    if (!admitted.m_account.empty())
    {
        answer = m_quotas.request(admitted.m_account, ticket, now);
        m_environment.m_send();
    }
    std::visit(overloaded{[&](const quota_granted&)
                          { start_driver(ticket, std::move(admitted), std::move(respond)); },
                          [&](const quota_refused& refused)
                          { refuse_over_limit(admitted, refused.m_retry_after, respond); },
                          [&](const quota_pending&)
                          {
                              wait_for_quota(ticket, std::move(admitted), std::move(respond));
                          }},
               answer);
    return [this, ticket]
    {
        on_disconnect(ticket);
    };
}

void caller_request_handler::start_driver(quota_ticket ticket, admitted_request request,
                                          respond_function respond)
{
    const auto driver =
        std::make_shared<request_driver>(m_environment, std::move(request),
                                         [this, ticket, respond = std::move(respond)](http_response response)
                                         {
                                             m_running.erase(ticket);
                                             respond(std::move(response));
                                         });
    m_running.emplace(ticket, driver);
    driver->start();
}

void caller_request_handler::wait_for_quota(quota_ticket ticket, admitted_request request,
                                            respond_function respond)
{
    m_waiting.emplace(ticket, waiting_request{std::move(request), std::move(respond)});
    schedule_quota_check();
}

void caller_request_handler::on_disconnect(quota_ticket ticket)
{
    if (const auto waiting = m_waiting.find(ticket); waiting != m_waiting.end())
    {
        m_quotas.withdraw(waiting->second.m_request.m_account, ticket);
        m_waiting.erase(waiting);
        return;
    }
    if (const auto running = m_running.find(ticket); running != m_running.end())
    {
        const std::shared_ptr<request_driver> driver = running->second;
        m_running.erase(running);
        driver->cancel();
    }
}

std::size_t caller_request_handler::end_requests()
{
    // each response removes its request from these maps
    const auto waiting = std::exchange(m_waiting, {});
    const auto running = m_running;
    for (const auto& [ticket, request] : waiting)
    {
        m_quotas.withdraw(request.m_request.m_account, ticket);
        refuse_stopping(request.m_request, request.m_respond);
    }
    for (const auto& [ticket, driver] : running)
    {
        driver->end_early();
    }
    return waiting.size() + running.size();
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
        waiting_request waiting = std::move(found->second);
        m_waiting.erase(found);
        if (!decision.m_is_granted)
        {
            refuse_over_limit(waiting.m_request, decision.m_retry_after, waiting.m_respond);
            continue;
        }
        start_driver(decision.m_ticket, std::move(waiting.m_request), std::move(waiting.m_respond));
    }
}

void caller_request_handler::refuse_over_limit(const admitted_request& request, duration retry_after,
                                               const respond_function& respond)
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(retry_after);
    refuse(request, refusal(too_many_requests, wait), "over_limit", respond);
}

void caller_request_handler::refuse_stopping(const admitted_request& request, const respond_function& respond)
{
    refuse(request, stopping_refusal(), forwarding::to_string(forwarding::failure_reason::stopping), respond);
}

void caller_request_handler::refuse(const admitted_request& request, http_response response,
                                    std::string_view reason, const respond_function& respond)
{
    reject(request.m_metadata.m_request_id,
           {std::move(response), request.m_route->m_name, request.m_account, reason},
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
