#pragma once

#include <atomic>
#include <chrono>

namespace teasellead
{

/// a point in monotonic time; values of different hosts aren't comparable
using time_point = std::chrono::steady_clock::time_point;

/// a length of time in the resolution of @ref time_point
using duration = std::chrono::steady_clock::duration;

/*!
@brief source of monotonic time

All decisions take the time from a clock object, so that tests and replays can control it.
*/
class monotonic_clock
{
  public:
    monotonic_clock() = default;
    monotonic_clock(const monotonic_clock&) = delete;
    monotonic_clock& operator=(const monotonic_clock&) = delete;
    virtual ~monotonic_clock() = default;

    /*!
    @brief the current monotonic time

    @return a time that never decreases within one process

    @exceptionsafety never throws
    */
    [[nodiscard]] virtual time_point now() const noexcept = 0;
};

/// the operating system's monotonic clock
class system_monotonic_clock final : public monotonic_clock
{
  public:
    [[nodiscard]] time_point now() const noexcept override
    {
        return std::chrono::steady_clock::now();
    }
};

/// a clock that changes only through its functions; for tests, simulations and replays
class manual_clock final : public monotonic_clock
{
  public:
    [[nodiscard]] time_point now() const noexcept override
    {
        return time_point{duration{m_ticks.load()}};
    }

    /*!
    @brief moves the clock forward

    @param[in] step  length of time to add

    @exceptionsafety never throws
    */
    void advance(duration step) noexcept
    {
        m_ticks.fetch_add(step.count());
    }

    /*!
    @brief sets the clock

    @param[in] value  the new time

    @exceptionsafety never throws
    */
    void set(time_point value) noexcept
    {
        m_ticks.store(value.time_since_epoch().count());
    }

  private:
    // starts at one hour, so that a default-constructed time_point is always in the past
    std::atomic<duration::rep> m_ticks{std::chrono::duration_cast<duration>(std::chrono::hours{1}).count()};
};

} // namespace teasellead
