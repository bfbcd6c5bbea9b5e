#pragma once

#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/kernel/random.hpp"
#include "teasellead/kernel/topology.hpp"
#include "teasellead/kernel/upstream_evidence.hpp"

namespace teasellead::simulation
{

/// runs actions in the order of simulated time
class event_queue
{
  public:
    [[nodiscard]] time_point now() const noexcept
    {
        return m_clock.now();
    }

    void at(time_point due, std::function<void()> action)
    {
        m_events.push(event{std::max(due, now()), m_next++, std::move(action)});
    }

    void after(duration delay, std::function<void()> action)
    {
        at(now() + delay, std::move(action));
    }

    void run_until(time_point end)
    {
        while (!m_events.empty() && m_events.top().m_due <= end)
        {
            event next = m_events.top();
            m_events.pop();
            m_clock.set(next.m_due);
            next.m_action();
        }
        m_clock.set(end);
    }

  private:
    struct event
    {
        time_point m_due;
        std::uint64_t m_number;
        std::function<void()> m_action;

        // the queue's top is its greatest element
        friend bool operator<(const event& lhs, const event& rhs)
        {
            return std::pair{lhs.m_due, lhs.m_number} > std::pair{rhs.m_due, rhs.m_number};
        }
    };

    manual_clock m_clock;
    std::priority_queue<event> m_events;
    std::uint64_t m_next{0};
};

/// a time at which an upstream had more requests than it can handle
struct overload
{
    time_point m_at;
    endpoint m_upstream;
    std::uint32_t m_running;
    std::uint32_t m_bearable;
};

/*!
@brief an upstream that crashes when it gets more concurrent requests than it can handle

A cold process handles the declared number and one more for every few completed requests; from `slots` on it
is warm and queues.
*/
class simulated_upstream
{
  public:
    simulated_upstream(endpoint address, upstream_limits limits) : m_address(address), m_limits(limits)
    {
    }

    [[nodiscard]] const endpoint& address() const noexcept
    {
        return m_address;
    }

    /// number of the running process; 0 while none runs
    [[nodiscard]] std::uint64_t process() const noexcept
    {
        return m_process;
    }

    [[nodiscard]] upstream_incarnation incarnation() const noexcept
    {
        return m_incarnation;
    }

    [[nodiscard]] bool warm() const noexcept
    {
        return bearable() >= m_limits.slots();
    }

    /// concurrent requests that a process which isn't warm can handle
    [[nodiscard]] std::uint32_t bearable() const noexcept
    {
        return m_limits.cold_start_requests() + m_completed / replies_per_step;
    }

    [[nodiscard]] const std::set<std::uint64_t>& running() const noexcept
    {
        return m_running;
    }

    /// number of requests that arrived, over all processes
    [[nodiscard]] std::uint64_t accepted() const noexcept
    {
        return m_accepted;
    }

    void start_process(std::uint64_t process, upstream_incarnation incarnation)
    {
        m_process = process;
        m_incarnation = incarnation;
        m_completed = 0;
    }

    /// simulates the loss of all caches without a restart
    void turn_cold()
    {
        m_completed = 0;
    }

    void turn_warm()
    {
        m_completed = m_limits.slots() * replies_per_step;
    }

    /// ends the process; returns the requests that it was running
    std::set<std::uint64_t> crash()
    {
        m_process = 0;
        return std::exchange(m_running, {});
    }

    /// accepts a request; returns whether the process can handle it
    bool accept(std::uint64_t request)
    {
        m_running.insert(request);
        ++m_accepted;
        return warm() || m_running.size() <= bearable();
    }

    /// ends a request; returns whether it was still running
    bool finish(std::uint64_t request, bool completed)
    {
        const bool was_running = m_running.erase(request) > 0;
        m_completed += was_running && completed ? 1 : 0;
        return was_running;
    }

    /// draws the service time of a request under the current load
    [[nodiscard]] duration service_time(random_source& random) const
    {
        constexpr double median_ms = 4.0;
        constexpr double sigma = 0.4;
        constexpr double stalled_part = 0.01;
        constexpr std::chrono::milliseconds stall{400};
        if (random.unit() < stalled_part)
        {
            return stall;
        }
        const double load = static_cast<double>(m_running.size()) / m_limits.slots();
        const double coldness = warm() ? 0.0 : 1.0 - static_cast<double>(bearable()) / m_limits.slots();
        std::lognormal_distribution<double> spread{std::log(median_ms), sigma};
        const double milliseconds = spread(random.engine()) * std::max(1.0, load) * (1.0 + coldness);
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{milliseconds});
    }

  private:
    static constexpr std::uint32_t replies_per_step = 4;

    endpoint m_address;
    upstream_limits m_limits;
    std::uint64_t m_process{0};
    upstream_incarnation m_incarnation{0};
    std::uint32_t m_completed{0};
    std::uint64_t m_accepted{0};
    std::set<std::uint64_t> m_running;
};

} // namespace teasellead::simulation
