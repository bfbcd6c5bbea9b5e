#include "teasellead/entry/request_handler.hpp"

#include <algorithm>
#include <exception>
#include <mutex>
#include <nlohmann/json.hpp>
#include <variant>

#include "detail/json_response.hpp"
#include "detail/request_target.hpp"
#include "detail/result_merger.hpp"
#include "teasellead/entry/wire_headers.hpp"
#include "teasellead/kernel/authentication.hpp"
#include "teasellead/kernel/fingerprint.hpp"
#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

using runtime::http_request;
using runtime::http_response;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorised = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_method_not_allowed = 405;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_internal_error = 500;
constexpr unsigned status_unknown_outcome = 502;
constexpr unsigned status_unavailable = 503;
constexpr const char* request_ids_path = "/-/request-ids";
constexpr const char* crashes_upstreams = "requests like this one crash upstreams";
constexpr std::chrono::milliseconds id_request_deadline{1000};
constexpr std::chrono::seconds retry_when_ready{1};

// the response is sent this long before the deadline, so that it reaches the caller in time
constexpr std::chrono::milliseconds min_response_margin{2};
constexpr int response_margin_divisor = 20;

std::string make_request_id()
{
    constexpr std::size_t request_id_bytes = 12;
    return random_hex(request_id_bytes);
}

/// adds the header field Retry-After, in whole seconds, at least one
void add_retry_after(http_response& response, duration retry_after)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    response.m_fields.push_back(
        {wire_header::retry_after, std::to_string(std::max<std::int64_t>(seconds.count(), 1))});
}

/// the response to a refused request; the caller may retry after @a retry_after
http_response refuse(unsigned status, const std::string& request_id, const std::string& error, verdict effect,
                     std::optional<duration> retry_after = std::nullopt)
{
    http_response response =
        detail::json_response(status, detail::error_response_body(request_id, error, effect));
    if (retry_after)
    {
        add_retry_after(response, *retry_after);
    }
    return response;
}

/// a request with a request id may be a retry, and only the host that issued the id knows whether it ran
verdict effect_of_refusal(const http_request& request)
{
    return runtime::find_field(request.m_fields, wire_header::request_id) ? verdict::may_have_run
                                                                          : verdict::not_run;
}

request_outcome outcome_of(const final_response& answer)
{
    constexpr std::uint32_t over_limit_status = 429;
    switch (answer.verdict())
    {
    case verdict::ran:
        return request_outcome::complete;
    case verdict::may_have_run:
        return request_outcome::failed;
    case verdict::not_run:
        return answer.status() == over_limit_status ? request_outcome::over_limit : request_outcome::refused;
    }
    return request_outcome::failed;
}

http_response to_response(const final_response& answer)
{
    http_response response = detail::json_response(answer.status(), answer.body());
    if (answer.retry_after().count() > 0)
    {
        add_retry_after(response, answer.retry_after());
    }
    return response;
}

time_point response_deadline(time_point arrival, std::chrono::milliseconds deadline)
{
    const duration margin = std::max<duration>(min_response_margin, deadline / response_margin_divisor);
    return arrival + deadline - margin;
}

} // namespace

/// a request that passed all checks
struct request_handler::accepted_request
{
    std::string m_request_id;
    std::optional<authenticated> m_key; ///< none on routes that need no key
    std::string m_client_account;
    std::uint32_t m_weight{1};
    shared_revision m_revision;
    const class route* m_route{nullptr}; ///< belongs to m_revision; null for a request for a request id
    std::string m_body;
    time_point m_response_deadline;
};

/// a request that awaits its response
struct request_handler::pending_request
{
    time_point m_arrival;
    http_responder m_respond;
    request_record m_record;
};

request_handler::request_handler(dependencies injected) : m_dependencies(injected)
{
}

void request_handler::begin_stop(const runtime::stop_schedule& stop)
{
    const std::scoped_lock lock{m_stop_mutex};
    m_stop = stop;
}

bool request_handler::admits(const accepted_request& accepted, time_point arrival) const
{
    const std::scoped_lock lock{m_stop_mutex};
    return !m_stop || m_stop->admits(arrival, accepted.m_response_deadline);
}

void request_handler::handle(const http_request& request, http_responder respond)
{
    const auto pending = std::make_shared<pending_request>(
        pending_request{m_dependencies.m_clock.now(), std::move(respond), {}});
    pending->m_record.m_outcome = request_outcome::refused;
    start(request, pending);
}

