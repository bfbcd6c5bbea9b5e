#include "teasellead/forwarding/retry_after.hpp"

#include <algorithm>

namespace teasellead::forwarding
{

namespace
{

using std::chrono::milliseconds;
using exact_milliseconds = std::chrono::duration<double, std::milli>;

// added for each more urgent priority, relative to the time of the most urgent one
constexpr double delay_per_priority = 0.5;
constexpr std::size_t max_delayed_priorities = 4;
// the interval of return ends at this multiple of its beginning
constexpr double spread_factor = 2.0;
// callers wait for at most this part of the time that they have left
constexpr int honoured_divisor = 3;
constexpr exact_milliseconds min_latest{10};

} // namespace

milliseconds retry_after_of(const return_conditions& conditions, random_source& random)
{
    const auto ranks = static_cast<double>(std::min(conditions.m_more_urgent, max_delayed_priorities));
    const exact_milliseconds wanted =
        std::max<exact_milliseconds>(conditions.m_base, conditions.m_expected_wait) *
        (1.0 + delay_per_priority * ranks);
    const exact_milliseconds longest =
        std::max<exact_milliseconds>(min_latest, conditions.m_time_left / honoured_divisor);
    const exact_milliseconds latest = std::min(wanted * spread_factor, longest);
    const exact_milliseconds earliest = std::min(wanted, latest / spread_factor);
    return std::chrono::ceil<milliseconds>(earliest + (latest - earliest) * random.unit());
}

} // namespace teasellead::forwarding
