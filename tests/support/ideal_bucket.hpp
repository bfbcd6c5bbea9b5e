#pragma once

#include <algorithm>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::testing
{

/*!
@brief a single token bucket with an account's whole limit

Starts full. Fed with all admissions in the order of true time, it falls below zero exactly if some interval t
holds more than rate * t + burst of them.
*/
class ideal_bucket
{
  public:
    ideal_bucket(double rate, double burst, time_point now)
        : m_rate(rate), m_burst(burst), m_tokens(burst), m_filled(now)
    {
    }

    /// changes the limit from a time on
    void set_limit(double rate, double burst, time_point now)
    {
        fill(now);
        m_rate = rate;
        m_burst = burst;
        m_tokens = std::min(m_tokens, burst);
    }

    /// admits if the limit allows it
    bool try_take(time_point now)
    {
        fill(now);
        if (m_tokens < 1.0)
        {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

    /// records an admission; returns the tokens that are left, negative if the limit was exceeded
    double take(time_point now)
    {
        fill(now);
        m_tokens -= 1.0;
        return m_tokens;
    }

    [[nodiscard]] double rate() const noexcept
    {
        return m_rate;
    }

    [[nodiscard]] double burst() const noexcept
    {
        return m_burst;
    }

  private:
    void fill(time_point now)
    {
        const double refill = m_rate * std::chrono::duration<double>{now - m_filled}.count();
        m_tokens = std::min(m_burst, m_tokens + refill);
        m_filled = now;
    }

    double m_rate;
    double m_burst;
    double m_tokens;
    time_point m_filled;
};

} // namespace teasellead::testing