void request_handler::finish(const pending_request& pending, http_response response)
{
    request_record record = pending.m_record;
    record.m_latency = m_dependencies.m_clock.now() - pending.m_arrival;
    m_dependencies.m_metrics.add(record);
    m_dependencies.m_log.write(log_level::info, "answer",
                               {{"route", record.m_route},
                                {"account", record.m_client_account},
                                {"status", std::uint64_t{response.m_status}},
                                {"outcome", to_string(record.m_outcome)},
                                {"coverage", record.m_coverage},
                                {"ms", std::chrono::duration<double, std::milli>{record.m_latency}.count()}});
    pending.m_respond(std::move(response));
}

void request_handler::start(const http_request& request, const shared_pending_request& pending)
{
    std::variant<accepted_request, http_response> checked = check(request, *pending);
    if (auto* const refused = std::get_if<http_response>(&checked))
    {
        finish(*pending, std::move(*refused));
        return;
    }
    auto& accepted = std::get<accepted_request>(checked);
    if (!admits(accepted, pending->m_arrival))
    {
        finish(*pending, refuse(status_unavailable, accepted.m_request_id, "stopping",
                                effect_of_refusal(request), retry_when_ready));
        return;
    }
    if (accepted.m_route == nullptr)
    {
        finish(*pending, issue_id(accepted, pending->m_record));
        return;
    }
    if (!accepted.m_route->idempotent())
    {
        run_non_idempotent(accepted, request, pending);
        return;
    }
    run_search(std::move(accepted), pending);
}

std::variant<request_handler::accepted_request, http_response>
request_handler::check(const http_request& request, pending_request& pending)
{
    request_record& record = pending.m_record;
    const std::string path = detail::path_of(request.m_target);
    accepted_request accepted;
    accepted.m_request_id = make_request_id();
    const auto refused =
        [&](unsigned status, const std::string& error, std::optional<duration> retry = std::nullopt)
    {
        return refuse(status, accepted.m_request_id, error, effect_of_refusal(request), retry);
    };
    const admission_state allowed = m_dependencies.m_fleet.admission_allowed();
    if (allowed == admission_state::not_serving)
    {
        return refused(status_unavailable, "not ready", retry_when_ready);
    }
    accepted.m_revision = m_dependencies.m_revisions.get();
    const configuration& declared = accepted.m_revision->configuration();
    accepted.m_route = declared.find_route(path);
    const bool is_id_request = path == request_ids_path;
    if (accepted.m_route == nullptr && !is_id_request)
    {
        return refused(status_not_found, "unknown route \"" + path + "\"");
    }
    record.m_route = is_id_request ? request_ids_path : accepted.m_route->path();
    if (request.m_method != "GET" && request.m_method != "POST")
    {
        return refused(status_method_not_allowed, "method \"" + request.m_method + "\" isn't allowed");
    }
    if (!request.m_body.empty() && !nlohmann::json::accept(request.m_body))
    {
        return refused(status_bad_request, "the body isn't JSON");
    }
    accepted.m_body = request.m_body;
    accepted.m_response_deadline = response_deadline(
        pending.m_arrival, is_id_request ? id_request_deadline : accepted.m_route->deadline());
    if (!is_id_request && accepted.m_route->open())
    {
        return accepted;
    }
    if (allowed == admission_state::recheck)
    {
        return refused(status_unavailable, "checking for newer keys", retry_when_ready);
    }
    const std::string presented{runtime::find_field(request.m_fields, wire_header::key).value_or("")};
    const authentication authenticity = authenticate(declared, presented);
    const auto* const key = std::get_if<authenticated>(&authenticity);
    if (key == nullptr)
    {
        record.m_outcome = request_outcome::unauthorised;
        return refused(status_unauthorised, "missing or unknown key");
    }
    accepted.m_key = *key;
    accepted.m_client_account = key->m_client_account;
    accepted.m_weight = declared.find_client_account(key->m_client_account)->weight();
    record.m_client_account = key->m_client_account;
    return accepted;
}

http_response request_handler::issue_id(const accepted_request& accepted, request_record& record)
{
    record.m_outcome = request_outcome::complete;
    const nlohmann::json body = {
        {"request_id", m_dependencies.m_non_idempotent_handler.issue_id(accepted.m_client_account)}};
    return detail::json_response(status_ok, body.dump());
}

