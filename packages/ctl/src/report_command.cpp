#include <future>
#include <ostream>

#include "detail/operator_address.hpp"
#include "teasellead/ctl/commands.hpp"
#include "teasellead/ctl/fleet_report.hpp"
#include "teasellead/entry/http_client.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

constexpr std::chrono::milliseconds report_timeout{3'000};
constexpr unsigned status_ok = 200;

node_result fetch_report(const endpoint& node)
{
    http_client client{node};
    const std::optional<runtime::http_response> response = client.get("/report", report_timeout);
    if (!response)
    {
        return unreachable_node{node, "no answer"};
    }
    if (response->m_status != status_ok)
    {
        return unreachable_node{node, "status " + std::to_string(response->m_status)};
    }
    try
    {
        return parse_node_report(node, response->m_body);
    }
    catch (const protocol_error& error)
    {
        return unreachable_node{node, error.what()};
    }
}

// reads all reports concurrently, so that several unreachable nodes cost only one timeout
fleet_report fetch_reports(const std::vector<endpoint>& nodes)
{
    std::vector<std::future<node_result>> pending;
    pending.reserve(nodes.size());
    for (const endpoint& node : nodes)
    {
        pending.push_back(std::async(std::launch::async, fetch_report, node));
    }
    fleet_report result;
    for (std::future<node_result>& answer : pending)
    {
        result.m_results.push_back(answer.get());
    }
    return result;
}

} // namespace

exit_code run_report(const command_arguments& arguments, std::ostream& output)
{
    std::vector<endpoint> nodes;
    for (const std::string& argument : arguments)
    {
        nodes.push_back(parse_operator_address(argument));
    }
    const fleet_report report = fetch_reports(nodes);
    output << format_report(report);
    return find_problems(report).empty() ? exit_code::ok : exit_code::failure;
}

} // namespace teasellead
