#pragma once

#include <algorithm>

#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/// seconds as a floating-point number
[[nodiscard]] inline double seconds_of(duration value) noexcept
{
    return std::chrono::duration<double>{value}.count();
}

/*!
@brief token bucket; one token admits one request

Rate and burst are passed to each refill, since they change with the shares. Rounding may leave the level
below zero by a few billionths, which the next refill makes up.
*/
class token_bucket
{
  public:
    /*!
    @brief creates a bucket

    @param[in] tokens  initial tokens
    @param[in] now     current time
    */
    constexpr token_bucket(double tokens, time_point now) noexcept : m_tokens(tokens), m_refilled_at(now)
    {
    }

    /*!
    @brief refills the bucket; no effect if it was already refilled up to a later time

    @param[in] until  time up to which to refill
    @param[in] rate   requests a second
    @param[in] burst  capacity in tokens
    */
    void advance(time_point until, double rate, double burst) noexcept
    {
        const double added = rate * std::max(0.0, seconds_of(until - m_refilled_at));
        m_tokens = std::min(burst, m_tokens + added);
        m_refilled_at = std::max(m_refilled_at, until);
    }

    /// takes tokens; the caller has checked that they are available
    void take(double tokens) noexcept
    {
        m_tokens -= tokens;
    }

    [[nodiscard]] constexpr double tokens() const noexcept
    {
        return m_tokens;
    }

    [[nodiscard]] constexpr time_point refilled_at() const noexcept
    {
        return m_refilled_at;
    }

  private:
    double m_tokens;
    time_point m_refilled_at;
};

} // namespace teasellead
