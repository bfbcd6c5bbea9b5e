#include "teasellead/runtime/stop_schedule.hpp"

#include <algorithm>

namespace teasellead::runtime
{

namespace
{

using std::chrono::milliseconds;

// for how long all requests are started, at most and as a fraction of the grace period; less than three
// seconds, because the signal and the requests themselves may be noticed late
constexpr milliseconds longest_open_admission{2900};
constexpr int open_admission_divisor = 2;
// the end of the grace period, in which the last responses are written and the process ends; at most, and as
// a fraction of the grace period
constexpr milliseconds longest_closing_time{500};
constexpr int closing_time_divisor = 8;

} // namespace

stop_schedule::stop_schedule(time_point began, duration grace_period, duration balancer_lag)
{
    const duration closing_time =
        std::min<duration>(longest_closing_time, grace_period / closing_time_divisor);
    m_open_admission_end =
        began + std::min<duration>(longest_open_admission, grace_period / open_admission_divisor);
    m_last_response = began + grace_period - closing_time;
    m_connections_close = std::min(began + balancer_lag, m_last_response);
    m_process_end = m_last_response + closing_time / 2;
}

} // namespace teasellead::runtime
