#include "teasellead/routing/warm_up.hpp"

#include <algorithm>

namespace teasellead
{

warm_up warm_up::after_fast_reply(std::uint32_t cold_requests, std::uint32_t target,
                                  const warm_up_settings& settings, time_point started,
                                  time_point now) const noexcept
{
    warm_up next = *this;
    if (m_state == warm_up_state::warm)
    {
        return next;
    }
    if (m_state == warm_up_state::cold)
    {
        next.m_state = warm_up_state::warming;
        next.m_allowance = std::max(cold_requests, 1U);
        next.m_fast_replies = 0;
        next.m_step = settings.min_step();
        next.m_last_step = now;
    }
    else if (started < m_last_step)
    {
        return next;
    }
    ++next.m_fast_replies;
    const bool enough_replies = next.m_fast_replies >= settings.replies_per_step() * next.m_allowance;
    const bool enough_time = now - next.m_last_step >= std::max(next.m_step, settings.min_step());
    if (next.m_allowance < target && enough_replies && enough_time)
    {
        ++next.m_allowance;
        next.m_fast_replies = 0;
        next.m_last_step = now;
    }
    if (next.m_allowance >= target)
    {
        next.m_state = warm_up_state::warm;
    }
    return next;
}

warm_up warm_up::after_shed(std::uint32_t full, const warm_up_settings& settings,
                            time_point now) const noexcept
{
    warm_up next = *this;
    if (m_state == warm_up_state::cold)
    {
        return next;
    }
    const std::uint32_t before = m_state == warm_up_state::warm ? full : m_allowance;
    next.m_state = warm_up_state::warming;
    next.m_allowance = std::max(before / 2, 1U);
    next.m_fast_replies = 0;
    next.m_step = std::min(std::max(m_step, settings.min_step()) * 2, settings.max_step());
    next.m_last_step = now;
    return next;
}

} // namespace teasellead
