#include <algorithm>
#include <array>
#include <cstdio>

#include "detail/fleet_summary.hpp"
#include "teasellead/ctl/fleet_report.hpp"
#include "teasellead/ctl/narrow_text.hpp"

namespace teasellead
{

namespace
{

using detail::fleet_summary;

constexpr std::size_t detail_indent = 2;

std::string to_age(std::chrono::seconds age)
{
    constexpr std::chrono::minutes seconds_up_to{2};
    constexpr std::chrono::hours minutes_up_to{2};
    if (age < seconds_up_to)
    {
        return std::to_string(age.count()) + " s";
    }
    if (age < minutes_up_to)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::minutes>(age).count()) + " min";
    }
    return std::to_string(std::chrono::duration_cast<std::chrono::hours>(age).count()) + " h";
}

std::string to_milliseconds(std::chrono::microseconds time)
{
    if (time == std::chrono::microseconds::zero())
    {
        return "unknown"; // the node has too few samples for an estimate
    }
    constexpr std::size_t buffer_size = 64;
    std::array<char, buffer_size> text{};
    const std::chrono::duration<double, std::milli> milliseconds = time;
    (void)std::snprintf(text.data(), text.size(), "%.1f ms", milliseconds.count());
    return text.data();
}

std::string field(const std::string& label, std::uint64_t count)
{
    return label + ' ' + std::to_string(count);
}

void add_problems(const std::vector<std::string>& problems, narrow_text& text)
{
    if (problems.empty())
    {
        text.add_paragraph("all well");
        return;
    }
    for (const std::string& problem : problems)
    {
        text.add_paragraph(problem);
    }
}

void add_nodes(const fleet_summary& fleet, narrow_text& text)
{
    text.add_blank_line();
    text.add_paragraph(std::to_string(fleet.m_nodes.size()) + " of " +
                       std::to_string(fleet.m_nodes.size() + fleet.m_unreachable.size()) + " nodes answer");
    for (const unreachable_node& node : fleet.m_unreachable)
    {
        text.add_paragraph("unreachable " + node.m_node.to_string(), detail_indent);
        text.add_paragraph(node.m_reason, 2 * detail_indent);
    }
    for (const node_report& node : fleet.m_nodes)
    {
        if (node.m_leaving || !node.m_ready)
        {
            text.add_paragraph((node.m_leaving ? "leaving " : "not ready ") + node.m_node.to_string(),
                               detail_indent);
        }
    }
}

// nodes with the same revision in force are combined to one entry
void add_configuration(const std::vector<node_report>& nodes, narrow_text& text)
{
    struct confirmation
    {
        std::chrono::seconds m_oldest{0};
        std::size_t m_nodes{0};
    };
    std::map<std::uint64_t, confirmation> in_force;
    std::map<std::uint64_t, std::string> rejections;
    for (const node_report& node : nodes)
    {
        confirmation& entry = in_force[node.m_revision];
        entry.m_oldest = std::max(entry.m_oldest, node.m_revision_age);
        ++entry.m_nodes;
        if (node.m_rejection)
        {
            rejections.emplace(node.m_rejection->m_revision, node.m_rejection->m_reason);
        }
    }
    text.add_blank_line();
    for (const auto& [revision, entry] : in_force)
    {
        text.add_paragraph("configuration " + std::to_string(revision));
        text.add_fields({"at " + std::to_string(entry.m_nodes) + (entry.m_nodes == 1 ? " node," : " nodes,"),
                         "confirmed " + to_age(entry.m_oldest) + " ago"},
                        detail_indent);
    }
    for (const auto& [revision, reason] : rejections)
    {
        text.add_paragraph("rejected " + std::to_string(revision) + ':');
        text.add_paragraph(reason, detail_indent);
    }
}

void add_routes(const std::vector<request_summary>& routes, narrow_text& text)
{
    text.add_blank_line();
    text.add_paragraph("routes");
    for (const request_summary& route : routes)
    {
        text.add_paragraph(detail::route_name(route));
        if (detail::answered(route) > 0)
        {
            text.add_fields({"coverage " + detail::to_percentage(route.m_mean_coverage),
                             "p99 " + to_milliseconds(route.m_p99)},
                            detail_indent);
        }
        text.add_fields({field("complete", route.m_complete), field("partial", route.m_partial),
                         field("refused", route.m_refused), field("over limit", route.m_over_limit),
                         field("no key", route.m_unauthorised), field("failed", route.m_failed)},
                        detail_indent);
    }
}

void add_client_accounts(const std::vector<request_summary>& client_accounts, narrow_text& text)
{
    text.add_blank_line();
    text.add_paragraph("client accounts");
    for (const request_summary& account : client_accounts)
    {
        text.add_paragraph(detail::client_account_name(account));
        text.add_fields({field("served", detail::answered(account)),
                         field("over limit", account.m_over_limit), field("refused", account.m_refused),
                         field("no key", account.m_unauthorised), field("failed", account.m_failed)},
                        detail_indent);
    }
}

void add_upstream(const std::string& state, const endpoint& upstream, const detail::upstream_summary& summary,
                  narrow_text& text)
{
    const std::string load =
        summary.m_in_flight == 0 ? "idle" : std::to_string(summary.m_in_flight) + " in flight";
    std::vector<std::string> fields{state + ' ' + upstream.to_string(), load};
    fields.insert(fields.end(), summary.m_services.begin(), summary.m_services.end());
    text.add_fields(fields, detail_indent);
}

void add_upstreams(const fleet_summary& fleet, narrow_text& text)
{
    text.add_blank_line();
    text.add_paragraph(std::to_string(fleet.m_upstreams.size()) + " upstreams");
    for (const auto& [upstream, summary] : fleet.m_upstreams)
    {
        if (summary.m_draining)
        {
            add_upstream("draining", upstream, summary, text);
        }
        else if (summary.m_state != reported_state::warm)
        {
            const bool is_cold = summary.m_state == reported_state::cold;
            add_upstream(is_cold ? "cold" : "warming", upstream, summary, text);
        }
    }
}

} // namespace

std::string format_report(const fleet_report& report)
{
    const fleet_summary fleet = detail::summarise(report);
    narrow_text text;
    add_problems(find_problems(report), text);
    add_nodes(fleet, text);
    if (!fleet.m_nodes.empty())
    {
        add_configuration(fleet.m_nodes, text);
        add_routes(fleet.m_routes, text);
        add_client_accounts(fleet.m_client_accounts, text);
        add_upstreams(fleet, text);
    }
    return text.text();
}

} // namespace teasellead
