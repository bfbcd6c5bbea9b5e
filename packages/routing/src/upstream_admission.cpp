#include "teasellead/routing/upstream_admission.hpp"

#include <algorithm>

namespace teasellead
{

namespace
{

std::uint32_t difference_or_zero(std::uint32_t lhs, std::uint32_t rhs) noexcept
{
    return lhs > rhs ? lhs - rhs : 0;
}

} // namespace

warm_up_state upstream_admission::state() const noexcept
{
    return m_verified ? m_warm_up.state() : warm_up_state::cold;
}

std::uint32_t upstream_admission::leased(time_point now) const noexcept
{
    const auto is_valid = [now](const cold_lease& lease)
    {
        return now < lease.expires();
    };
    return static_cast<std::uint32_t>(
        std::count_if(m_granted_leases.begin(), m_granted_leases.end(), is_valid));
}

std::uint32_t upstream_admission::owned_allowance(const host_share& share) const noexcept
{
    if (share.cold_requests() == 0)
    {
        return 0;
    }
    const warm_up current = m_verified ? m_warm_up : warm_up{};
    // the allowance grows up to all slots of the upstream, even if this host may hold fewer connections
    return std::min(current.allowance(share.cold_requests(), share.warm_requests()), share.connections());
}

std::uint32_t upstream_admission::allowance(const host_share& share, time_point now) const noexcept
{
    if (confirmed_warm())
    {
        return m_warm_up.allowance(0, share.slots());
    }
    const std::uint32_t unavailable = leased(now) + (now < m_reserved_until ? 1 : 0);
    const std::uint32_t accepted = now < m_accepted_lease.m_start_until ? 1 : 0;
    return difference_or_zero(owned_allowance(share), unavailable) + accepted;
}

std::uint32_t upstream_admission::occupied(time_point now) const noexcept
{
    const auto may_run = [now](time_point until)
    {
        return now < until;
    };
    const auto running = std::count_if(m_abandoned.begin(), m_abandoned.end(), may_run);
    return m_in_flight + static_cast<std::uint32_t>(running);
}

void upstream_admission::start(time_point now) noexcept
{
    ++m_in_flight;
    m_last_start = now;
    m_accepted_lease.m_used = m_accepted_lease.m_used || now < m_accepted_lease.m_start_until;
}

void upstream_admission::free_slot() noexcept
{
    m_in_flight = difference_or_zero(m_in_flight, 1);
}

void upstream_admission::verify(upstream_incarnation incarnation) noexcept
{
    // without an incarnation, a reconnected upstream can't be distinguished from a restarted one
    const bool is_known = m_incarnation == incarnation && incarnation != 0;
    if (!is_known)
    {
        m_warm_up = warm_up{};
    }
    m_incarnation = incarnation;
    m_verified = true;
    if (confirmed_warm() && m_warm_up.state() == warm_up_state::cold)
    {
        m_warm_up = warm_up::already_warm();
    }
}

admission_change upstream_admission::on_reply(upstream_incarnation incarnation, time_point started, bool fast,
                                              const host_share& share, const warm_up_settings& settings,
                                              time_point now)
{
    free_slot();
    admission_change change;
    if (started <= m_ignore_replies_until)
    {
        return change;
    }
    const bool is_other = incarnation != m_incarnation;
    if (is_other && m_incarnation != 0)
    {
        change.m_ended = m_incarnation;
        on_incarnation_ended(m_incarnation);
    }
    if (is_other || !m_verified)
    {
        verify(incarnation);
    }
    if (!fast || (!confirmed_warm() && share.cold_requests() == 0))
    {
        return change;
    }
    const std::uint32_t target = confirmed_warm() ? share.slots() : share.warm_requests();
    const bool was_warm = m_warm_up.state() == warm_up_state::warm;
    m_warm_up = m_warm_up.after_fast_reply(share.cold_requests(), target, settings, started, now);
    if (!was_warm && m_warm_up.state() == warm_up_state::warm && incarnation != 0 && !confirmed_warm())
    {
        m_warm_incarnation = incarnation;
        change.m_confirmed_warm = incarnation;
    }
    return change;
}

void upstream_admission::on_refused() noexcept
{
    free_slot();
}

void upstream_admission::on_abandoned(time_point until, time_point now)
{
    free_slot();
    if (confirmed_warm())
    {
        return;
    }
    std::erase_if(m_abandoned, [now](time_point expires) { return expires <= now; });
    m_abandoned.push_back(until);
}

void upstream_admission::on_shed(const host_share& share, const warm_up_settings& settings,
                                 time_point now) noexcept
{
    free_slot();
    const bool was_lowest =
        m_warm_up.state() == warm_up_state::warming && m_warm_up.allowance(0, share.slots()) <= 1;
    if (confirmed_warm() && was_lowest)
    {
        m_warm_incarnation = 0;
        m_warm_up = warm_up{};
        return;
    }
    lower_allowance(share, settings, now);
}

void upstream_admission::lower_allowance(const host_share& share, const warm_up_settings& settings,
                                         time_point now) noexcept
{
    const std::uint32_t full = confirmed_warm() ? share.slots() : share.warm_requests();
    m_warm_up = m_warm_up.after_shed(full, settings, now);
}

void upstream_admission::on_disconnected() noexcept
{
    m_verified = false;
    m_ignore_replies_until = m_last_start;
}

void upstream_admission::reset(time_point ignore_until) noexcept
{
    on_disconnected();
    m_ignore_evidence_until = ignore_until;
    m_warm_incarnation = 0;
    m_warm_up = warm_up{};
}

void upstream_admission::on_peer_confirmed_warm(upstream_incarnation incarnation, time_point now) noexcept
{
    const bool may_be_old = incarnation == m_ended_incarnation || now < m_ignore_evidence_until;
    if (incarnation == 0 || may_be_old || confirmed_warm())
    {
        return;
    }
    m_warm_incarnation = incarnation;
    if (confirmed_warm())
    {
        m_warm_up = warm_up::already_warm();
    }
}

void upstream_admission::on_incarnation_ended(upstream_incarnation incarnation) noexcept
{
    if (incarnation == 0)
    {
        return;
    }
    m_ended_incarnation = incarnation;
    m_warm_incarnation = m_warm_incarnation == incarnation ? 0 : m_warm_incarnation;
    if (m_incarnation == incarnation)
    {
        on_disconnected();
        m_warm_up = warm_up{};
    }
}

bool upstream_admission::grant_lease(const cold_lease& lease, const host_share& share,
                                     time_point reserve_until, time_point now)
{
    std::erase_if(m_granted_leases, [now](const cold_lease& other) { return other.expires() <= now; });
    const auto is_same = [&lease](const cold_lease& other)
    {
        return other.borrower() == lease.borrower() && other.number() == lease.number();
    };
    if (std::any_of(m_granted_leases.begin(), m_granted_leases.end(), is_same))
    {
        return true;
    }
    // a borrower requests a new lease only after it has stopped using its earlier ones
    std::erase_if(m_granted_leases, [&lease](const cold_lease& other)
                  { return other.borrower() == lease.borrower() && other.number() < lease.number(); });
    if (leased(now) >= share.cold_requests())
    {
        return false;
    }
    // the owner's own requests to an incarnation confirmed warm can't reach a cold one
    const bool is_free = confirmed_warm() || occupied(now) + leased(now) < owned_allowance(share);
    if (!is_free)
    {
        m_reserved_until = reserve_until;
        return false;
    }
    m_reserved_until = time_point{};
    m_granted_leases.push_back(lease);
    return true;
}

void upstream_admission::end_lease(const endpoint& borrower, std::uint64_t lease)
{
    std::erase_if(m_granted_leases, [&](const cold_lease& granted)
                  { return granted.borrower() == borrower && granted.number() == lease; });
}

void upstream_admission::accept_lease(std::uint64_t lease, time_point start_until, time_point end) noexcept
{
    m_accepted_lease = accepted_lease{lease, start_until, end, false};
}

std::optional<std::uint64_t> upstream_admission::take_finished_lease(time_point now) noexcept
{
    if (!m_accepted_lease.m_used || occupied(now) > 0 || now >= m_accepted_lease.m_end)
    {
        return std::nullopt;
    }
    const std::uint64_t lease = m_accepted_lease.m_number;
    m_accepted_lease = accepted_lease{};
    return lease;
}

} // namespace teasellead
