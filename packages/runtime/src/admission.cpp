#include "admission.hpp"

#include <algorithm>

#include "teasellead/kernel/fingerprint.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/runtime/refusals.hpp"

namespace teasellead::runtime
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned bad_request = 400;
// subtracted from the time limit, because the response has to reach the caller within it
constexpr milliseconds response_delivery_time{8};
constexpr milliseconds not_ready_retry_after{500};

rejection reject(http_response response, const forwarding::route* target, const std::string& account,
                 std::string_view reason)
{
    return {std::move(response), target == nullptr ? std::string{} : target->m_name, account, reason};
}

} // namespace

admission_result request_admission::decide(http_request request, request_metadata metadata,
                                           const forwarding::shared_route_table& table, time_point now)
{
    if (!table)
    {
        return reject(refusal(service_unavailable, not_ready_retry_after), nullptr, {}, "no_configuration");
    }
    if (metadata.m_request_id.empty())
    {
        return reject({bad_request, {}, {}}, nullptr, {}, "no_request_id");
    }
    const auto hostname = find_field(request.m_fields, "host").value_or(std::string_view{});
    const forwarding::route* const target = table->find_route(hostname, request.m_target);
    if (target == nullptr)
    {
        return reject({not_found, {}, {}}, nullptr, {}, "unknown_route");
    }
    const forwarding::account* holder = nullptr;
    if (table->needs_key(*target))
    {
        if (!m_configuration_lease.is_valid(now))
        {
            return reject(refusal(service_unavailable, not_ready_retry_after), target, {},
                          "configuration_too_old");
        }
        holder = metadata.m_key ? table->find_account(*metadata.m_key) : nullptr;
        if (holder == nullptr)
        {
            return reject({unauthorised, {}, {}}, target, {}, "unknown_key");
        }
    }
    std::string account = holder == nullptr ? std::string{} : holder->m_name;
    forwarding::dispatch_request planned = plan(*target, metadata, now);
    planned.m_account = account;
    planned.m_body_bytes = request.m_body.size();
    planned.m_priority = holder != nullptr && holder->m_priority ? *holder->m_priority : target->m_priority;
    planned.m_fingerprint =
        request_fingerprint(account, request.m_method + " " + request.m_target, request.m_body);
    return admitted_request{std::move(request), std::move(metadata), std::move(account), table, target,
                            std::move(planned)};
}

forwarding::dispatch_request request_admission::plan(const forwarding::route& target,
                                                     const request_metadata& metadata, time_point now)
{
    forwarding::dispatch_request result;
    result.m_route = target.m_name;
    result.m_repeatability = target.m_repeatability;
    result.m_max_attempts = std::max<std::uint32_t>(target.m_max_attempts, 1);
    result.m_objective = target.m_objective;
    result.m_arrived = now;
    std::visit(overloaded{[&result](const forwarding::one_service& each)
                          { result.m_services = {each.m_service}; },
                          [this, &result, &target](const forwarding::traffic_split& each)
                          { result.m_services = {m_divider.choose(target.m_name, each)}; },
                          [&result](const forwarding::scatter& each)
                          {
                              result.m_services = each.m_shards;
                              result.m_scatter = each;
                          }},
               target.m_target);
    const milliseconds limit = std::min(metadata.m_time_limit.value_or(target.m_timeout), target.m_timeout);
    result.m_response_deadline = now + std::max(limit - response_delivery_time, milliseconds{1});
    return result;
}

} // namespace teasellead::runtime
