#include "detail/fleet_summary.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "teasellead/kernel/overloaded.hpp"

namespace teasellead::detail
{

namespace
{

using summaries_by_name = std::map<std::string, request_summary>;

double mean_coverage(const request_summary& lhs, const request_summary& rhs) noexcept
{
    const auto lhs_weight = static_cast<double>(answered(lhs));
    const auto rhs_weight = static_cast<double>(answered(rhs));
    const double weight = lhs_weight + rhs_weight;
    return weight > 0.0 ? (lhs.m_mean_coverage * lhs_weight + rhs.m_mean_coverage * rhs_weight) / weight
                        : 0.0;
}

request_summary add(const request_summary& lhs, const request_summary& rhs)
{
    return {rhs.m_name,
            lhs.m_complete + rhs.m_complete,
            lhs.m_partial + rhs.m_partial,
            lhs.m_refused + rhs.m_refused,
            lhs.m_over_limit + rhs.m_over_limit,
            lhs.m_unauthorised + rhs.m_unauthorised,
            lhs.m_failed + rhs.m_failed,
            mean_coverage(lhs, rhs),
            std::max(lhs.m_p50, rhs.m_p50),
            std::max(lhs.m_p90, rhs.m_p90),
            std::max(lhs.m_p99, rhs.m_p99)};
}

void add_all(summaries_by_name& sums, const std::vector<request_summary>& summaries)
{
    for (const request_summary& summary : summaries)
    {
        request_summary& sum = sums[summary.m_name];
        sum = add(sum, summary);
    }
}

std::vector<request_summary> values(const summaries_by_name& sums)
{
    std::vector<request_summary> result;
    for (const auto& [name, sum] : sums)
    {
        result.push_back(sum);
    }
    return result;
}

void add_upstreams(std::map<endpoint, upstream_summary>& sums,
                   const std::vector<reported_upstream>& upstreams)
{
    for (const reported_upstream& upstream : upstreams)
    {
        upstream_summary& sum = sums[upstream.m_upstream];
        sum.m_state = std::max(sum.m_state, upstream.m_state);
        sum.m_in_flight += upstream.m_in_flight;
        sum.m_draining = sum.m_draining || upstream.m_draining;
        sum.m_services.insert(upstream.m_services.begin(), upstream.m_services.end());
    }
}

} // namespace

fleet_summary summarise(const fleet_report& report)
{
    fleet_summary result;
    summaries_by_name routes;
    summaries_by_name client_accounts;
    const overloaded add_answer{[&](const node_report& node)
                                {
                                    result.m_nodes.push_back(node);
                                    add_all(routes, node.m_routes);
                                    add_all(client_accounts, node.m_client_accounts);
                                    add_upstreams(result.m_upstreams, node.m_upstreams);
                                },
                                [&](const unreachable_node& node)
                                {
                                    result.m_unreachable.push_back(node);
                                }};
    for (const node_result& answer : report.m_results)
    {
        std::visit(add_answer, answer);
    }
    result.m_routes = values(routes);
    result.m_client_accounts = values(client_accounts);
    return result;
}

std::uint64_t answered(const request_summary& summary) noexcept
{
    return summary.m_complete + summary.m_partial;
}

std::uint64_t total(const request_summary& summary) noexcept
{
    return answered(summary) + summary.m_refused + summary.m_over_limit + summary.m_unauthorised +
           summary.m_failed;
}

std::string to_percentage(double fraction)
{
    constexpr double hundredths_of_percent = 10'000.0;
    constexpr double per_percent = 100.0;
    constexpr std::size_t buffer_size = 32;
    const double percent = std::floor(fraction * hundredths_of_percent) / per_percent;
    std::array<char, buffer_size> text{};
    (void)std::snprintf(text.data(), text.size(), "%.2f%%", percent);
    return text.data();
}

std::string route_name(const request_summary& summary)
{
    return summary.m_name.empty() ? "(unknown path)" : summary.m_name;
}

std::string client_account_name(const request_summary& summary)
{
    return summary.m_name.empty() ? "(no client account)" : summary.m_name;
}

} // namespace teasellead::detail
