#include "teasellead/runtime/request_driver.hpp"

#include <algorithm>

#include "teasellead/forwarding/record_merge.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/runtime/refusals.hpp"

namespace teasellead::runtime
{

namespace
{

using std::chrono::milliseconds;

// attempts whose reply is no longer needed may complete within this time, so that their connections are
// reused
constexpr milliseconds released_attempt_grace{300};
constexpr unsigned ok = 200;
constexpr unsigned bad_gateway = 502;
constexpr unsigned gateway_timeout = 504;

/// failure of an attempt whose exchange has failed
forwarding::attempt_failure attempt_failure_of(exchange_failure failure)
{
    switch (failure)
    {
    case exchange_failure::not_connected:
        return forwarding::attempt_failure::not_connected;
    case exchange_failure::not_sent:
        return forwarding::attempt_failure::not_sent;
    case exchange_failure::lost:
        return forwarding::attempt_failure::broken;
    case exchange_failure::malformed:
        return forwarding::attempt_failure::unusable;
    }
    return forwarding::attempt_failure::broken;
}

} // namespace

request_driver::request_driver(request_environment& environment, admitted_request request,
                               respond_function respond)
    : m_environment(environment), m_request(std::move(request)), m_respond(std::move(respond)),
      m_dispatch(m_request.m_dispatch, environment.m_dispatch_context, environment.m_clock.now()),
      m_started_at(environment.m_clock.now()), m_timer(environment.m_loop),
      m_common_head(environment.m_protocol.common_head(m_request.m_request, m_request.m_account)),
      m_attempt_charge(environment.m_memory, memory_use::request),
      m_reply_charge(environment.m_memory, memory_use::reply)
{
}

void request_driver::start()
{
    execute(m_dispatch.start(m_environment.m_clock.now()));
}

void request_driver::end_early()
{
    if (!m_is_ended)
    {
        execute(m_dispatch.end_early(forwarding::failure_reason::stopping, m_environment.m_clock.now()));
    }
}

void request_driver::cancel()
{
    if (m_is_ended)
    {
        return;
    }
    m_is_ended = true;
    const time_point now = m_environment.m_clock.now();
    log_end("caller_gone", "caller_gone", 0, nullptr, now);
    execute(m_dispatch.cancel());
}

void request_driver::log_end(std::string_view outcome, std::string_view reason, unsigned status,
                             const forwarding::gathered* result, time_point now)
{
    const time_point arrived = m_request.m_dispatch.m_arrived;
    request_entry entry;
    entry.m_request_id = m_request.m_metadata.m_request_id;
    entry.m_fingerprint = m_request.m_dispatch.m_fingerprint;
    entry.m_route = m_request.m_route->m_name;
    entry.m_account = m_request.m_account;
    entry.m_priority = m_request.m_dispatch.m_priority;
    entry.m_outcome = outcome;
    entry.m_reason = reason;
    entry.m_status = status;
    entry.m_latency = now - arrived;
    entry.m_limit_wait = m_started_at - arrived;
    entry.m_attempts = m_dispatch.attempts();
    entry.m_hedges = m_dispatch.hedges();
    entry.m_longest_hand_over = m_dispatch.longest_hand_over();
    if (result != nullptr)
    {
        entry.m_missing = result->m_missing;
        entry.m_missing_shards = result->m_missing_shards;
    }
    entry.m_version = m_request.m_table->version();
    entry.m_version_age = m_environment.m_configuration_lease.age(now);
    m_environment.m_log.add(entry);
}

bool request_driver::may_send() const
{
    return m_request.m_account.empty() ||
           m_environment.m_configuration_lease.is_valid(m_environment.m_clock.now());
}

milliseconds request_driver::time_left(time_point now) const
{
    return std::chrono::duration_cast<milliseconds>(m_request.m_dispatch.m_response_deadline - now);
}

void request_driver::execute(const std::vector<forwarding::dispatch_action>& actions)
{
    // keeps this object alive until the end of the function, also if the last attempt ends within it
    const auto self = shared_from_this();
    for (const forwarding::dispatch_action& action : actions)
    {
        std::visit(overloaded{[this](const forwarding::send_attempt& each) { send(each); },
                              [this](const forwarding::release_attempt& each)
                              {
                                  release(each.m_attempt);
                              }},
                   action);
    }
    respond_if_finished();
    if (m_environment.m_dispatch_context.m_crash_guard.has_trial_updates())
    {
        m_environment.m_send();
    }
    arm();
}

void request_driver::send(const forwarding::send_attempt& action)
{
    const time_point now = m_environment.m_clock.now();
    const milliseconds left = time_left(now);
    if (!may_send() || left <= milliseconds::zero())
    {
        asio::post(m_environment.m_loop, [self = shared_from_this(), attempt = action.m_attempt]
                   { self->on_attempt_end(attempt, exchange_failure::not_sent); });
        return;
    }
    exchange next;
    next.m_bytes = m_common_head +
                   m_environment.m_protocol.attempt_fields(action.m_upstream->entry().m_instance, left) +
                   "\r\n" + m_request.m_request.m_body;
    m_attempt_charge.add(next.m_bytes.size());
    next.m_is_head = m_request.m_request.m_method == "HEAD";
    next.m_may_send = [self = shared_from_this()]
    {
        return self->may_send();
    };
    next.m_on_handed_over = [self = shared_from_this(), attempt = action.m_attempt]
    {
        self->m_dispatch.on_handed_over(attempt, self->m_environment.m_clock.now());
    };
    next.m_match = [self = shared_from_this()](const http_response& response)
    {
        return self->m_environment.m_protocol.match(response, self->m_request.m_metadata.m_request_id);
    };
    next.m_on_end = [self = shared_from_this(), attempt = action.m_attempt](exchange_result result)
    {
        self->on_attempt_end(attempt, std::move(result));
    };
    const auto connection = m_environment.m_pool.acquire(action.m_upstream);
    m_running.emplace(action.m_attempt, connection);
    connection->start(std::move(next));
}

void request_driver::release(forwarding::attempt_number attempt)
{
    if (m_running.count(attempt) > 0)
    {
        m_close_released_at =
            std::min(m_close_released_at, m_environment.m_clock.now() + released_attempt_grace);
    }
}

void request_driver::count_end(forwarding::attempt_number attempt, std::string_view result)
{
    m_environment.m_log.count_attempt(m_dispatch.upstream_of(attempt).entry().m_service, result);
}

void request_driver::log_failure(forwarding::attempt_number attempt, forwarding::attempt_failure failure)
{
    const forwarding::upstream& target = m_dispatch.upstream_of(attempt);
    m_environment.m_log.write(
        log_level::warning, "attempt_failed",
        {{"request_id", m_request.m_metadata.m_request_id},
         {"attempt", std::uint64_t{attempt}},
         {"service", target.entry().m_service},
         {"instance", target.entry().m_instance},
         {"request", std::string_view{m_request.m_dispatch.m_fingerprint}.substr(0, fingerprint_digits)},
         {"failure", forwarding::to_string(failure)},
         {"failure_ratio", target.failure_ratio()}});
}

void request_driver::handle_notice(forwarding::attempt_number attempt, const http_response& response,
                                   time_point now)
{
    const parsed_notice reading = m_environment.m_protocol.read_notice(response);
    const forwarding::upstream& from = m_dispatch.upstream_of(attempt);
    if (!reading.m_invalid_value.empty())
    {
        m_environment.m_log.write(
            log_level::warning, "unreadable_notice",
            {{"instance", from.entry().m_instance}, {"value", reading.m_invalid_value}});
    }
    const forwarding::upstream_notice& notice = reading.m_notice;
    m_dispatch.on_notice(attempt, notice, now);
    if (reading.m_load_fault != load_fault::none)
    {
        m_environment.m_log.count_unreadable_load(from.entry().m_instance, to_string(reading.m_load_fault));
    }
    if (!notice.is_request())
    {
        return;
    }
    m_environment.m_log.write(
        log_level::info, "upstream_notice",
        {{"instance", from.entry().m_instance},
         {"service", from.entry().m_service},
         {"leaving", std::uint64_t{notice.m_is_leaving ? 1U : 0U}},
         {"pause_ms", static_cast<std::uint64_t>(notice.m_pause.value_or(milliseconds{0}).count())}});
}

void request_driver::on_attempt_end(forwarding::attempt_number attempt, exchange_result result)
{
    m_running.erase(attempt);
    const time_point now = m_environment.m_clock.now();
    attempt_outcome outcome =
        std::visit(overloaded{[&](received_response& response)
                              {
                                  handle_notice(attempt, response.m_response, now);
                                  return m_environment.m_protocol.read_response(std::move(response));
                              },
                              [](exchange_failure failure)
                              {
                                  return attempt_outcome{attempt_failure_of(failure)};
                              }},
                   result);
    if (auto* reply = std::get_if<forwarding::upstream_reply>(&outcome))
    {
        count_end(attempt, "replied");
        m_reply_charge.add(reply->m_body.size());
        execute(m_dispatch.on_reply(attempt, std::move(*reply), now));
        return;
    }
    const auto failure = std::get<forwarding::attempt_failure>(outcome);
    count_end(attempt, forwarding::to_string(failure));
    log_failure(attempt, failure);
    execute(m_dispatch.on_failure(attempt, failure, now));
}

void request_driver::arm()
{
    if (m_is_ended && m_running.empty())
    {
        m_is_armed = false;
        m_timer.cancel();
        return;
    }
    const time_point wakeup =
        m_is_ended ? m_close_released_at : std::min(m_dispatch.next_wakeup(), m_close_released_at);
    if (wakeup == time_point::max())
    {
        return;
    }
    // while the request runs, a timer that expires too early costs less than to set it with each reply
    if (m_is_armed && (m_is_ended ? m_wakeup == wakeup : m_wakeup <= wakeup))
    {
        return;
    }
    const time_point now = m_environment.m_clock.now();
    m_is_armed = true;
    m_wakeup = std::max(wakeup, now);
    m_timer.expires_after(m_wakeup - now);
    m_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error)
        {
            if (!error)
            {
                self->m_is_armed = false;
                self->on_timer();
            }
        });
}

