#include "explain_request.hpp"

#include <algorithm>
#include <sstream>
#include <vector>

#include "teasellead/kernel/fingerprint.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/kernel/percent_encoding.hpp"
#include "text_response.hpp"

namespace teasellead::runtime
{

namespace
{

constexpr unsigned ok = 200;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned service_unavailable = 503;

/// the value of a name in a query; empty if it is missing
std::string value_of(std::string_view query, std::string_view name)
{
    while (!query.empty())
    {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=')
        {
            return percent_decoded(pair.substr(name.size() + 1));
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

std::vector<std::string> services_of(const forwarding::route& target)
{
    std::vector<std::string> result;
    std::visit(overloaded{[&result](const forwarding::one_service& each) { result = {each.m_service}; },
                          [&result](const forwarding::traffic_split& each)
                          {
                              for (const forwarding::weighted_service& part : each.m_services)
                              {
                                  result.push_back(part.m_service);
                              }
                          },
                          [&result](const forwarding::scatter& each)
                          {
                              result = each.m_shards;
                          }},
               target.m_target);
    return result;
}

std::uint32_t priority_of(const forwarding::route& target, const forwarding::declarations& content,
                          const std::string& account)
{
    const auto holder =
        std::find_if(content.m_accounts.begin(), content.m_accounts.end(),
                     [&account](const forwarding::account& each) { return each.m_name == account; });
    return holder != content.m_accounts.end() && holder->m_priority ? *holder->m_priority : target.m_priority;
}

double milliseconds_of(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

void write_candidate(std::ostream& text, const forwarding::upstream_candidate& each, std::string_view reason,
                     time_point now)
{
    const forwarding::upstream& target = *each.m_upstream;
    text << "  " << target.entry().m_instance << " data_centre=" << target.entry().m_data_centre
         << " expected_ms=" << milliseconds_of(each.m_expected.total())
         << " wait_ms=" << milliseconds_of(each.m_expected.m_wait)
         << " run_ms=" << milliseconds_of(each.m_expected.m_run)
         << " distance_ms=" << milliseconds_of(each.m_expected.m_distance)
         << " risk_ms=" << milliseconds_of(each.m_expected.m_risk)
         << " work_factor=" << each.m_expected.m_work_factor << " slowness=" << target.slowness()
         << " failure_ratio=" << target.expected_failure_ratio(now) << " in_flight=" << target.in_flight()
         << '/' << target.entry().m_capacity << ": " << reason << '\n';
}

void write_service(std::ostream& text, const std::string& service, const forwarding::request_profile& profile,
                   const forwarding::dispatch_context& context, time_point now)
{
    const forwarding::work_estimate work = context.m_work.estimate(profile, service);
    text << "service " << service << " work_ms=" << milliseconds_of(work.m_mean)
         << " usual_work_ms=" << milliseconds_of(work.m_service_mean);
    if (work.m_late_ratio)
    {
        text << " late_ratio=" << *work.m_late_ratio;
    }
    text << '\n';
    bool is_first = true;
    for (const auto& each : context.m_directory.candidates(service, work, context.m_has_capacity, now))
    {
        const bool is_usable = each.m_state == forwarding::candidate_state::usable;
        const std::string_view order = is_first ? "chosen" : "later";
        write_candidate(text, each, is_usable ? order : to_string(each.m_state), now);
        is_first = false;
    }
    if (is_first)
    {
        text << "  no upstream is known\n";
    }
}

} // namespace

http_response explain_request(std::string_view query, const forwarding::shared_route_table& table,
                              const forwarding::dispatch_context& context, time_point now)
{
    const std::string host = value_of(query, "host");
    const std::string path = value_of(query, "path");
    const std::string account = value_of(query, "account");
    if (host.empty() || path.empty())
    {
        return text_response(bad_request, "host and path are needed\n");
    }
    if (!table)
    {
        return text_response(service_unavailable, "no configuration\n");
    }
    const forwarding::route* const target = table->find_route(host, path);
    if (target == nullptr)
    {
        return text_response(not_found, "no route matches\n");
    }
    const forwarding::request_profile profile{target->m_name, request_fingerprint(account, "GET " + path, {}),
                                              0};
    std::ostringstream text;
    text << "route " << target->m_name << " priority=" << priority_of(*target, table->content(), account)
         << " objective_ms=" << target->m_objective.count() << " configuration=" << table->version() << '\n';
    for (const std::string& service : services_of(*target))
    {
        write_service(text, service, profile, context, now);
    }
    return text_response(ok, text.str());
}

} // namespace teasellead::runtime
