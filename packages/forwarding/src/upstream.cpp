#include "teasellead/forwarding/upstream.hpp"

#include <algorithm>

namespace teasellead::forwarding
{

namespace
{

using std::chrono::milliseconds;

constexpr int latency_smoothing = 8; // divisor of each reply's deviation from the average
constexpr double failure_smoothing = 0.15;
constexpr std::uint32_t failures_before_ejection = 3;
constexpr duration min_ejection = milliseconds{250};
constexpr duration max_ejection = milliseconds{4000};
constexpr duration load_report_lifetime = milliseconds{250};
constexpr std::uint32_t slowness_smoothing = 8;
// replies that deviate more count as ones at this bound
constexpr double max_slowness_ratio = 16.0;
// after a pause, the limit of attempts in flight starts at 1 and doubles with each step, until there is none
constexpr duration ramp_up_step = milliseconds{250};
constexpr int ramp_up_steps = 5;
// ended attempts after which the observations of peers have no effect
constexpr std::uint32_t sufficient_outcomes = 4;
// from these on, other nodes are told
constexpr double notable_failure_ratio = 0.1;
constexpr double notable_work_factor = 2.0;
// an observation is sent for this long after the attempt that it comes from
constexpr duration announce_time = milliseconds{300};
// how long after the last trouble an upstream counts as just recovered
constexpr duration recovery_time = observation_lifetime;

/// the trouble that a failure of an attempt is a sign of
upstream_trouble trouble_of(attempt_failure failure) noexcept
{
    switch (failure)
    {
    case attempt_failure::shed:
        return upstream_trouble::shed;
    case attempt_failure::abandoned:
        return upstream_trouble::slow;
    default:
        return upstream_trouble::broken;
    }
}

} // namespace

std::string_view to_string(attempt_failure failure) noexcept
{
    switch (failure)
    {
    case attempt_failure::not_connected:
        return "not_connected";
    case attempt_failure::not_sent:
        return "not_sent";
    case attempt_failure::shed:
        return "shed";
    case attempt_failure::wrong_instance:
        return "wrong_instance";
    case attempt_failure::broken:
        return "broken";
    case attempt_failure::unusable:
        return "unusable";
    case attempt_failure::failed:
        return "failed";
    case attempt_failure::abandoned:
        return "abandoned";
    }
    return "unknown";
}

upstream::upstream(upstream_entry entry, time_point now)
    : m_entry(std::move(entry)), m_cold_until(now + m_entry.m_warm_up_left)
{
}

void upstream::update(upstream_entry entry, time_point now)
{
    if (entry.m_warm_up_left > milliseconds::zero())
    {
        m_cold_until = now + entry.m_warm_up_left;
    }
    m_entry = std::move(entry);
    m_is_removed = false;
}

bool upstream::is_ejected(time_point now) const noexcept
{
    return now < m_ejected_until;
}

bool upstream::is_below_ramp_up_limit(time_point now) const noexcept
{
    if (m_paused_until == time_point{})
    {
        return true;
    }
    const auto steps = (now - m_paused_until) / ramp_up_step;
    return steps >= ramp_up_steps || in_flight() < (1U << steps);
}

void upstream::on_start(time_point now, const expected_attempt& expected)
{
    m_attempts.push_back({now, expected});
    if (m_consecutive_failures >= failures_before_ejection)
    {
        // after an ejection, only one attempt at a time until one succeeds
        m_ejected_until = now + m_ejection_time;
    }
}

void upstream::remove_in_flight(time_point began)
{
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(),
                                    [began](const attempt_in_flight& each) { return each.m_began == began; });
    if (found != m_attempts.end())
    {
        m_attempts.erase(found);
    }
}

void upstream::on_delayed(time_point began, time_point now) noexcept
{
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(),
                                    [began](const attempt_in_flight& each) { return each.m_began == began; });
    if (found != m_attempts.end())
    {
        found->m_began = now;
    }
}

void upstream::on_cancelled(time_point began)
{
    remove_in_flight(began);
}

void upstream::on_load(const reported_load& load, time_point now)
{
    m_load = bounded(load);
    m_reported_at = now;
    update_trouble(now);
}

