#include "detail/upstream_message.hpp"

#include <charconv>
#include <optional>

#include "detail/request_text.hpp"
#include "teasellead/entry/wire_headers.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead::detail
{

namespace
{

using runtime::find_field;

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

template <class Number>
bool read_number(const runtime::http_response& response, const char* name, Number& value)
{
    const auto text = find_field(response.m_fields, name);
    if (!text)
    {
        return false;
    }
    const char* const end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, value);
    return error == std::errc{} && stop == end;
}

std::optional<upstream_reply> parse_reply(const runtime::http_response& response)
{
    shard_map_id shard_map = 0;
    snapshot_id snapshot = 0;
    upstream_incarnation incarnation = 0;
    std::uint32_t covered_keys = 0;
    const bool has_numbers = read_number(response, wire_header::shard_map, shard_map) &&
                             read_number(response, wire_header::snapshot, snapshot) &&
                             read_number(response, wire_header::incarnation, incarnation) &&
                             read_number(response, wire_header::covered_keys, covered_keys);
    const auto request_id = find_field(response.m_fields, wire_header::request_id);
    const auto service = find_field(response.m_fields, wire_header::service);
    const auto shard = find_field(response.m_fields, wire_header::shard);
    if (!has_numbers || !request_id || !service || !shard)
    {
        return std::nullopt;
    }
    return upstream_reply{std::string{*request_id},
                          std::string{*service},
                          std::string{*shard},
                          shard_map,
                          snapshot,
                          incarnation,
                          covered_keys,
                          response.m_body};
}

attempt_failure failure_of_status(const runtime::http_response& response)
{
    const auto reason = find_field(response.m_fields, wire_header::not_run);
    if (reason == "shed")
    {
        return attempt_failure::shed;
    }
    if (reason == "draining")
    {
        return attempt_failure::draining;
    }
    if (reason == "wrong_snapshot" && response.m_status == status_conflict)
    {
        return attempt_failure::wrong_snapshot;
    }
    return attempt_failure::invalid_reply;
}

attempt_failure failure_of(runtime::exchange_failure failure)
{
    switch (failure)
    {
    case runtime::exchange_failure::not_connected:
    case runtime::exchange_failure::not_sent:
        return attempt_failure::not_connected;
    case runtime::exchange_failure::lost:
        return attempt_failure::lost;
    case runtime::exchange_failure::malformed:
        return attempt_failure::invalid_reply;
    }
    return attempt_failure::lost;
}

std::variant<upstream_reply, attempt_failure> read_response(const runtime::http_response& response)
{
    if (response.m_status != status_ok)
    {
        return failure_of_status(response);
    }
    if (auto reply = parse_reply(response))
    {
        return std::move(*reply);
    }
    return attempt_failure::invalid_reply;
}

} // namespace

std::string sub_request_text(const sub_request& request, time_point now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.m_deadline - now);
    return request_text("POST", "/query", request.m_upstream,
                        {{"Content-Type", "application/json"},
                         {wire_header::request_id, request.m_request_id},
                         {wire_header::route, request.m_route},
                         {wire_header::service, request.m_service},
                         {wire_header::shard, request.m_shard},
                         {wire_header::shard_keys, std::to_string(request.m_shard_keys)},
                         {wire_header::shard_map, std::to_string(request.m_shard_map)},
                         {wire_header::snapshot, std::to_string(request.m_snapshot)},
                         {wire_header::deadline_ms, std::to_string(left.count())}},
                        request.m_body);
}

std::variant<upstream_reply, attempt_failure> read_outcome(const runtime::exchange_result& result)
{
    return std::visit(overloaded{[](const runtime::received_response& received)
                                 { return read_response(received.m_response); },
                                 [](runtime::exchange_failure failure)
                                 {
                                     return std::variant<upstream_reply, attempt_failure>{
                                         failure_of(failure)};
                                 }},
                      result);
}

} // namespace teasellead::detail
