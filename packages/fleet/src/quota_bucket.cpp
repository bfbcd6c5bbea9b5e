#include "teasellead/fleet/quota_bucket.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace teasellead
{

namespace
{

// part of what all nodes may admit in a window that one bucket gives away
constexpr double usable_part = 0.9;
// part of the rest that nodes may admit while they reach no bucket; what is left covers two buckets at once
// until both sides of a cut have noticed it
constexpr double fallback_part = 0.35;
// part of the overage by which the bucket's rate exceeds the declared one; tokens that expire unused come out
// of it
constexpr double usable_overage = 0.6;
constexpr double max_backlog_s = 2.0;
constexpr double least_rate = 0.1;

/// requests that all nodes may admit in a window
double bound_of(const account_bound& bound, double rate, double burst)
{
    return (rate * seconds_of(bound.m_window) + burst) * (1.0 + bound.m_overage) + bound.m_slack;
}

} // namespace

bucket_terms terms_of_all(const account_bound& bound, double rate, double burst, duration stock_lifetime,
                          duration lookahead)
{
    const double grantable = usable_part * bound_of(bound, rate, burst);
    // tokens that are admitted in a window may have been granted a moment before it
    const double granted_s = seconds_of(bound.m_window) + seconds_of(stock_lifetime);
    // a bucket that holds less than nodes ask for ahead refuses requests that come unevenly
    const double least_capacity = rate * seconds_of(lookahead);
    const double sustained = (grantable - least_capacity) / granted_s;
    const double given = std::min(rate * (1.0 + usable_overage * bound.m_overage), sustained);
    return {given, std::max(1.0, grantable - given * granted_s)};
}

double fallback_of_all(const account_bound& bound, double rate, double burst)
{
    return fallback_part * (1.0 - usable_part) * bound_of(bound, rate, burst);
}

void quota_bucket::refill(const bucket_terms& terms, time_point now)
{
    const double earned = terms.m_rate * seconds_of(now - m_tokens.filled());
    m_tokens.advance(now, terms.m_rate, terms.m_capacity);
    m_backlog = std::clamp(m_backlog - earned, 0.0, terms.m_rate * max_backlog_s);
}

double quota_bucket::available() const noexcept
{
    return std::floor(std::max(m_tokens.tokens(), 0.0));
}

duration quota_bucket::wait(double rate) const noexcept
{
    const std::chrono::duration<double> needed{(1.0 - std::min(m_tokens.tokens(), 1.0) + m_backlog) /
                                               std::max(rate, least_rate)};
    return std::max<duration>(min_retry_after, std::chrono::duration_cast<duration>(needed));
}

} // namespace teasellead
