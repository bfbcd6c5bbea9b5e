#include "teasellead/fleet/account_share.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teasellead
{

namespace
{

// tolerance for rounding, made up by the next refill; without it 49 shares of 1/49 would never admit a
// request
constexpr double rounding_tolerance = 1e-9;

// fraction by which a monotonic clock may run fast; kernels slew by at most half of it
constexpr double clock_tolerance = 1e-3;

// a lender holds a lease longer than the borrower, by the term divided by this number, to allow for clock
// drift
constexpr int clock_drift_divisor = 64;

// a borrower requests slightly more rate than it needs, so that its reserve is refilled
constexpr double borrowed_margin = 1.05;

// number of standard deviations of the arrivals within the horizon that the reserve covers
constexpr double reserve_deviations = 2.0;

// smallest reserve: one request that arrives immediately
constexpr double min_reserve = 1.0;

// fraction of the demand of a term that is borrowed in advance; unused tokens of a lease are lost
constexpr double prefetched_fraction = 0.5;

// a rate is borrowed only if it refills at least this many tokens within its term
constexpr double min_refilled = 3.0;

// smallest number of tokens in a lease; smaller leases aren't worth their messages
constexpr double min_lease_tokens = 0.1;

// a lease whose term ends within this time is renewed
constexpr std::chrono::milliseconds renewal_time{100};

constexpr std::chrono::seconds activity_window{5};
constexpr std::chrono::seconds max_retry_after{60};

duration lender_hold_time(duration term)
{
    return term + term / clock_drift_divisor;
}

} // namespace

account_share::account_share(client_account declared, time_point now)
    : m_declared(std::move(declared)), m_own_bucket(0.0, now), m_estimated_at(now)
{
}

double account_share::own_rate(const entitlement& entitled, time_point at) const
{
    double rate = m_declared.rate() * (1.0 - clock_tolerance) * entitled.fraction_at(at);
    for (const lent_share& lease : m_lent)
    {
        rate -= at < lease.m_until ? lease.m_rate : 0.0;
    }
    return std::max(rate, 0.0);
}

double account_share::own_burst(const entitlement& entitled, time_point at) const
{
    double burst = m_declared.burst() * entitled.fraction_at(at);
    for (const lent_share& lease : m_lent)
    {
        burst -= at < lease.m_until ? lease.m_burst : 0.0;
    }
    return std::max(burst, 0.0);
}

time_point account_share::next_change(const entitlement& entitled, time_point from, time_point to) const
{
    time_point next = to;
    const auto consider = [&](time_point change)
    {
        next = change > from ? std::min(next, change) : next;
    };
    consider(entitled.m_limit_fraction.m_fraction_until);
    consider(entitled.m_limit_fraction.m_reserved_until);
    for (const lent_share& lease : m_lent)
    {
        consider(lease.m_until);
    }
    return next;
}

void account_share::advance(const entitlement& entitled, time_point now)
{
    // several changes of rate and burst may have taken effect while the process was stalled
    while (m_own_bucket.refilled_at() < now)
    {
        const time_point from = m_own_bucket.refilled_at();
        m_own_bucket.advance(next_change(entitled, from, now), own_rate(entitled, from),
                             own_burst(entitled, from));
    }
    m_own_bucket.advance(now, 0.0, own_burst(entitled, now));
    std::erase_if(m_lent, [now](const lent_share& lease) { return now >= lease.m_until; });
    std::erase_if(m_borrowed, [now](const borrowed_share& lease) { return now >= lease.m_until; });
    for (borrowed_share& lease : m_borrowed)
    {
        lease.m_bucket.advance(now, lease.m_rate, lease.m_burst);
    }
}

void account_share::redeclare(client_account declared, const entitlement& entitled, time_point now)
{
    advance(entitled, now);
    m_declared = std::move(declared);
    m_own_bucket.advance(now, 0.0, own_burst(entitled, now));
}

double account_share::available() const
{
    double tokens = m_own_bucket.tokens();
    for (const borrowed_share& lease : m_borrowed)
    {
        tokens += lease.m_bucket.tokens();
    }
    return tokens;
}

bool account_share::try_take(const entitlement& entitled, time_point now)
{
    advance(entitled, now);
    m_arrivals += 1.0;
    m_last_use = now;
    if (available() < 1.0 - rounding_tolerance)
    {
        return false;
    }
    // borrowed tokens are lost at the end of their term, so they are used first
    double needed = 1.0;
    for (borrowed_share& lease : m_borrowed)
    {
        const double taken = std::clamp(lease.m_bucket.tokens(), 0.0, needed);
        lease.m_bucket.take(taken);
        needed -= taken;
    }
    m_own_bucket.take(needed);
    return true;
}

share_usage account_share::usage(const entitlement& entitled, time_point now) const
{
    share_usage result{own_rate(entitled, now), own_burst(entitled, now)};
    for (const borrowed_share& lease : m_borrowed)
    {
        result.m_rate += now < lease.m_until ? lease.m_rate : 0.0;
        result.m_burst += now < lease.m_until ? lease.m_burst : 0.0;
    }
    return result;
}

duration account_share::time_to_next(const entitlement& entitled, time_point now) const
{
    double rate = own_rate(entitled, now);
    for (const borrowed_share& lease : m_borrowed)
    {
        rate += lease.m_rate;
    }
    const double missing = std::max(0.0, 1.0 - available());
    const double wait = rate > 0.0 ? missing / rate : seconds_of(max_retry_after);
    const double bounded = std::min(wait, seconds_of(max_retry_after));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{bounded});
}

double account_share::reserve(const lending& policy) const
{
    const double expected = m_demand * seconds_of(policy.m_reserve_horizon);
    return min_reserve + expected + reserve_deviations * std::sqrt(expected);
}

