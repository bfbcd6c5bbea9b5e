#include "teasellead/forwarding/expected_completion.hpp"
#include "teasellead/kernel/scaled_duration.hpp"

#include <algorithm>
#include <cmath>

namespace teasellead::forwarding
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

// a report can't make an upstream more attractive than no report; faster ones show it by their replies
constexpr double min_work_factor = 1.0;
constexpr double max_work_factor = 20.0;
constexpr double failure_weight = 4.0;
constexpr double cold_factor = 1.6;
constexpr double contention_weight = 0.25;
constexpr duration min_overdue_time = milliseconds{12};
constexpr double overdue_factor = 2.5;
constexpr duration overdue_penalty = milliseconds{120};
// stands for the price of bytes between data centres, and for an unknown distance
constexpr duration remote_penalty = milliseconds{2};
constexpr duration connect_time = microseconds{500};
constexpr duration max_wait = std::chrono::seconds{10};
// more requests ahead of the new one aren't believed, in multiples of the slots
constexpr double max_rounds_ahead = 1000.0;
// part of an expected time that an attempt is taken to need still, however close its end is
constexpr int remaining_divisor = 2;
// at least this part of a latency counts as time that the request ran
constexpr int min_run_divisor = 2;

/// this node's attempts in flight at one upstream; one that has run for longer than expected is one of the
/// expensive requests of its kind
struct own_attempts
{
    duration m_remaining{duration::zero()};
    bool m_is_overdue{false};
};

own_attempts summarise(const upstream& target, duration usual_run, time_point now) noexcept
{
    own_attempts result;
    for (const attempt_in_flight& each : target.attempts())
    {
        const bool is_known = each.m_expected.m_run > duration::zero();
        const duration run = is_known ? each.m_expected.m_run : usual_run;
        const duration late = is_known ? each.m_expected.m_overdue_after : scaled(usual_run, overdue_factor);
        const duration age = now - each.m_began;
        result.m_remaining +=
            age <= run ? std::max(run - age, run / remaining_divisor) : std::max(late - age, run);
        result.m_is_overdue = result.m_is_overdue || age > std::max(min_overdue_time, late);
    }
    return result;
}

} // namespace

double bounded_work_factor(double reported) noexcept
{
    if (!std::isfinite(reported) || reported <= 0.0)
    {
        return 1.0;
    }
    return std::clamp(reported, min_work_factor, max_work_factor);
}

completion_estimate expected_completion(const upstream& target, const work_estimate& work,
                                        const network_distance& distances,
                                        const connection_check& has_connection, time_point now)
{
    completion_estimate result;
    const std::optional<reported_load> load = target.current_load(now);
    result.m_work_factor = load ? bounded_work_factor(load->m_work_factor) : 1.0;
    const double cold = target.is_cold(now) ? cold_factor : 1.0;
    const double slowness = result.m_work_factor * target.slowness() * cold;
    result.m_run = scaled(work.m_mean, slowness);

    const duration usual_run = scaled(work.m_service_mean, slowness);
    const double slots = std::max<std::uint32_t>(target.entry().m_capacity, 1);
    const own_attempts own = summarise(target, usual_run, now);
    const double count = target.in_flight();
    duration wait = duration::zero();
    if (count >= slots)
    {
        // of so many attempts that end in any order, all but the last of those ahead must have ended
        wait += scaled(own.m_remaining, (count + 1.0 - slots) / (count * slots));
    }
    if (load)
    {
        const double busy = static_cast<double>(load->m_running) + load->m_waiting;
        // the report counts the request that it came with, in whose place the new one comes
        const double rounds_ahead = std::max(0.0, busy - slots) / slots;
        wait += scaled(usual_run, std::min(rounds_ahead, max_rounds_ahead));
    }
    result.m_wait = std::min(wait, max_wait);
    result.m_risk = scaled(own.m_remaining, contention_weight / slots) +
                    scaled(result.m_run, failure_weight * target.expected_failure_ratio(now));
    if (own.m_is_overdue)
    {
        result.m_risk += overdue_penalty;
    }
    const std::optional<duration> distance = distances.find(target.entry().m_data_centre);
    result.m_distance = distance.value_or(duration::zero());
    if (!distances.is_own(target.entry().m_data_centre))
    {
        result.m_risk += remote_penalty;
    }
    if (has_connection && !has_connection(target))
    {
        result.m_distance += connect_time + distance.value_or(duration::zero());
    }
    return result;
}

expected_attempt expected_attempt_of(const completion_estimate& estimate, const work_estimate& work) noexcept
{
    const double ratio = std::max(overdue_factor, work.m_late_ratio.value_or(overdue_factor));
    return {estimate.m_run, estimate.late_after(ratio)};
}

duration observed_run(duration latency, const completion_estimate& expected) noexcept
{
    return std::max(latency - expected.m_wait - expected.m_distance, latency / min_run_divisor);
}

} // namespace teasellead::forwarding