void request_handler::run_non_idempotent(const accepted_request& accepted, const http_request& request,
                                         const shared_pending_request& pending)
{
    const auto request_id = runtime::find_field(request.m_fields, wire_header::request_id);
    if (!request_id)
    {
        finish(*pending, refuse(status_bad_request, accepted.m_request_id,
                                "this route needs a request id from " + std::string{request_ids_path},
                                verdict::not_run));
        return;
    }
    m_dependencies.m_non_idempotent_handler.handle(
        {std::string{*request_id}, accepted.m_client_account, accepted.m_key, accepted.m_route->path(),
         accepted.m_body, accepted.m_response_deadline},
        [this, pending](const final_response& answer)
        {
            pending->m_record.m_outcome = outcome_of(answer);
            pending->m_record.m_coverage = answer.verdict() == verdict::ran ? 1.0 : 0.0;
            finish(*pending, to_response(answer));
        });
}

void request_handler::run_search(accepted_request accepted, const shared_pending_request& pending)
{
    const std::string request_id = accepted.m_request_id;
    if (!accepted.m_client_account.empty())
    {
        const admission limited = m_dependencies.m_fleet.try_admit(accepted.m_client_account);
        if (const auto* const refused = std::get_if<over_limit>(&limited))
        {
            pending->m_record.m_outcome = request_outcome::over_limit;
            finish(*pending,
                   refuse(status_too_many_requests, request_id, "over the limit of the client account",
                          verdict::not_run, refused->m_retry_after));
            return;
        }
    }
    const std::string account = accepted.m_client_account;
    const std::uint32_t weight = accepted.m_weight;
    const auto state = std::make_shared<const accepted_request>(std::move(accepted));
    const auto work = [this, state, pending]
    {
        try
        {
            finish(*pending, run(*state, pending->m_record));
        }
        catch (const std::exception&)
        {
            pending->m_record.m_outcome = request_outcome::failed;
            finish(*pending, refuse(status_internal_error, state->m_request_id, "internal error",
                                    verdict::may_have_run));
        }
    };
    if (!m_dependencies.m_workers.submit(account, weight, work))
    {
        finish(*pending,
               refuse(status_unavailable, request_id, "too many waiting requests of the client account",
                      verdict::not_run, retry_when_ready));
    }
}

std::optional<http_response> request_handler::refusal_at_dispatch(const accepted_request& accepted,
                                                                  request_record& record)
{
    const auto refused =
        [&](unsigned status, const std::string& error, std::optional<duration> retry = std::nullopt)
    {
        return refuse(status, accepted.m_request_id, error, verdict::not_run, retry);
    };
    // the key may have been withdrawn while the request was queued
    if (accepted.m_key && m_dependencies.m_fleet.admission_allowed() != admission_state::open)
    {
        return refused(status_unavailable, "checking for newer keys", retry_when_ready);
    }
    const shared_revision revision = m_dependencies.m_revisions.get();
    if (accepted.m_key &&
        !std::holds_alternative<authenticated>(reauthenticate(revision->configuration(), *accepted.m_key)))
    {
        record.m_outcome = request_outcome::unauthorised;
        return refused(status_unauthorised, "missing or unknown key");
    }
    if (m_dependencies.m_clock.now() >= accepted.m_response_deadline)
    {
        return refused(status_unavailable, "waited until the deadline", retry_when_ready);
    }
    return std::nullopt;
}

http_response request_handler::run(const accepted_request& accepted, request_record& record)
{
    if (auto refused = refusal_at_dispatch(accepted, record))
    {
        return std::move(*refused);
    }
    const std::string fingerprint =
        request_fingerprint(accepted.m_client_account, accepted.m_route->path(), accepted.m_body);
    const quarantine_check crashes =
        m_dependencies.m_quarantine.check(fingerprint, m_dependencies.m_clock.now());
    if (const auto* const quarantined = std::get_if<request_quarantined>(&crashes))
    {
        return refuse(status_unavailable, accepted.m_request_id, crashes_upstreams, verdict::not_run,
                      quarantined->retry_after());
    }
    const search_request search{accepted.m_request_id,
                                fingerprint,
                                std::make_shared<const query_plan>(accepted.m_revision, *accepted.m_route),
                                accepted.m_body,
                                accepted.m_response_deadline,
                                ++m_last_seed};
    const search_outcome outcome = m_dependencies.m_search_runner.run(search);
    if (const auto* const quarantined = std::get_if<request_quarantined>(&outcome))
    {
        record.m_outcome = request_outcome::failed;
        return refuse(status_unknown_outcome, accepted.m_request_id, crashes_upstreams, verdict::may_have_run,
                      quarantined->retry_after());
    }
    const auto& result = std::get<gather_result>(outcome);
    record.m_coverage = result.coverage().fraction();
    record.m_outcome = result.coverage().complete() ? request_outcome::complete : request_outcome::partial;
    return detail::json_response(status_ok, detail::search_response_body(accepted.m_request_id, result));
}

} // namespace teasellead
