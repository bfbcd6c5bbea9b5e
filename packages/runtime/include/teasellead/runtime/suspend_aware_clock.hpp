#pragma once

#include <ctime>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::runtime
{

/// a monotonic clock that also advances while the host is suspended
class suspend_aware_clock final : public monotonic_clock
{
  public:
    [[nodiscard]] time_point now() const noexcept override
    {
        timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point{std::chrono::seconds{value.tv_sec} + std::chrono::nanoseconds{value.tv_nsec}};
    }
};

} // namespace teasellead::runtime