void upstream::count_outcome(time_point now)
{
    const bool is_recent = now - m_last_outcome < observation_lifetime;
    m_recent_outcomes = is_recent ? std::min(m_recent_outcomes + 1, sufficient_outcomes) : 1;
    m_last_outcome = now;
    update_trouble(now);
}

upstream_trouble upstream::own_trouble(time_point now) const noexcept
{
    if (m_failure_ratio >= notable_failure_ratio)
    {
        return m_last_failure;
    }
    const bool is_loaded =
        m_load && now - m_reported_at < load_report_lifetime &&
        (m_load->m_waiting >= m_load->m_slots || m_load->m_work_factor >= notable_work_factor);
    return is_loaded ? upstream_trouble::slow : upstream_trouble::none;
}

void upstream::update_trouble(time_point now)
{
    if (own_trouble(now) != upstream_trouble::none)
    {
        m_last_trouble = now;
    }
}

std::optional<upstream_observation> upstream::observation(time_point now) const
{
    const time_point observed_at = std::max(m_last_outcome, m_reported_at);
    const bool is_recent = now - observed_at < announce_time;
    const bool was_in_trouble = m_last_trouble != time_point{} && now - m_last_trouble < recovery_time;
    if (!is_recent || !was_in_trouble)
    {
        return std::nullopt;
    }
    upstream_observation result;
    result.m_trouble = own_trouble(now);
    result.m_failure_ratio = m_failure_ratio;
    if (now - m_reported_at < load_report_lifetime)
    {
        result.m_load = m_load;
    }
    result.m_age = now - observed_at;
    return result;
}

void upstream::on_peer_observation(const std::optional<endpoint>& reporter,
                                   const upstream_observation& observed, time_point now)
{
    m_peers.add(reporter, observed, now);
}

std::optional<reported_load> upstream::current_load(time_point now) const
{
    const bool is_recent = m_load && now - m_reported_at < load_report_lifetime;
    if (is_recent)
    {
        return m_load;
    }
    auto result = m_peers.load(now);
    if (result)
    {
        // peers can't claim more slots than the upstream has published
        result->m_slots = std::clamp(result->m_slots, 1U, std::max(m_entry.m_capacity, 1U));
    }
    return result;
}

double upstream::expected_failure_ratio(time_point now) const noexcept
{
    const double own = now - m_last_outcome < observation_lifetime ? m_recent_outcomes : 0.0;
    const double peers_weight = 1.0 - own / sufficient_outcomes;
    return std::max(m_failure_ratio, peers_weight * m_peers.failure_ratio(now));
}

void upstream::on_reply(time_point began, time_point now)
{
    remove_in_flight(began);
    const duration latency = now - began;
    m_mean_latency = m_mean_latency == duration::zero()
                         ? latency
                         : m_mean_latency + (latency - m_mean_latency) / latency_smoothing;
    m_failure_ratio *= 1.0 - failure_smoothing;
    m_consecutive_failures = 0;
    m_ejected_until = time_point{};
    m_ejection_time = duration::zero();
    count_outcome(now);
}

void upstream::on_failure(time_point began, attempt_failure failure, time_point now)
{
    remove_in_flight(began);
    m_failure_ratio += failure_smoothing * (1.0 - m_failure_ratio);
    ++m_consecutive_failures;
    m_last_failure = trouble_of(failure);
    count_outcome(now);
    const bool is_unreachable =
        failure == attempt_failure::not_connected || failure == attempt_failure::wrong_instance;
    if (is_unreachable || m_consecutive_failures >= failures_before_ejection)
    {
        m_consecutive_failures = std::max(m_consecutive_failures, failures_before_ejection);
        m_ejection_time = std::clamp(2 * m_ejection_time, min_ejection, max_ejection);
        m_ejected_until = now + m_ejection_time;
    }
}

void upstream::on_work(double ratio) noexcept
{
    m_slowness_replies = std::min(m_slowness_replies + 1, slowness_smoothing - 1);
    const double bounded = std::clamp(ratio, 1.0 / max_slowness_ratio, max_slowness_ratio);
    // the initial value counts as one reply
    m_slowness += (bounded - m_slowness) / (m_slowness_replies + 1);
}

} // namespace teasellead::forwarding