void request_driver::on_timer()
{
    const time_point now = m_environment.m_clock.now();
    if (now >= m_close_released_at)
    {
        m_close_released_at = time_point::max();
        // attempts of a finished request, and attempts that are obsolete because another one was answered
        std::vector<forwarding::attempt_number> ended;
        for (const auto& [attempt, connection] : m_running)
        {
            if (m_is_ended || m_dispatch.is_released(attempt))
            {
                ended.push_back(attempt);
            }
        }
        for (const forwarding::attempt_number attempt : ended)
        {
            const auto connection = m_running.at(attempt);
            m_running.erase(attempt);
            connection->close();
            count_end(attempt, forwarding::to_string(forwarding::attempt_failure::abandoned));
            m_dispatch.on_abandoned(attempt, now);
        }
    }
    if (m_is_ended)
    {
        arm();
        return;
    }
    // the loop looks for input before it runs a timer that has expired
    execute(m_dispatch.on_timer(now, m_wakeup));
}

void request_driver::respond_if_finished()
{
    if (m_is_ended || !m_dispatch.is_finished())
    {
        return;
    }
    std::visit(
        overloaded{[this](const forwarding::forwarded& result)
                   {
                       const forwarding::upstream_reply& reply = result.m_reply;
                       send_response({reply.m_status, reply.m_fields, reply.m_body}, "forwarded",
                                     reply.is_success() ? "" : "upstream_status");
                   },
                   [this](const forwarding::gathered& result)
                   {
                       std::vector<std::string_view> bodies;
                       for (const forwarding::upstream_reply& reply : result.m_shard_replies)
                       {
                           bodies.emplace_back(reply.m_body);
                       }
                       send_response({ok, m_environment.m_protocol.gathered_fields(result),
                                      forwarding::greatest_records(bodies, result.m_max_records)},
                                     "gathered", "");
                   },
                   [this](const forwarding::unanswered& result)
                   {
                       const std::string_view reason = forwarding::to_string(result.m_reason);
                       if (result.m_verdict == verdict::not_run)
                       {
                           send_response(refusal(service_unavailable, result.m_retry_after), "refused",
                                         reason);
                           return;
                       }
                       const bool is_late = result.m_reason == forwarding::failure_reason::timed_out;
                       send_response({is_late ? gateway_timeout : bad_gateway, {}, {}}, "failed", reason);
                   }},
        m_dispatch.result());
}

void request_driver::send_response(http_response response, std::string_view outcome, std::string_view reason)
{
    m_is_ended = true;
    const time_point now = m_environment.m_clock.now();
    log_end(outcome, reason, response.m_status, std::get_if<forwarding::gathered>(&m_dispatch.result()), now);
    m_close_released_at = std::min(m_close_released_at, now + released_attempt_grace);
    m_respond(std::move(response));
}

} // namespace teasellead::runtime
