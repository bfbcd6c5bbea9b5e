#include <algorithm>
#include <set>

#include "detail/fleet_summary.hpp"
#include "teasellead/ctl/fleet_report.hpp"

namespace teasellead
{

namespace
{

using detail::fleet_summary;
using sentences = std::vector<std::string>;

constexpr double min_coverage = 0.99;
constexpr double max_failed_fraction = 0.01;
constexpr double max_refused_fraction = 0.01;
constexpr std::chrono::seconds max_confirmation_age{60};

std::string counted(std::size_t count, const std::string& noun)
{
    return std::to_string(count) + ' ' + noun + (count == 1 ? "" : "s");
}

double fraction(std::uint64_t part, std::uint64_t whole) noexcept
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

void add_unreachable(const fleet_summary& fleet, sentences& problems)
{
    if (fleet.m_nodes.empty())
    {
        problems.emplace_back("no node answers");
    }
    else if (!fleet.m_unreachable.empty())
    {
        problems.push_back(counted(fleet.m_unreachable.size(), "node") + " unreachable");
    }
}

void add_not_ready(const fleet_summary& fleet, sentences& problems)
{
    // a leaving node is intentionally not ready
    const auto count =
        std::count_if(fleet.m_nodes.begin(), fleet.m_nodes.end(),
                      [](const node_report& node) { return !node.m_ready && !node.m_leaving; });
    if (count > 0)
    {
        problems.push_back(counted(static_cast<std::size_t>(count), "node") + " not ready");
    }
}

void add_failed(const std::vector<request_summary>& client_accounts, sentences& problems)
{
    for (const request_summary& account : client_accounts)
    {
        const double failed = fraction(account.m_failed, detail::total(account));
        if (failed > max_failed_fraction)
        {
            problems.push_back(detail::to_percentage(failed) + " failed for " +
                               detail::client_account_name(account));
        }
    }
}

void add_refused(const std::vector<request_summary>& client_accounts, sentences& problems)
{
    for (const request_summary& account : client_accounts)
    {
        const double refused = fraction(account.m_refused, detail::total(account));
        if (refused > max_refused_fraction)
        {
            problems.push_back(detail::to_percentage(refused) + " refused for " +
                               detail::client_account_name(account));
        }
    }
}

void add_low_coverage(const std::vector<request_summary>& routes, sentences& problems)
{
    for (const request_summary& route : routes)
    {
        if (detail::answered(route) > 0 && route.m_mean_coverage < min_coverage)
        {
            problems.push_back("coverage " + detail::to_percentage(route.m_mean_coverage) + " of " +
                               detail::route_name(route));
        }
    }
}

void add_configuration(const fleet_summary& fleet, sentences& problems)
{
    std::set<std::uint64_t> rejected;
    std::set<std::uint64_t> in_force;
    std::size_t unconfirmed = 0;
    for (const node_report& node : fleet.m_nodes)
    {
        in_force.insert(node.m_revision);
        unconfirmed += node.m_revision_age > max_confirmation_age ? 1 : 0;
        if (node.m_rejection)
        {
            rejected.insert(node.m_rejection->m_revision);
        }
    }
    for (const std::uint64_t revision : rejected)
    {
        problems.push_back("configuration " + std::to_string(revision) + " rejected");
    }
    if (in_force.size() > 1)
    {
        problems.push_back("configurations differ: " + std::to_string(*in_force.begin()) + " to " +
                           std::to_string(*in_force.rbegin()));
    }
    if (unconfirmed > 0)
    {
        problems.push_back("configuration unconfirmed at " + counted(unconfirmed, "node"));
    }
}

// a cold upstream without load is no problem: it may belong to a service that receives no requests
bool is_cold_under_load(const detail::upstream_summary& upstream) noexcept
{
    return upstream.m_state == reported_state::cold && upstream.m_in_flight > 0;
}

void add_cold(const fleet_summary& fleet, sentences& problems)
{
    const auto count = std::count_if(fleet.m_upstreams.begin(), fleet.m_upstreams.end(),
                                     [](const auto& entry) { return is_cold_under_load(entry.second); });
    if (count > 0)
    {
        problems.push_back(counted(static_cast<std::size_t>(count), "upstream") + " cold under load");
    }
}

} // namespace

std::vector<std::string> find_problems(const fleet_report& report)
{
    const fleet_summary fleet = detail::summarise(report);
    sentences problems;
    add_unreachable(fleet, problems);
    add_not_ready(fleet, problems);
    add_failed(fleet.m_client_accounts, problems);
    add_refused(fleet.m_client_accounts, problems);
    add_low_coverage(fleet.m_routes, problems);
    add_configuration(fleet, problems);
    add_cold(fleet, problems);
    return problems;
}

} // namespace teasellead
