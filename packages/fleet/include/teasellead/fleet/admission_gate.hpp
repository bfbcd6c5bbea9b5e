#pragma once

#include <atomic>

#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/// which requests may be admitted, given the state of the configuration
enum class admission_state
{
    open,        ///< all requests
    recheck,     ///< only requests on open routes: the process was stalled and rechecks its revision
    not_serving, ///< none: the node has no revision that it may serve with
};

/*!
@brief lets worker threads check whether the current configuration may be used

The control thread updates the state. After a stall of the whole process a worker may run before the control
thread does; it detects that by the age of the last update. Safe for use by several threads.
*/
class admission_gate
{
  public:
    /*!
    @brief creates a closed gate

    @param[in] stall_limit  age at which the last update counts as outdated
    */
    explicit admission_gate(duration stall_limit) : m_stall_limit(stall_limit)
    {
    }

    /*!
    @brief sets the state; called by the control thread at each tick

    @param[in] may_serve      whether the node may serve
    @param[in] needs_recheck  whether requests with keys must wait
    @param[in] now            current time

    @exceptionsafety never throws
    */
    void update(bool may_serve, bool needs_recheck, time_point now) noexcept
    {
        const admission_state ready = needs_recheck ? admission_state::recheck : admission_state::open;
        m_state.store(may_serve ? ready : admission_state::not_serving);
        m_updated.store(now.time_since_epoch().count());
    }

    /*!
    @brief returns the state for a request that is admitted or dispatched now

    @param[in] now  current time

    @exceptionsafety never throws
    */
    [[nodiscard]] admission_state state(time_point now) const noexcept
    {
        const time_point updated{duration{m_updated.load()}};
        const admission_state last = m_state.load();
        const bool is_stale = now - updated > m_stall_limit;
        return last == admission_state::open && is_stale ? admission_state::recheck : last;
    }

  private:
    duration m_stall_limit;
    std::atomic<admission_state> m_state{admission_state::not_serving};
    std::atomic<duration::rep> m_updated{0};
};

} // namespace teasellead
