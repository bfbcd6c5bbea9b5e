#pragma once

#include <chrono>
#include <cstddef>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead::forwarding
{

/// what decides when a refused caller should return
struct return_conditions
{
    std::chrono::milliseconds m_base{0};        ///< minimum while nothing better is known
    duration m_expected_wait{duration::zero()}; ///< time until capacity is expected
    std::size_t m_more_urgent{0};               ///< number of priorities that return before this one
    duration m_time_left{duration::zero()};     ///< time until the request's deadline

    friend bool operator==(const return_conditions&, const return_conditions&) = default;
};

/*!
@brief the time after which a refused caller should return

Not before capacity is expected, the more urgent callers first, and spread at random over an interval. It is
at most a third of the time that is left, the longest for which callers wait.
*/
[[nodiscard]] std::chrono::milliseconds retry_after_of(const return_conditions& conditions,
                                                       random_source& random);

} // namespace teasellead::forwarding
