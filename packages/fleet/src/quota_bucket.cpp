#include "teasellead/fleet/quota_bucket.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace teasellead
{

namespace
{

// fraction of an account's bound that its bucket grants in a window; the rest covers two buckets at once
// until a network partition is detected
constexpr double usable_fraction = 0.935;
// fraction of what the bound allows beyond rate and burst that raises the rate; the rest is kept for bursts
constexpr double surplus_rate_fraction = 0.5;
// a bucket that holds the tokens of less time would refuse requests that arrive unevenly
constexpr double min_capacity_s = 0.3;
constexpr double max_backlog_s = 2.0;
constexpr double min_rate = 0.1;

/// number of requests that all nodes together may admit in a window
double max_admitted(const account_bound& bound, double rate, double burst)
{
    return (rate * seconds_of(bound.m_window) + burst) * (1.0 + bound.m_overage) + bound.m_slack;
}

} // namespace

bucket_parameters full_bucket_parameters(const account_bound& bound, double rate, double burst,
                                         duration grant_to_send_time)
{
    const double grantable = usable_fraction * max_admitted(bound, rate, burst);
    // requests that are sent within a window may have got their tokens before it
    const double granted_s = seconds_of(bound.m_window) + seconds_of(grant_to_send_time);
    const double min_capacity = rate * min_capacity_s;
    const double owed_rate = rate + burst / seconds_of(bound.m_window);
    const double surplus = std::max(grantable - owed_rate * granted_s - burst, 0.0);
    const double wanted_rate = owed_rate + surplus_rate_fraction * surplus / granted_s;
    const double granted_rate = std::min(wanted_rate, (grantable - min_capacity) / granted_s);
    return {granted_rate, std::max(1.0, grantable - granted_rate * granted_s)};
}

void quota_bucket::refill(const bucket_parameters& parameters, time_point now)
{
    const double added = parameters.m_rate * seconds_of(now - m_tokens.refilled_at());
    m_tokens.advance(now, parameters.m_rate, parameters.m_capacity);
    m_backlog = std::clamp(m_backlog - added, 0.0, parameters.m_rate * max_backlog_s);
}

double quota_bucket::available() const noexcept
{
    return std::floor(std::max(m_tokens.tokens(), 0.0));
}

duration quota_bucket::wait(double rate) const noexcept
{
    const std::chrono::duration<double> needed{(1.0 - std::min(m_tokens.tokens(), 1.0) + m_backlog) /
                                               std::max(rate, min_rate)};
    return std::max<duration>(min_retry_after, std::chrono::duration_cast<duration>(needed));
}

} // namespace teasellead
