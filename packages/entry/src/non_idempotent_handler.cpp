#include "teasellead/entry/non_idempotent_handler.hpp"

#include <algorithm>
#include <exception>
#include <memory>
#include <variant>

#include "detail/result_merger.hpp"
#include "detail/timed_listener.hpp"
#include "teasellead/kernel/fingerprint.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead
{

namespace
{

constexpr std::uint32_t status_ok = 200;
constexpr std::uint32_t status_bad_request = 400;
constexpr std::uint32_t status_unauthorised = 401;
constexpr std::uint32_t status_not_found = 404;
constexpr std::uint32_t status_conflict = 409;
constexpr std::uint32_t status_too_many_requests = 429;
constexpr std::uint32_t status_unknown_outcome = 502;
constexpr std::uint32_t status_unavailable = 503;
constexpr std::chrono::milliseconds retry_soon{1000};

// a request is sent only in the first 1/send_window_divisor of its time, so that the reply can still arrive
constexpr int send_window_divisor = 2;

final_response make_error(std::uint32_t status, const std::string& request_id, std::string_view error,
                          verdict effect,
                          std::chrono::milliseconds retry_after = std::chrono::milliseconds{0})
{
    return {status, detail::error_response_body(request_id, std::string{error}, effect), effect, retry_after};
}

final_response make_unknown(const std::string& request_id, std::string_view error)
{
    return make_error(status_unknown_outcome, request_id, error, verdict::may_have_run, retry_soon);
}

std::chrono::milliseconds in_milliseconds(duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(value);
}

final_response to_answer(const std::string& request_id, const single_result& result)
{
    return std::visit(
        overloaded{[&](const single_completed& completed)
                   {
                       return final_response{status_ok,
                                             detail::single_response_body(request_id, completed.body()),
                                             verdict::ran, std::chrono::milliseconds{0}};
                   },
                   [&](const single_refused& refused)
                   {
                       return make_error(status_unavailable, request_id, to_string(refused.reason()),
                                         verdict::not_run, refused.retry_after());
                   },
                   [&](const single_unknown& unknown)
                   {
                       return make_unknown(request_id, to_string(unknown.failure()));
                   }},
        result);
}

final_response refuse_id(const std::string& request_id, request_id_error error)
{
    const verdict effect = verdict_of(error);
    const std::uint32_t status = effect == verdict::not_run ? status_bad_request : status_unknown_outcome;
    return make_error(status, request_id, "request id: " + std::string{to_string(error)}, effect);
}

} // namespace

non_idempotent_handler::non_idempotent_handler(dependencies injected) : m_dependencies(injected)
{
    m_dependencies.m_fleet.on_forwarded([this](const forwarded_request& forwarded)
                                        { on_forwarded(forwarded); });
}

non_idempotent_handler::~non_idempotent_handler()
{
    m_dependencies.m_fleet.on_forwarded({});
}

std::string non_idempotent_handler::issue_id(const std::string& client_account)
{
    return m_dependencies.m_id_issuer.issue(client_account, m_dependencies.m_clock.now());
}

void non_idempotent_handler::handle(const non_idempotent_request& request, response_listener on_answer)
{
    const time_point now = m_dependencies.m_clock.now();
    const auto check = m_dependencies.m_id_issuer.check(request.m_request_id, request.m_client_account, now);
    std::visit(overloaded{[&](const own_request_id& id)
                          {
                              admit(request, id,
                                    detail::make_timed_listener(
                                        m_dependencies.m_loop, request.m_response_deadline - now,
                                        make_unknown(request.m_request_id, "the request still runs"),
                                        std::move(on_answer)));
                          },
                          [&](const foreign_request_id& id) { forward(request, id, std::move(on_answer)); },
                          [&](const refused_request_id& refused)
                          {
                              on_answer(refuse_id(request.m_request_id, refused.error()));
                          }},
               check);
}

void non_idempotent_handler::forward(const non_idempotent_request& request, const foreign_request_id& id,
                                     response_listener on_answer)
{
    const duration remaining = request.m_response_deadline - m_dependencies.m_clock.now();
    m_dependencies.m_log.write(log_level::info, "forward",
                               {{"request", request.m_request_id}, {"host", id.issuing_host().to_string()}});
    const auto correlation = std::make_shared<std::uint64_t>(0);
    response_listener listener = detail::make_timed_listener(
        m_dependencies.m_loop, remaining,
        make_unknown(request.m_request_id, "the host that keeps the request id doesn't answer"),
        [this, correlation, on_answer = std::move(on_answer)](const final_response& answer)
        {
            m_dependencies.m_fleet.cancel_forward(*correlation);
            on_answer(answer);
        });
    const forward_request message{0,
                                  request.m_client_account,
                                  request.m_route,
                                  request.m_request_id,
                                  request.m_body,
                                  std::chrono::floor<std::chrono::milliseconds>(remaining)};
    // no race: the number is read on the loop's thread, which also runs this function
    *correlation = m_dependencies.m_fleet.forward(
        id.issuing_host(), message,
        [listener = std::move(listener)](const forward_reply& reply) {
            listener({reply.m_status, reply.m_body, reply.m_verdict, reply.m_retry_after});
        });
}

void non_idempotent_handler::on_forwarded(const forwarded_request& forwarded)
{
    const forward_request& source = forwarded.m_request;
    const time_point now = m_dependencies.m_clock.now();
    const auto reply =
        [this, sender = forwarded.m_sender, correlation = source.m_correlation](const final_response& answer)
    {
        m_dependencies.m_fleet.reply(
            sender, {correlation, answer.status(), answer.body(), answer.verdict(), answer.retry_after()});
    };
    const auto check = m_dependencies.m_id_issuer.check(source.m_request_id, source.m_client_account, now);
    if (const auto* const id = std::get_if<own_request_id>(&check))
    {
        const non_idempotent_request request{source.m_request_id, source.m_client_account,
                                             std::nullopt,        source.m_route,
                                             source.m_body,       now + source.m_remaining};
        admit(request, *id, reply);
        return;
    }
    // a forwarded request isn't forwarded again
    const auto* const refused = std::get_if<refused_request_id>(&check);
    reply(refused != nullptr ? refuse_id(source.m_request_id, refused->error())
                             : make_unknown(source.m_request_id, "the request id names another host"));
}

void non_idempotent_handler::admit(const non_idempotent_request& request, const own_request_id& id,
                                   const response_listener& on_answer)
{
    const std::string fingerprint =
        request_fingerprint(request.m_client_account, request.m_route, request.m_body);
    const auto outcome =
        m_dependencies.m_memory.admit(id, fingerprint, on_answer, m_dependencies.m_clock.now());
    std::visit(
        overloaded{
            [&](const request_admitted&) { enqueue(request, id, on_answer); }, [](const request_running&) {},
            [&](const request_ended& ended) { on_answer(ended.response()); },
            [&](const answer_dropped& dropped)
            {
                on_answer(make_error(status_conflict, request.m_request_id,
                                     "the answer was too large to be remembered", dropped.verdict()));
            },
            [&](const admission_refused& refused)
            {
                const bool is_conflict = refused.error() == admission_error::other_request;
                on_answer(make_error(is_conflict ? status_conflict : status_unavailable, request.m_request_id,
                                     to_string(refused.error()), refused.verdict(), retry_soon));
            }},
        outcome);
}

void non_idempotent_handler::enqueue(const non_idempotent_request& request, const own_request_id& id,
                                     const response_listener& on_answer)
{
    const shared_revision revision = m_dependencies.m_revisions.get();
    const client_account* const account =
        revision->configuration().find_client_account(request.m_client_account);
    const auto finish = [this, id, on_answer](const final_response& answer)
    {
        m_dependencies.m_memory.complete(id, answer);
        on_answer(answer);
    };
    const auto work = [this, request, finish]
    {
        try
        {
            const std::string fingerprint =
                request_fingerprint(request.m_client_account, request.m_route, request.m_body);
            finish(run(request, fingerprint));
        }
        catch (const std::exception&)
        {
            finish(make_unknown(request.m_request_id, "internal error"));
        }
    };
    if (!m_dependencies.m_workers.submit(request.m_client_account, account == nullptr ? 1 : account->weight(),
                                         work))
    {
        finish(make_error(status_unavailable, request.m_request_id,
                          "too many waiting requests of the client account", verdict::not_run, retry_soon));
    }
}

std::optional<final_response>
non_idempotent_handler::refusal_at_dispatch(const non_idempotent_request& request)
{
    const auto refuse =
        [&request](std::uint32_t status, const char* error, std::chrono::milliseconds retry_after)
    {
        return make_error(status, request.m_request_id, error, verdict::not_run, retry_after);
    };
    if (m_dependencies.m_fleet.admission_allowed() != admission_state::open)
    {
        return refuse(status_unavailable, "checking for newer keys", retry_soon);
    }
    const shared_revision revision = m_dependencies.m_revisions.get();
    if (request.m_key &&
        !std::holds_alternative<authenticated>(reauthenticate(revision->configuration(), *request.m_key)))
    {
        return refuse(status_unauthorised, "missing or unknown key", std::chrono::milliseconds{0});
    }
    const std::string fingerprint =
        request_fingerprint(request.m_client_account, request.m_route, request.m_body);
    const auto crashes = m_dependencies.m_quarantine.check(fingerprint, m_dependencies.m_clock.now());
    if (const auto* const quarantined = std::get_if<request_quarantined>(&crashes))
    {
        return refuse(status_unavailable, "requests like this one crash upstreams",
                      quarantined->retry_after());
    }
    const admission limited = m_dependencies.m_fleet.try_admit(request.m_client_account);
    if (const auto* const over = std::get_if<over_limit>(&limited))
    {
        return refuse(status_too_many_requests, "over the limit of the client account",
                      in_milliseconds(over->m_retry_after));
    }
    return std::nullopt;
}

final_response non_idempotent_handler::run(const non_idempotent_request& request,
                                           const std::string& fingerprint)
{
    const shared_revision revision = m_dependencies.m_revisions.get();
    const route* const found = revision->configuration().find_route(request.m_route);
    if (found == nullptr || found->idempotent())
    {
        return make_error(status_not_found, request.m_request_id, "unknown route \"" + request.m_route + "\"",
                          verdict::not_run);
    }
    if (auto refused = refusal_at_dispatch(request))
    {
        return std::move(*refused);
    }
    const time_point now = m_dependencies.m_clock.now();
    const time_point send_deadline = now + (request.m_response_deadline - now) / send_window_divisor;
    if (now >= send_deadline)
    {
        return make_error(status_unavailable, request.m_request_id, "waited until the deadline",
                          verdict::not_run, retry_soon);
    }
    const single_run wanted{
        request.m_request_id, fingerprint,   std::make_shared<const query_plan>(revision, *found),
        request.m_body,       send_deadline, request.m_response_deadline,
        ++m_last_seed};
    return to_answer(request.m_request_id, m_dependencies.m_runner.run(wanted));
}

} // namespace teasellead
