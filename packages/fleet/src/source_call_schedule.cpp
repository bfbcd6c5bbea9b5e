#include "teasellead/fleet/source_call_schedule.hpp"

#include <algorithm>

namespace teasellead
{

using std::chrono::milliseconds;

milliseconds source_call_schedule::watch_wait(time_point now) const noexcept
{
    const auto left = std::chrono::duration_cast<milliseconds>(m_current_at + m_max_staleness - now);
    return std::clamp(left, std::min(min_wait, m_watch_time), m_watch_time);
}

milliseconds source_call_schedule::time_limit(milliseconds wait) const noexcept
{
    return wait + (m_is_first ? first_response_timeout : response_timeout);
}

confirmation_times source_call_schedule::on_watch_response(time_point sent_at, milliseconds wait,
                                                           bool has_changes, time_point now) noexcept
{
    m_is_first = false;
    m_pause = has_changes ? std::clamp(2 * m_pause, min_pause, max_pause) : milliseconds{0};
    // a source that held the watch for the whole time had no change until then
    const bool was_held = !has_changes && now >= sent_at + wait;
    const time_point current_at = was_held ? sent_at + wait : sent_at;
    m_current_at = std::max(m_current_at, current_at);
    const bool may_hide_changes = !has_changes && wait < m_silent_time;
    return {may_hide_changes ? sent_at - (m_silent_time - wait) : sent_at, current_at};
}

confirmation_times source_call_schedule::on_listing(time_point sent_at) noexcept
{
    m_is_first = false;
    m_pause = milliseconds{0};
    m_current_at = std::max(m_current_at, sent_at);
    return {sent_at, sent_at};
}

milliseconds source_call_schedule::on_failure(random_source& random)
{
    const milliseconds delay = m_is_first ? first_retry_delay : retry_delay;
    m_is_first = false;
    return delay + milliseconds{random.below(static_cast<std::uint64_t>(delay.count()))};
}

} // namespace teasellead
