#pragma once

#include <cstdint>
#include <optional>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/*!
@brief estimates the latency of a route's attempts by a moving average and a moving mean deviation

All upstreams of the route share one estimate, because they run requests of the same kind.
*/
class latency_estimate
{
  public:
    /// adds the latency of a successful attempt
    void add(duration latency) noexcept;

    /// latency that most attempts don't exceed; empty until there are enough replies
    [[nodiscard]] std::optional<duration> late_threshold() const noexcept;

  private:
    duration m_mean{duration::zero()};
    duration m_deviation{duration::zero()};
    std::uint32_t m_replies{0};
};

} // namespace teasellead::forwarding
