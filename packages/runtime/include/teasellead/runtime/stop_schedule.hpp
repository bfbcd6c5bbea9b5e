#pragma once

#include <chrono>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::runtime
{

/*!
@brief times of a graceful stop, from the stop signal to the end of the process

New requests may arrive until the load balancer has noticed that the node isn't ready. A request that was read
gets a response before the process ends, so the node refuses what may not finish in time, as soon as it
arrives.
*/
class stop_schedule
{
  public:
    /*!
    @brief creates a schedule

    @param[in] began         when the stop began
    @param[in] grace_period  time from the stop signal after which the process may be killed
    @param[in] balancer_lag  longest time until the load balancer sends no more requests
    */
    stop_schedule(time_point began, duration grace_period, duration balancer_lag);

    /*!
    @brief whether a request that has just arrived may be started

    In the first part of the stop all requests are started, since nearly all of them end long before their
    deadline. Later ones are started only if their deadline lies within the stop.

    @param[in] now                current time
    @param[in] response_deadline  time by which the response to the request must be sent
    */
    [[nodiscard]] bool admits(time_point now, time_point response_deadline) const noexcept
    {
        return now < m_open_admission_end || response_deadline <= m_last_response;
    }

    /// from this time on the node accepts no connections and closes those without a request
    [[nodiscard]] time_point connections_close() const noexcept
    {
        return m_connections_close;
    }

    /// when requests that haven't finished get their final response
    [[nodiscard]] time_point last_response() const noexcept
    {
        return m_last_response;
    }

    /// when the process ends at the latest
    [[nodiscard]] time_point process_end() const noexcept
    {
        return m_process_end;
    }

    friend bool operator==(const stop_schedule&, const stop_schedule&) = default;

  private:
    time_point m_open_admission_end;
    time_point m_connections_close;
    time_point m_last_response;
    time_point m_process_end;
};

} // namespace teasellead::runtime
