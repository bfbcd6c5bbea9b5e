#pragma once

#include <cstdint>
#include <optional>

#include "teasellead/forwarding/reported_load.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// what is wrong with an upstream
enum class upstream_trouble : std::uint8_t
{
    none,   ///< it has recovered
    shed,   ///< it rejects requests
    broken, ///< attempts end without a usable reply
    slow,   ///< it is overloaded, or its replies are late
    other   ///< a kind that only newer nodes know
};

/// the name of a kind of trouble in logs
[[nodiscard]] std::string_view to_string(upstream_trouble trouble) noexcept;

/// what a node has observed of an upstream that is in trouble or has just recovered
struct upstream_observation
{
    upstream_trouble m_trouble{upstream_trouble::none};
    double m_failure_ratio{0.0};         ///< moving average of the fraction of failed attempts, 0 to 1
    std::optional<reported_load> m_load; ///< empty if no recent load is known
    duration m_age{duration::zero()};    ///< time since it was observed

    friend bool operator==(const upstream_observation&, const upstream_observation&) = default;
};

/// an observation older than this isn't used any more
inline constexpr duration observation_lifetime = std::chrono::seconds{1};

} // namespace teasellead::forwarding
