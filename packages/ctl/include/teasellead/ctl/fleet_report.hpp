#pragma once

#include <string>
#include <variant>
#include <vector>

#include "teasellead/ctl/node_report.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/// a node whose report couldn't be read
struct unreachable_node
{
    endpoint m_node;
    std::string m_reason;

    friend bool operator==(const unreachable_node&, const unreachable_node&) = default;
};

/// outcome of reading one node's report
using node_result = std::variant<node_report, unreachable_node>;

/// results of reading the reports of several nodes of a fleet
struct fleet_report
{
    std::vector<node_result> m_results;

    friend bool operator==(const fleet_report&, const fleet_report&) = default;
};

/*!
@brief lists the problems of a fleet

An upstream counts in the warmest state that any node reports, since nodes send few requests to upstreams in
other data centres and so may report those as cold.

@param[in] report  reports of the fleet

@return one sentence for each problem, the worst first; empty if there is none

@complexity linear in the size of the reports, but for sorting by name
*/
[[nodiscard]] std::vector<std::string> find_problems(const fleet_report& report);

/*!
@brief formats a report for operators

@param[in] report  reports of the fleet

@return lines of at most @ref report_columns bytes; the first line is "all well" or the worst problem

@complexity linear in the size of the reports, but for sorting by name
*/
[[nodiscard]] std::string format_report(const fleet_report& report);

} // namespace teasellead
