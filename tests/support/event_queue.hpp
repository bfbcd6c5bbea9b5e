#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::testing
{

/// actions in the order of a simulated time; equal times keep the order of their scheduling
class event_queue
{
  public:
    [[nodiscard]] time_point now() const noexcept
    {
        return m_clock.now();
    }

    /// the simulated time as a clock
    [[nodiscard]] const monotonic_clock& clock() const noexcept
    {
        return m_clock;
    }

    /// schedules an action for a time
    void at(time_point time, std::function<void()> action)
    {
        m_events.push({time, m_next_event++, std::move(action)});
    }

    /// schedules an action after a delay
    void after(duration delay, std::function<void()> action)
    {
        at(now() + delay, std::move(action));
    }

    /// runs all events up to a time and moves the clock to it
    void run_until(time_point end)
    {
        drain_until(end);
        m_clock.set(end);
    }

    /// runs all events up to a time; the clock stays at the last of them
    void drain_until(time_point end)
    {
        while (!m_events.empty() && m_events.top().m_time <= end)
        {
            const event next = m_events.top();
            m_events.pop();
            m_clock.set(next.m_time);
            next.m_action();
        }
    }

  private:
    struct event
    {
        time_point m_time;
        std::uint64_t m_order;
        std::function<void()> m_action;

        friend bool operator<(const event& lhs, const event& rhs)
        {
            return std::pair{rhs.m_time, rhs.m_order} < std::pair{lhs.m_time, lhs.m_order};
        }
    };

    manual_clock m_clock;
    std::priority_queue<event> m_events;
    std::uint64_t m_next_event{0};
};

} // namespace teasellead::testing
