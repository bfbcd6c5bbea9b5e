#include "operator_interface.hpp"

#include <algorithm>
#include <sstream>
#include <string_view>

#include "explain_request.hpp"
#include "text_response.hpp"

namespace teasellead::runtime
{

namespace
{

constexpr std::string_view requests_target = "/requests";
constexpr std::string_view lift_suffix = "/lift";
constexpr unsigned ok = 200;
constexpr unsigned not_found = 404;
constexpr unsigned method_not_allowed = 405;
// a shorter prefix of a fingerprint could match many requests
constexpr std::size_t min_digits = 8;

std::string_view name_of(forwarding::request_restriction standing)
{
    switch (standing)
    {
    case forwarding::request_restriction::clear:
        return "clear";
    case forwarding::request_restriction::isolated:
        return "isolated";
    case forwarding::request_restriction::refused:
        return "refused";
    }
    return "unknown";
}

http_response list_requests(const node_state& state)
{
    std::ostringstream text;
    for (const forwarding::crash_record& each : state.crashes().shared_records())
    {
        const forwarding::request_restriction standing = forwarding::restriction_of(each);
        if (standing == forwarding::request_restriction::clear)
        {
            continue;
        }
        text << each.m_fingerprint << ' ' << name_of(standing) << " lost=" << each.m_losses.size()
             << " ended=" << forwarding::ended_losses(each)
             << " lost_in_isolation=" << forwarding::isolated_losses(each) << " upstreams=";
        std::string_view separator;
        for (const forwarding::upstream_loss& loss : each.m_losses)
        {
            text << separator << loss.m_service << '/' << loss.m_process.m_instance;
            separator = ",";
        }
        text << '\n';
    }
    return text_response(ok, text.str());
}

} // namespace

bool is_operator_request(const http_request& request) noexcept
{
    const std::string_view target = request.m_target;
    return target.starts_with(requests_target) || target.starts_with(explain_target);
}

http_response handle_operator_request(const http_request& request, node_state& state)
{
    const std::string_view target = request.m_target;
    if (target.starts_with(explain_target))
    {
        const std::size_t path_end = std::min(target.find('?'), target.size());
        const std::string_view query = target.substr(std::min(path_end + 1, target.size()));
        return request.m_method == "GET" ? state.explain(query) : text_response(method_not_allowed, {});
    }
    if (target == requests_target)
    {
        return request.m_method == "GET" ? list_requests(state) : text_response(method_not_allowed, {});
    }
    const std::size_t shortest = requests_target.size() + 1 + min_digits + lift_suffix.size();
    if (!target.ends_with(lift_suffix) || target.size() < shortest)
    {
        return text_response(not_found, {});
    }
    if (request.m_method != "POST")
    {
        return text_response(method_not_allowed, {});
    }
    const std::string_view digits = target.substr(
        requests_target.size() + 1, target.size() - requests_target.size() - 1 - lift_suffix.size());
    const std::size_t lifted = state.lift_requests(digits);
    return text_response(lifted > 0 ? ok : not_found, std::to_string(lifted) + " lifted\n");
}

} // namespace teasellead::runtime
