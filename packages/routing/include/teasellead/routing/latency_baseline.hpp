#pragma once

#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/*!
@brief long-term value of a quantile of a shard's latencies, such as the median

Follows a falling quantile at once and a rising one slowly, so that it stays low while all replicas are
overloaded but adapts in the end if replies stay slower.
*/
class latency_baseline
{
  public:
    /*!
    @brief updates the baseline

    @param[in] quantile  the quantile of recent replies
    @param[in] settling  whether there are still few samples; the baseline then follows a rise at once too
    @param[in] now       current time

    @complexity constant
    @exceptionsafety never throws
    */
    void update(duration quantile, bool settling, time_point now) noexcept;

    /// the baseline; zero before the first update
    [[nodiscard]] duration value() const noexcept
    {
        return m_value;
    }

  private:
    duration m_value{duration::zero()};
    time_point m_updated;
};

} // namespace teasellead
