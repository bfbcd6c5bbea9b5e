#include "teasellead/routing/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace teasellead
{

namespace
{

constexpr double smallest_microseconds = 20.0;
constexpr double bucket_ratio = 1.12;
constexpr std::uint32_t halving_total = 2000; // samples

double microseconds_of(duration latency) noexcept
{
    return std::chrono::duration<double, std::micro>{latency}.count();
}

} // namespace

std::size_t latency_histogram::bucket_of(duration latency) noexcept
{
    const double scaled = microseconds_of(latency) / smallest_microseconds;
    if (scaled <= 1.0)
    {
        return 0;
    }
    static const double log_ratio = std::log(bucket_ratio);
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log(scaled) / log_ratio));
    return std::min(bucket, bucket_count - 1);
}

duration latency_histogram::upper_bound_of(std::size_t bucket) noexcept
{
    const double microseconds = smallest_microseconds * std::pow(bucket_ratio, static_cast<double>(bucket));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>{microseconds});
}

void latency_histogram::add(duration latency) noexcept
{
    ++m_counts[bucket_of(latency)];
    ++m_total;
    if (m_total >= halving_total)
    {
        halve();
    }
}

void latency_histogram::halve() noexcept
{
    m_total = 0;
    for (std::uint32_t& count : m_counts)
    {
        count /= 2;
        m_total += count;
    }
}

duration latency_histogram::quantile(double fraction) const noexcept
{
    if (m_total == 0)
    {
        return duration::zero();
    }
    const auto rank = static_cast<std::uint32_t>(std::ceil(fraction * m_total));
    std::uint32_t seen = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        seen += m_counts[bucket];
        if (seen >= rank && seen > 0)
        {
            return upper_bound_of(bucket);
        }
    }
    return upper_bound_of(bucket_count - 1);
}

double latency_histogram::fraction_above(duration latency) const noexcept
{
    if (m_total == 0)
    {
        return 0.0;
    }
    std::uint32_t above = 0;
    for (std::size_t bucket = bucket_of(latency) + 1; bucket < bucket_count; ++bucket)
    {
        above += m_counts[bucket];
    }
    return static_cast<double>(above) / m_total;
}

} // namespace teasellead
