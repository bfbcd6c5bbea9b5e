#include "teasellead/entry/operator_pages.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unordered_map>

#include "detail/json_response.hpp"
#include "detail/request_target.hpp"

namespace teasellead
{

namespace
{

using json = nlohmann::ordered_json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
constexpr const char* exposition_type = "text/plain; version=0.0.4";

std::string_view to_string(warm_up_state state) noexcept
{
    switch (state)
    {
    case warm_up_state::cold:
        return "cold";
    case warm_up_state::warming:
        return "warming";
    case warm_up_state::warm:
        return "warm";
    }
    return "cold";
}

json to_json(const request_summary& summary)
{
    return {{"name", summary.m_name},
            {"complete", summary.m_complete},
            {"partial", summary.m_partial},
            {"refused", summary.m_refused},
            {"over_limit", summary.m_over_limit},
            {"unauthorised", summary.m_unauthorised},
            {"failed", summary.m_failed},
            {"coverage", summary.m_mean_coverage},
            {"p50_us", summary.m_p50.count()},
            {"p90_us", summary.m_p90.count()},
            {"p99_us", summary.m_p99.count()}};
}

json to_json(const std::vector<request_summary>& summaries)
{
    json result = json::array();
    for (const request_summary& summary : summaries)
    {
        result.push_back(to_json(summary));
    }
    return result;
}

using services_by_upstream = std::unordered_map<endpoint, std::vector<std::string>>;

// names of the services of which each upstream serves a shard
services_by_upstream services_of_upstreams(const configuration& declared)
{
    services_by_upstream result;
    for (const service& declared_service : declared.services())
    {
        for (const shard& declared_shard : declared_service.shards())
        {
            for (const replica& declared_replica : declared_shard.replicas())
            {
                std::vector<std::string>& names = result[declared_replica.upstream()];
                if (std::find(names.begin(), names.end(), declared_service.name()) == names.end())
                {
                    names.push_back(declared_service.name());
                }
            }
        }
    }
    return result;
}

json to_json(const std::vector<upstream_status>& upstreams, const services_by_upstream& services)
{
    json result = json::array();
    for (const upstream_status& upstream : upstreams)
    {
        const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(upstream.latency());
        const auto names = services.find(upstream.upstream());
        result.push_back({{"upstream", upstream.upstream().to_string()},
                          {"services", names == services.end() ? json::array() : json(names->second)},
                          {"state", to_string(upstream.state())},
                          {"in_flight", upstream.in_flight()},
                          {"latency_us", latency.count()},
                          {"draining", upstream.draining()}});
    }
    return result;
}

json to_json(const std::vector<peer_status>& peers)
{
    json result = json::array();
    for (const peer_status& peer : peers)
    {
        result.push_back({{"peer", peer.m_host.peer().to_string()},
                          {"data_centre", peer.m_host.data_centre()},
                          {"revision", peer.m_revision},
                          {"ready", peer.m_ready},
                          {"leaving", peer.m_leaving}});
    }
    return result;
}

void write_counters(std::ostringstream& text, const std::string& label,
                    const std::vector<request_summary>& summaries)
{
    const std::string name = "teasellead_requests_by_" + label + "_total";
    text << "# HELP " << name << " requests by outcome\n# TYPE " << name << " counter\n";
    for (const request_summary& summary : summaries)
    {
        const auto line = [&](request_outcome outcome, std::uint64_t count)
        {
            text << name << '{' << label << "=\"" << summary.m_name << "\",outcome=\"" << to_string(outcome)
                 << "\"} " << count << '\n';
        };
        line(request_outcome::complete, summary.m_complete);
        line(request_outcome::partial, summary.m_partial);
        line(request_outcome::refused, summary.m_refused);
        line(request_outcome::over_limit, summary.m_over_limit);
        line(request_outcome::unauthorised, summary.m_unauthorised);
        line(request_outcome::failed, summary.m_failed);
    }
}

void write_latencies(std::ostringstream& text, const std::string& label,
                     const std::vector<request_summary>& summaries)
{
    const std::string name = "teasellead_latency_by_" + label + "_seconds";
    text << "# HELP " << name << " time from arrival to answer of answered requests\n# TYPE " << name
         << " summary\n";
    for (const request_summary& summary : summaries)
    {
        const auto line = [&](const char* quantile, std::chrono::microseconds value)
        {
            text << name << '{' << label << "=\"" << summary.m_name << "\",quantile=\"" << quantile << "\"} "
                 << seconds_of(value) << '\n';
        };
        line("0.5", summary.m_p50);
        line("0.9", summary.m_p90);
        line("0.99", summary.m_p99);
        text << name << "_count{" << label << "=\"" << summary.m_name << "\"} "
             << summary.m_complete + summary.m_partial << '\n';
    }
}

void write_gauge(std::ostringstream& text, const std::string& name, const std::string& help, double value)
{
    text << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " gauge\n"
         << name << ' ' << value << '\n';
}

} // namespace

operator_pages::operator_pages(dependencies injected) : m_dependencies(injected)
{
}

runtime::http_response operator_pages::handle(const runtime::http_request& request) const
{
    const std::string path = detail::path_of(request.m_target);
    if (path == "/ready")
    {
        return ready();
    }
    if (path == "/report")
    {
        return report();
    }
    if (path == "/metrics")
    {
        return metrics();
    }
    return detail::json_response(status_not_found, R"({"error":"unknown page"})");
}

runtime::http_response operator_pages::ready() const
{
    if (m_dependencies.m_fleet.is_ready())
    {
        return detail::make_response(status_ok, "text/plain", "ready\n");
    }
    return detail::make_response(status_unavailable, "text/plain", "not ready\n");
}

runtime::http_response operator_pages::report() const
{
    const fleet_status fleet = m_dependencies.m_fleet.status();
    json page = {
        {"ready", fleet.m_ready},
        {"leaving", fleet.m_leaving},
        {"revision", fleet.m_revision},
        {"revision_age_s", seconds_of(fleet.m_revision_age)},
        {"rejection", nullptr},
        {"peers", to_json(fleet.m_peers)},
        {"reader", fleet.m_is_platform_reader},
        {"platform_reads", fleet.m_platform_reads},
        {"dropped_messages", fleet.m_dropped_messages},
        {"extra_attempts", m_dependencies.m_hedging.spent()},
        {"routes", to_json(m_dependencies.m_metrics.by_route())},
        {"accounts", to_json(m_dependencies.m_metrics.by_client_account())},
        {"upstreams", to_json(m_dependencies.m_upstreams.status(m_dependencies.m_clock.now()),
                              services_of_upstreams(m_dependencies.m_revisions.get()->configuration()))}};
    if (fleet.m_rejection)
    {
        page["rejection"] = {{"revision", fleet.m_rejection->m_number},
                             {"reason", fleet.m_rejection->m_reason}};
    }
    return detail::json_response(status_ok, page.dump());
}

runtime::http_response operator_pages::metrics() const
{
    const fleet_status fleet = m_dependencies.m_fleet.status();
    std::ostringstream text;
    write_counters(text, "account", m_dependencies.m_metrics.by_client_account());
    write_counters(text, "route", m_dependencies.m_metrics.by_route());
    write_latencies(text, "account", m_dependencies.m_metrics.by_client_account());
    write_latencies(text, "route", m_dependencies.m_metrics.by_route());
    write_gauge(text, "teasellead_ready", "1 if the node takes requests", fleet.m_ready ? 1.0 : 0.0);
    write_gauge(text, "teasellead_revision", "configuration revision in force",
                static_cast<double>(fleet.m_revision));
    write_gauge(text, "teasellead_revision_age_seconds", "time since the platform confirmed the revision",
                seconds_of(fleet.m_revision_age));
    write_gauge(text, "teasellead_peers", "hosts on the platform's list without this one",
                static_cast<double>(fleet.m_peers.size()));
    write_gauge(text, "teasellead_dropped_peer_messages",
                "peer messages that were malformed or not authentic",
                static_cast<double>(fleet.m_dropped_messages));
    write_gauge(text, "teasellead_extra_attempts", "hedges and retries since the start",
                static_cast<double>(m_dependencies.m_hedging.spent()));
    return detail::make_response(status_ok, exposition_type, text.str());
}

} // namespace teasellead
