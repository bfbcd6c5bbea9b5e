#include "teasellead/runtime/request_log.hpp"

#include <algorithm>
#include <sstream>

namespace teasellead::runtime
{

namespace
{

constexpr double served_lines_per_s = 2.0;
constexpr double unserved_lines_per_s = 20.0;
constexpr double event_lines_per_s = 20.0;
constexpr double burst_s = 2.0;
constexpr std::size_t max_routes = 200;
constexpr std::size_t max_services = 200;
// most lines about unreadable loads
constexpr std::size_t max_logged_loads = 1024;
constexpr std::string_view other_label = "other";

/// label under which a name is counted: the name itself, or `other` if there are too many names
template <class Counts>
std::string_view label_of(const Counts& counts, std::string_view name, std::size_t max_names)
{
    return counts.find(name) != counts.end() || counts.size() < max_names ? name : other_label;
}

double milliseconds_of(duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

/// the entry of a name, inserted if needed; the name is copied only for an insertion
template <class Counts>
typename Counts::mapped_type& counter_of(Counts& counts, std::string_view name)
{
    const auto known = counts.find(name);
    return known != counts.end() ? known->second : counts[std::string{name}];
}

} // namespace

std::string exposition_line(std::string_view name, std::string_view kind, std::uint64_t value)
{
    std::ostringstream text;
    text << "# TYPE " << name << ' ' << kind << '\n' << name << ' ' << value << '\n';
    return text.str();
}

bool request_log::may_write(std::string_view kind, double lines_per_s)
{
    line_rate& rate = counter_of(m_rates, kind);
    const time_point now = m_clock.now();
    const double capacity = lines_per_s * burst_s;
    const double passed_s = std::chrono::duration<double>(now - rate.m_refilled_at).count();
    rate.m_tokens = rate.m_is_new ? capacity : std::min(capacity, rate.m_tokens + passed_s * lines_per_s);
    rate.m_is_new = false;
    rate.m_refilled_at = now;
    if (rate.m_tokens < 1.0)
    {
        ++rate.m_suppressed;
        return false;
    }
    rate.m_tokens -= 1.0;
    if (rate.m_suppressed > 0)
    {
        m_log.write(log_level::warning, "lines_left_out", {{"kind", kind}, {"count", rate.m_suppressed}});
        rate.m_suppressed = 0;
    }
    return true;
}

void request_log::add(const request_entry& entry)
{
    route_counts& counts = counter_of(m_routes, label_of(m_routes, entry.m_route, max_routes));
    ++counts.m_outcomes["outcome=\"" + std::string{entry.m_outcome} + "\",reason=\"" +
                        std::string{entry.m_reason} + "\""];
    const double latency_ms = milliseconds_of(entry.m_latency);
    counts.m_latencies.add(entry.m_latency);

    const bool is_served = entry.m_reason.empty();
    const std::string_view kind = is_served ? "request_served" : "request_unserved";
    if (!may_write(kind, is_served ? served_lines_per_s : unserved_lines_per_s))
    {
        return;
    }
    m_log.write(is_served ? log_level::info : log_level::warning, "request",
                {{"request_id", entry.m_request_id},
                 {"request", entry.m_fingerprint.substr(0, fingerprint_digits)},
                 {"route", entry.m_route},
                 {"account", entry.m_account},
                 {"priority", std::uint64_t{entry.m_priority}},
                 {"outcome", entry.m_outcome},
                 {"reason", entry.m_reason},
                 {"status", std::uint64_t{entry.m_status}},
                 {"latency_ms", latency_ms},
                 {"limit_wait_ms", milliseconds_of(entry.m_limit_wait)},
                 {"attempts", std::uint64_t{entry.m_attempts}},
                 {"hedges", std::uint64_t{entry.m_hedges}},
                 {"hand_over_ms", milliseconds_of(entry.m_longest_hand_over)},
                 {"missing", std::uint64_t{entry.m_missing}},
                 {"missing_shards", entry.m_missing_shards},
                 {"version", entry.m_version},
                 {"version_age_ms", milliseconds_of(entry.m_version_age)}});
}

void request_log::count_attempt(std::string_view service, std::string_view result)
{
    ++counter_of(counter_of(m_attempts, label_of(m_attempts, service, max_services)), result);
}

void request_log::count_unreadable_load(const std::string& instance, std::string_view reason)
{
    ++counter_of(m_unreadable_loads, reason);
    if (m_logged_loads.size() < max_logged_loads &&
        m_logged_loads.insert(instance + ' ' + std::string{reason}).second)
    {
        write(log_level::warning, "unreadable_load", {{"instance", instance}, {"reason", reason}});
    }
}

std::string request_log::attempts_exposition() const
{
    std::ostringstream text;
    text << "# HELP teasellead_attempts_total Attempts at upstreams that ended, by service and result.\n"
            "# TYPE teasellead_attempts_total counter\n";
    for (const auto& [service, results] : m_attempts)
    {
        for (const auto& [result, count] : results)
        {
            text << "teasellead_attempts_total{service=\"" << service << "\",result=\"" << result << "\"} "
                 << count << '\n';
        }
    }
    return text.str();
}

void request_log::write(log_level level, std::string_view event, const std::vector<log_field>& fields)
{
    if (may_write(event, event_lines_per_s))
    {
        m_log.write(level, event, fields);
    }
}

std::string request_log::exposition() const
{
    std::ostringstream text;
    text << "# HELP teasellead_requests_total Requests that ended, by route, outcome and reason.\n"
            "# TYPE teasellead_requests_total counter\n";
    for (const auto& [route, counts] : m_routes)
    {
        for (const auto& [labels, count] : counts.m_outcomes)
        {
            text << "teasellead_requests_total{route=\"" << route << "\"," << labels << "} " << count << '\n';
        }
    }
    text << "# HELP teasellead_request_milliseconds Time from the whole request to its answer.\n"
            "# TYPE teasellead_request_milliseconds histogram\n";
    for (const auto& [route, counts] : m_routes)
    {
        text << counts.m_latencies.lines("teasellead_request_milliseconds", "route=\"" + route + "\"");
    }
    text << attempts_exposition();
    text << "# HELP teasellead_unreadable_loads_total Load reports of upstreams that couldn't be read.\n"
            "# TYPE teasellead_unreadable_loads_total counter\n";
    for (const auto& [reason, count] : m_unreadable_loads)
    {
        text << "teasellead_unreadable_loads_total{reason=\"" << reason << "\"} " << count << '\n';
    }
    text << "# HELP teasellead_log_lines_dropped_total Log lines dropped because the reader was too slow.\n"
            "# TYPE teasellead_log_lines_dropped_total counter\n"
            "teasellead_log_lines_dropped_total "
         << m_log.dropped() << '\n';
    return text.str();
}

} // namespace teasellead::runtime