bool account_share::is_short(const lending& policy) const
{
    return available() < reserve(policy);
}

bool account_share::has_lent(const endpoint& borrower, lease_id lease) const
{
    return std::any_of(m_lent.begin(), m_lent.end(),
                       [&](const lent_share& lent)
                       { return lent.m_borrower == borrower && lent.m_lease == lease; });
}

share_grant account_share::lend(const endpoint& borrower, const share_request& request, const lending& policy,
                                const entitlement& entitled, time_point now)
{
    advance(entitled, now);
    share_grant grant{request.m_lease, request.m_client_account, 0.0, 0.0, 0.0};
    if (request.m_term > policy.m_term || has_lent(borrower, request.m_lease))
    {
        return grant;
    }
    // a host without demand needs no reserve
    const double kept = is_active(now) ? reserve(policy) : 0.0;
    const double spare_rate = std::max(0.0, own_rate(entitled, now) - m_demand);
    const double spare_burst = std::max(0.0, own_burst(entitled, now) - kept);
    const double spare_tokens = std::clamp(m_own_bucket.tokens() - kept, 0.0, spare_burst);
    grant.m_rate = std::min(request.m_rate, spare_rate);
    grant.m_tokens = std::min(request.m_burst, spare_tokens);
    // burst that the borrower can't fill would be unused by both hosts
    const double held = grant.m_tokens + grant.m_rate * seconds_of(policy.m_refill_horizon);
    grant.m_burst = std::min(held, spare_burst);
    const double refilled = std::min(grant.m_rate * seconds_of(request.m_term), grant.m_burst);
    if (grant.m_tokens + refilled < min_lease_tokens)
    {
        return share_grant{request.m_lease, request.m_client_account, 0.0, 0.0, 0.0};
    }
    m_own_bucket.take(grant.m_tokens);
    m_lent.push_back(
        {borrower, request.m_lease, grant.m_rate, grant.m_burst, now + lender_hold_time(request.m_term)});
    return grant;
}

void account_share::borrow(const endpoint& lender, const share_grant& grant, time_point sent_at,
                           const lending& policy, time_point now)
{
    const time_point until = sent_at + policy.m_term;
    if (now < until && (grant.m_rate > 0.0 || grant.m_tokens > 0.0))
    {
        m_borrowed.push_back({lender, grant.m_lease, grant.m_rate, grant.m_burst,
                              token_bucket{std::min(grant.m_tokens, grant.m_burst), now}, until});
    }
}

std::vector<outgoing_message> account_share::return_used_leases()
{
    std::vector<outgoing_message> result;
    const auto is_used_up = [](const borrowed_share& lease)
    {
        return lease.m_rate == 0.0 && lease.m_bucket.tokens() < min_lease_tokens;
    };
    for (const borrowed_share& lease : m_borrowed)
    {
        if (is_used_up(lease))
        {
            const double left = std::max(0.0, lease.m_bucket.tokens());
            result.push_back({lease.m_lender, share_return{lease.m_lease, m_declared.name(), left}});
        }
    }
    std::erase_if(m_borrowed, is_used_up);
    return result;
}

void account_share::take_back(const endpoint& borrower, const share_return& given,
                              const entitlement& entitled, time_point now)
{
    advance(entitled, now);
    const auto lent = std::find_if(m_lent.begin(), m_lent.end(),
                                   [&](const lent_share& entry) {
                                       return entry.m_borrower == borrower && entry.m_lease == given.m_lease;
                                   });
    if (lent != m_lent.end())
    {
        const double tokens = std::min(given.m_tokens, lent->m_burst);
        m_lent.erase(lent);
        m_own_bucket.take(-tokens);
        m_own_bucket.advance(now, 0.0, own_burst(entitled, now));
    }
}

void account_share::estimate_demand(const lending& policy, time_point now)
{
    const double elapsed = seconds_of(now - m_estimated_at);
    if (elapsed <= 0.0)
    {
        return;
    }
    const double weight = 1.0 - std::exp(-elapsed / seconds_of(policy.m_demand_window));
    m_demand += weight * (m_arrivals / elapsed - m_demand);
    m_arrivals = 0.0;
    m_estimated_at = now;
}

share_request account_share::shortage(const lending& policy, const entitlement& entitled,
                                      time_point now) const
{
    const time_point soon = now + renewal_time;
    double rate = own_rate(entitled, now);
    double tokens = m_own_bucket.tokens();
    for (const borrowed_share& lease : m_borrowed)
    {
        rate += lease.m_until > soon ? lease.m_rate : 0.0;
        tokens += lease.m_until > soon ? lease.m_bucket.tokens() : 0.0;
    }
    share_request missing;
    missing.m_client_account = m_declared.name();
    missing.m_term = std::chrono::duration_cast<std::chrono::milliseconds>(policy.m_term);
    const double missing_rate = std::max(0.0, borrowed_margin * m_demand - rate);
    const bool worthwhile = missing_rate * seconds_of(policy.m_term) >= min_refilled;
    missing.m_rate = worthwhile ? missing_rate : 0.0;
    const double wanted = reserve(policy);
    const double spent = std::max(0.0, m_demand - rate) * seconds_of(policy.m_term) * prefetched_fraction;
    const double missing_tokens = tokens < wanted ? wanted + spent - tokens : 0.0;
    // a lent rate can't refill more tokens than the burst that is lent with it
    missing.m_burst = missing_tokens + missing.m_rate * seconds_of(policy.m_refill_horizon);
    return missing;
}

bool account_share::is_active(time_point now) const noexcept
{
    return now < m_last_use + activity_window;
}

} // namespace teasellead
