#include "teasellead/forwarding/capacity_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace teasellead::forwarding
{

namespace
{

using seconds = std::chrono::duration<double>;

// longest time that a forecast names
constexpr duration longest_wait = std::chrono::minutes{1};

} // namespace

std::optional<capacity_forecast> capacity_forecast::of(std::span<const shared_upstream> upstreams)
{
    double releases_per_s = 0.0;
    for (const shared_upstream& each : upstreams)
    {
        if (each->in_flight() == 0 || each->mean_latency() <= duration::zero())
        {
            return std::nullopt;
        }
        releases_per_s += each->in_flight() / seconds{each->mean_latency()}.count();
    }
    return releases_per_s > 0.0 ? std::optional{capacity_forecast{releases_per_s}} : std::nullopt;
}

duration capacity_forecast::expected_wait(std::size_t releases) const
{
    const seconds expected{static_cast<double>(releases) / m_releases_per_s};
    return std::chrono::duration_cast<duration>(std::min<seconds>(expected, longest_wait));
}

double capacity_forecast::chance(std::size_t releases, duration within) const
{
    const double mean = m_releases_per_s * std::max(0.0, seconds{within}.count());
    double term = std::exp(-mean);
    double fewer = 0.0;
    for (std::size_t i = 0; i < releases; ++i)
    {
        fewer += term;
        term *= mean / static_cast<double>(i + 1);
    }
    return std::clamp(1.0 - fewer, 0.0, 1.0);
}

} // namespace teasellead::forwarding
