#pragma once

#include <chrono>

#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/// a duration multiplied by a factor; the result is truncated to whole ticks
[[nodiscard]] constexpr duration scaled(duration value, double factor) noexcept
{
    return std::chrono::duration_cast<duration>(value * factor);
}

} // namespace teasellead
