#include "load_report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace bench
{

namespace
{

using json = nlohmann::ordered_json;

constexpr unsigned status_answered = 200;
constexpr unsigned status_over_limit = 429;

double milliseconds_of(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

/// value at a quantile of sorted latencies in ms, rounded to microseconds
double quantile(const std::vector<double>& sorted, double fraction)
{
    if (sorted.empty())
    {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    constexpr double per_ms = 1000.0;
    return std::round(sorted[std::max<std::size_t>(rank, 1) - 1] * per_ms) / per_ms;
}

/// the bucket that an account would have on a single host
class ideal_bucket
{
  public:
    ideal_bucket(double rate, double burst) : m_rate(rate), m_burst(burst), m_tokens(burst)
    {
    }

    bool try_admit(std::chrono::nanoseconds at)
    {
        const double seconds = std::chrono::duration<double>{at - m_last}.count();
        m_tokens = std::min(m_burst, m_tokens + m_rate * seconds);
        m_last = at;
        if (m_tokens < 1.0)
        {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

  private:
    double m_rate;
    double m_burst;
    double m_tokens;
    std::chrono::nanoseconds m_last{0};
};

/// counts of a set of samples
class sample_group
{
  public:
    void add(const sample& added, bool is_wrongful)
    {
        ++m_requests;
        if (added.m_status == status_answered)
        {
            m_latencies.push_back(milliseconds_of(added.m_latency));
            m_coverage += added.m_coverage;
            (added.m_coverage >= 1.0 ? m_complete : m_partial) += 1;
            return;
        }
        (added.m_status == status_over_limit ? m_over_limit : m_failed) += 1;
        m_wrongful += is_wrongful ? 1 : 0;
    }

    [[nodiscard]] json to_json() const
    {
        std::vector<double> sorted = m_latencies;
        std::sort(sorted.begin(), sorted.end());
        const std::uint64_t answered = m_complete + m_partial;
        return {{"requests", m_requests},
                {"complete", m_complete},
                {"partial", m_partial},
                {"over_limit", m_over_limit},
                {"wrongly_refused", m_wrongful},
                {"failed", m_failed},
                {"coverage", answered == 0 ? 0.0 : m_coverage / static_cast<double>(answered)},
                {"p50_ms", quantile(sorted, 0.5)},
                {"p90_ms", quantile(sorted, 0.9)},
                {"p99_ms", quantile(sorted, 0.99)},
                {"p99_9_ms", quantile(sorted, 0.999)}};
    }

  private:
    std::uint64_t m_requests{0};
    std::uint64_t m_complete{0};
    std::uint64_t m_partial{0};
    std::uint64_t m_over_limit{0};
    std::uint64_t m_wrongful{0};
    std::uint64_t m_failed{0};
    double m_coverage{0.0};
    std::vector<double> m_latencies;
};

/// mean usage per node
json usage_to_json(const run_result& result)
{
    const auto processor_us = static_cast<double>(result.m_usage.m_processor_time.count());
    const auto requests = static_cast<double>(std::max<std::size_t>(result.m_samples.size(), 1));
    return {{"processor_us_per_request", std::round(processor_us / requests)},
            {"resident_kib", result.m_usage.m_resident_kib / result.m_nodes},
            {"threads", result.m_usage.m_threads / result.m_nodes}};
}

std::string line_of(const std::string& name, const json& group)
{
    char line[200];
    std::snprintf(
        line, sizeof(line), "%-18s %7llu %8llu %7llu %6llu %6llu %6llu %7.4f %8.2f %8.2f %8.2f %8.2f\n",
        name.c_str(), group.at("requests").get<unsigned long long>(),
        group.at("complete").get<unsigned long long>(), group.at("partial").get<unsigned long long>(),
        group.at("over_limit").get<unsigned long long>(),
        group.at("wrongly_refused").get<unsigned long long>(), group.at("failed").get<unsigned long long>(),
        group.at("coverage").get<double>(), group.at("p50_ms").get<double>(),
        group.at("p90_ms").get<double>(), group.at("p99_ms").get<double>(),
        group.at("p99_9_ms").get<double>());
    return line;
}

} // namespace

json summarise(const deployment& target, const run_result& result)
{
    std::vector<ideal_bucket> ideal;
    for (const load_account& account : target.m_accounts)
    {
        ideal.emplace_back(account.m_rate, account.m_burst);
    }
    sample_group all;
    std::vector<sample_group> accounts(target.m_accounts.size());
    std::map<std::int64_t, sample_group> seconds;
    for (const sample& current : result.m_samples)
    {
        const bool is_within = ideal[current.m_account].try_admit(current.m_at);
        const bool is_wrongful = current.m_status == status_over_limit && is_within;
        all.add(current, is_wrongful);
        accounts[current.m_account].add(current, is_wrongful);
        seconds[std::chrono::duration_cast<std::chrono::seconds>(current.m_at).count()].add(current,
                                                                                            is_wrongful);
    }
    json by_account = json::object();
    for (std::size_t account = 0; account < accounts.size(); ++account)
    {
        by_account[target.m_accounts[account].m_name] = accounts[account].to_json();
    }
    json timeline = json::array();
    for (const auto& [second, group] : seconds)
    {
        json entry = group.to_json();
        entry["second"] = second;
        timeline.push_back(std::move(entry));
    }
    const double first = static_cast<double>(std::max<std::uint64_t>(result.m_first_sub_requests, 1));
    return {{"label", result.m_label},
            {"all", all.to_json()},
            {"accounts", std::move(by_account)},
            {"sub_requests", result.m_sub_requests},
            {"sub_requests_per_shard", static_cast<double>(result.m_sub_requests) / first},
            {"node", usage_to_json(result)},
            {"timeline", std::move(timeline)}};
}

std::string to_text(const json& summary)
{
    std::string text = "run: " + summary.at("label").get<std::string>() + "\n";
    text += "account           requests complete partial limit wrongful failed coverage  p50_ms   p90_ms   "
            "p99_ms "
            " p99.9_ms\n";
    for (const auto& [name, group] : summary.at("accounts").items())
    {
        text += line_of(name, group);
    }
    text += line_of("all", summary.at("all"));
    text += "sub-requests per shard: " + summary.at("sub_requests_per_shard").dump() + "\n";
    text += "the mean node: " + summary.at("node").dump() + "\n";
    return text;
}

} // namespace bench
