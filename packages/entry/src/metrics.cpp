#include "teasellead/entry/metrics.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <mutex>

#include "teasellead/kernel/ordered_mutex.hpp"

namespace teasellead
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};

using latency_distribution = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square_quantile>>;
using mean_value = acc::accumulator_set<double, acc::stats<acc::tag::mean>>;

std::chrono::microseconds to_microseconds(double value)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(value)};
}

/// statistics of one client account or route
class request_statistics
{
  public:
    void add(const request_record& record)
    {
        ++count_of(record.m_outcome);
        const bool is_answered =
            record.m_outcome == request_outcome::complete || record.m_outcome == request_outcome::partial;
        if (is_answered)
        {
            m_latency(std::chrono::duration<double, std::micro>{record.m_latency}.count());
            m_coverage(record.m_coverage);
        }
    }

    [[nodiscard]] request_summary summary(const std::string& name) const
    {
        request_summary result = m_counts;
        result.m_name = name;
        if (result.m_complete + result.m_partial > 0)
        {
            result.m_mean_coverage = acc::mean(m_coverage);
            result.m_p50 =
                to_microseconds(acc::quantile(m_latency, acc::quantile_probability = quantiles[0]));
            result.m_p90 =
                to_microseconds(acc::quantile(m_latency, acc::quantile_probability = quantiles[1]));
            result.m_p99 =
                to_microseconds(acc::quantile(m_latency, acc::quantile_probability = quantiles[2]));
        }
        return result;
    }

  private:
    std::uint64_t& count_of(request_outcome outcome)
    {
        switch (outcome)
        {
        case request_outcome::complete:
            return m_counts.m_complete;
        case request_outcome::partial:
            return m_counts.m_partial;
        case request_outcome::refused:
            return m_counts.m_refused;
        case request_outcome::over_limit:
            return m_counts.m_over_limit;
        case request_outcome::unauthorised:
            return m_counts.m_unauthorised;
        case request_outcome::failed:
            return m_counts.m_failed;
        }
        return m_counts.m_failed;
    }

    request_summary m_counts;
    latency_distribution m_latency{acc::extended_p_square_probabilities = quantiles};
    mean_value m_coverage;
};

using statistics_by_name = std::map<std::string, request_statistics>;

std::vector<request_summary> summaries_of(const statistics_by_name& groups)
{
    std::vector<request_summary> result;
    result.reserve(groups.size());
    for (const auto& [name, group] : groups)
    {
        result.push_back(group.summary(name));
    }
    return result;
}

} // namespace

std::string_view to_string(request_outcome outcome) noexcept
{
    switch (outcome)
    {
    case request_outcome::complete:
        return "complete";
    case request_outcome::partial:
        return "partial";
    case request_outcome::refused:
        return "refused";
    case request_outcome::over_limit:
        return "over_limit";
    case request_outcome::unauthorised:
        return "unauthorised";
    case request_outcome::failed:
        return "failed";
    }
    return "failed";
}

class request_metrics::implementation
{
  public:
    void add(const request_record& record)
    {
        const std::scoped_lock lock{m_mutex};
        m_accounts[record.m_client_account].add(record);
        m_routes[record.m_route].add(record);
    }

    [[nodiscard]] std::vector<request_summary> by_client_account() const
    {
        const std::scoped_lock lock{m_mutex};
        return summaries_of(m_accounts);
    }

    [[nodiscard]] std::vector<request_summary> by_route() const
    {
        const std::scoped_lock lock{m_mutex};
        return summaries_of(m_routes);
    }

  private:
    mutable ordered_mutex<lock_level::metrics> m_mutex;
    statistics_by_name m_accounts;
    statistics_by_name m_routes;
};

request_metrics::request_metrics() : m_implementation(std::make_unique<implementation>())
{
}

request_metrics::~request_metrics() = default;

void request_metrics::add(const request_record& record)
{
    m_implementation->add(record);
}

std::vector<request_summary> request_metrics::by_client_account() const
{
    return m_implementation->by_client_account();
}

std::vector<request_summary> request_metrics::by_route() const
{
    return m_implementation->by_route();
}

} // namespace teasellead
