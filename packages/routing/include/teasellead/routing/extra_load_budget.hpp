#pragma once

#include <algorithm>
#include <cstdint>

namespace teasellead
{

/// extra attempts added to the budget by each reply in time; with the usual number of late replies, the
/// budget allows extra attempts for 2 % of all attempts
inline constexpr double default_extra_load_ratio = 0.025;

/// largest balance of the budget, in extra attempts; enough for the second run of a large search
inline constexpr double default_extra_load_capacity = 128.0;

/*!
@brief limits extra attempts, that is hedges, retries and second runs, to a small fraction of all sub-requests

Each reply in time adds a fraction of an extra attempt to the budget and each late reply takes ten times as
much, so the budget is exhausted when a tenth of all replies is late: the upstreams are overloaded then and
extra attempts would add to the overload. The balance may fall below zero, since the fast replies of a search
arrive before its late ones.
*/
class extra_load_budget
{
  public:
    /*!
    @brief creates a budget

    @param[in] ratio     extra attempts added by each reply in time
    @param[in] capacity  largest balance; the lowest is its negative
    */
    constexpr extra_load_budget(double ratio, double capacity) noexcept
        : m_ratio(ratio), m_capacity(capacity), m_balance(capacity)
    {
    }

    /// accounts for an attempt whose reply was late, or that was refused for overload or cancelled
    constexpr void charge_late() noexcept
    {
        m_balance = std::max(-m_capacity, m_balance - late_cost * m_ratio);
    }

    /// accounts for an attempt whose reply was in time
    constexpr void deposit() noexcept
    {
        m_balance = std::min(m_capacity, m_balance + m_ratio);
    }

    /*!
    @brief takes extra attempts out of the budget, all or none

    @param[in] attempts  number of extra attempts

    @return whether they may be made

    @complexity constant
    @exceptionsafety never throws
    */
    [[nodiscard]] constexpr bool try_spend(std::uint32_t attempts = 1) noexcept
    {
        if (m_balance < attempts)
        {
            return false;
        }
        m_balance -= attempts;
        m_spent += attempts;
        return true;
    }

    /// returns an extra attempt to the budget that was taken out and not made
    constexpr void refund() noexcept
    {
        m_balance = std::min(m_capacity, m_balance + 1.0);
        --m_spent;
    }

    /// number of extra attempts so far
    [[nodiscard]] constexpr std::uint64_t spent() const noexcept
    {
        return m_spent;
    }

  private:
    static constexpr double late_cost = 10.0; // in replies in time

    double m_ratio;
    double m_capacity;
    double m_balance;
    std::uint64_t m_spent{0};
};

} // namespace teasellead
