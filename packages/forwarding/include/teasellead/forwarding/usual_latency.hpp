#pragma once

#include <cstdint>
#include <optional>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/*!
@brief how long the attempts of a route usually take

Averages the replies of all its upstreams, which work on requests of one kind.
*/
class usual_latency
{
  public:
    /// takes the latency of an attempt that was answered
    void add(duration latency) noexcept;

    /// time after which an attempt is later than most; nothing before enough replies
    [[nodiscard]] std::optional<duration> late_after() const noexcept;

  private:
    duration m_mean{duration::zero()};
    duration m_deviation{duration::zero()};
    std::uint32_t m_replies{0};
};

} // namespace teasellead::forwarding
