#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "teasellead/ctl/fleet_report.hpp"

namespace teasellead::detail
{

/// the reports of all nodes about one upstream, combined
struct upstream_summary
{
    reported_state m_state{reported_state::cold}; ///< the warmest state that any node reports
    std::uint64_t m_in_flight{0};                 ///< requests of all nodes in progress at the upstream
    bool m_draining{false};                       ///< whether any node reports it as draining
    std::set<std::string> m_services;             ///< services of which it serves a shard
};

/// the reports of all nodes of a fleet, combined
struct fleet_summary
{
    std::vector<node_report> m_nodes;
    std::vector<unreachable_node> m_unreachable;
    std::vector<request_summary> m_routes;          ///< in the order of names
    std::vector<request_summary> m_client_accounts; ///< in the order of names
    std::map<endpoint, upstream_summary> m_upstreams;
};

/*!
@brief combines the reports of a fleet's nodes

Counts are sums, coverage is the mean over all answered requests, and a quantile is the largest of any node.

@param[in] report  reports of the fleet

@return the combined report
*/
[[nodiscard]] fleet_summary summarise(const fleet_report& report);

/// number of requests with a complete or partial result
[[nodiscard]] std::uint64_t answered(const request_summary& summary) noexcept;

/// number of all requests
[[nodiscard]] std::uint64_t total(const request_summary& summary) noexcept;

/*!
@brief formats a fraction as a percentage

Rounded down, so that only a fraction of 1 is shown as 100%.

@param[in] fraction  from 0 to 1

@return for example `99.99%`
*/
[[nodiscard]] std::string to_percentage(double fraction);

/// display name of a route
[[nodiscard]] std::string route_name(const request_summary& summary);

/// display name of a client account
[[nodiscard]] std::string client_account_name(const request_summary& summary);

} // namespace teasellead::detail
