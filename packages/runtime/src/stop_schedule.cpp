#include "teasellead/runtime/stop_schedule.hpp"

#include <algorithm>

namespace teasellead::runtime
{

namespace
{

using std::chrono::milliseconds;

// longest time from the first failed readiness check until a load balancer sends no more requests
constexpr milliseconds balancer_lag{3500};
// a stop that is noticed late, and requests that are read late, must not use up the time of a long request
constexpr milliseconds longest_open_admission{2900};
constexpr int open_admission_divisor = 2;
// time before the end of the grace period in which the last responses are written
constexpr milliseconds closing_time{500};
constexpr milliseconds process_end_margin{250};

} // namespace

stop_schedule::stop_schedule(time_point began, duration grace_period)
    : m_admission_narrows(began +
                          std::min<duration>(longest_open_admission, grace_period / open_admission_divisor)),
      m_connections_close(began + balancer_lag), m_last_response(began + grace_period - closing_time),
      m_process_end(began + grace_period - process_end_margin)
{
}

} // namespace teasellead::runtime
