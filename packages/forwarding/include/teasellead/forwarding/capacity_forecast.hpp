#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "teasellead/forwarding/upstream.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// how fast capacity is expected to become free at the upstreams of a service
class capacity_forecast
{
  public:
    /*!
    @brief derives the forecast from this node's attempts in flight and the mean latency of each upstream

    Unknown if an upstream hasn't replied yet, or has no capacity although this node has no attempts in flight
    there.

    @param[in] upstreams  the upstreams that an attempt can use, none of which has free capacity
    */
    [[nodiscard]] static std::optional<capacity_forecast> of(std::span<const shared_upstream> upstreams);

    /// @param[in] releases_per_s  number of attempts that end in a second
    explicit capacity_forecast(double releases_per_s) noexcept : m_releases_per_s(releases_per_s)
    {
    }

    /// expected time until this many attempts have ended
    [[nodiscard]] duration expected_wait(std::size_t releases) const;

    /*!
    @brief probability that at least this many attempts end within a time

    Ends are taken as a Poisson process.

    @complexity linear in the number of releases
    */
    [[nodiscard]] double chance(std::size_t releases, duration within) const;

    friend bool operator==(const capacity_forecast&, const capacity_forecast&) = default;

  private:
    double m_releases_per_s;
};

} // namespace teasellead::forwarding
