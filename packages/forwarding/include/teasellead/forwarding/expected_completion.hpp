#pragma once

#include <functional>

#include "teasellead/forwarding/network_distance.hpp"
#include "teasellead/forwarding/upstream.hpp"
#include "teasellead/forwarding/work_estimator.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// expected time of an attempt at one upstream, by its parts
struct completion_estimate
{
    duration m_wait{duration::zero()};     ///< until the upstream begins the request
    duration m_run{duration::zero()};      ///< while it runs it
    duration m_distance{duration::zero()}; ///< additional time on the network
    duration m_risk{duration::zero()};     ///< added for contention, failures, overdue attempts and distance
    double m_work_factor{1.0};             ///< reported by the upstream, bounded

    /// figure by which upstreams are compared
    [[nodiscard]] duration total() const noexcept
    {
        return m_wait + m_run + m_distance + m_risk;
    }

    /// time after which the attempt is late, if requests of its kind rarely exceed `late_ratio` times their
    /// mean
    [[nodiscard]] duration late_after(double late_ratio) const noexcept
    {
        return m_wait + m_distance + std::chrono::duration_cast<duration>(m_run * late_ratio);
    }

    friend bool operator==(const completion_estimate&, const completion_estimate&) = default;
};

/// whether a connection to an upstream is open and free; unknown if empty
using connection_check = std::function<bool(const upstream&)>;

/// a reported work factor within the bounds that are believed; 1 if it has no meaning
[[nodiscard]] double bounded_work_factor(double reported) noexcept;

/*!
@brief the expected time of a new attempt at an upstream

@param[in] target          the upstream
@param[in] work            expected work of the request
@param[in] distances       network distances of the data centres
@param[in] has_connection  whether a connection to it is open; may be empty
@param[in] now             current time

@return the estimate; equal for equal arguments, and bounded whatever the upstream reports

@complexity linear in the number of this node's attempts in flight at the upstream
*/
[[nodiscard]] completion_estimate expected_completion(const upstream& target, const work_estimate& work,
                                                      const network_distance& distances,
                                                      const connection_check& has_connection, time_point now);

/// what a new attempt adds to the attempts in flight at its upstream
[[nodiscard]] expected_attempt expected_attempt_of(const completion_estimate& estimate,
                                                   const work_estimate& work) noexcept;

/// a finished attempt's time at its upstream, without the wait and the distance that were expected
[[nodiscard]] duration observed_run(duration latency, const completion_estimate& expected) noexcept;

} // namespace teasellead::forwarding
