#include "teasellead/forwarding/search_outlook.hpp"

#include <algorithm>
#include <numeric>

namespace teasellead::forwarding
{

namespace
{

constexpr double min_chance = 0.05;
// no shard is given up for certain
constexpr double max_failure_ratio = 0.95;
// fraction of the unlikely searches that are sent nevertheless
constexpr double probe_fraction = 0.1;
constexpr double urgent_probe_fraction = 0.25;
// short, so that recoveries are noticed although nothing is sent
constexpr duration evidence_lifetime = std::chrono::milliseconds{800};

} // namespace

double chance_of_reply(std::vector<double> failure_ratios, std::size_t max_attempts)
{
    const std::size_t asked = std::min(max_attempts, failure_ratios.size());
    const auto end = failure_ratios.begin() + static_cast<std::ptrdiff_t>(asked);
    // the best are asked first
    std::partial_sort(failure_ratios.begin(), end, failure_ratios.end());
    return 1.0 - std::accumulate(failure_ratios.begin(), end, 1.0,
                                 [](double product, double ratio)
                                 { return product * std::clamp(ratio, 0.0, max_failure_ratio); });
}

double chance_of_coverage(std::span<const double> shard_chances, std::size_t needed)
{
    if (needed > shard_chances.size())
    {
        return 0.0;
    }
    // element i: probability that exactly i shards are missing among those looked at so far
    std::vector<double> missing(shard_chances.size() - needed + 1, 0.0);
    missing.front() = 1.0;
    for (const double chance : shard_chances)
    {
        if (chance >= 1.0)
        {
            continue;
        }
        for (std::size_t i = missing.size() - 1; i > 0; --i)
        {
            missing[i] = missing[i] * chance + missing[i - 1] * (1.0 - chance);
        }
        missing.front() *= chance;
    }
    return std::accumulate(missing.begin(), missing.end(), 0.0);
}

void search_outlook::on_result(const std::string& service, time_point now)
{
    m_last_results[service] = now;
}

bool search_outlook::has_evidence(const std::string& service, time_point now) const
{
    const auto known = m_last_results.find(service);
    return known != m_last_results.end() && now - known->second < evidence_lifetime;
}

search_decision search_outlook::decide(std::span<const double> shard_chances, std::size_t needed,
                                       bool is_most_urgent, random_source& random)
{
    if (chance_of_coverage(shard_chances, needed) >= min_chance)
    {
        return search_decision::send;
    }
    if (random.unit() < (is_most_urgent ? urgent_probe_fraction : probe_fraction))
    {
        ++m_probes;
        return search_decision::probe;
    }
    ++m_refused;
    return search_decision::refuse;
}

} // namespace teasellead::forwarding
