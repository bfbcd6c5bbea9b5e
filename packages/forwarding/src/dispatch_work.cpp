#include <algorithm>

#include "teasellead/forwarding/dispatch.hpp"
#include "teasellead/kernel/scaled_duration.hpp"

namespace teasellead::forwarding
{

namespace
{

// fractions of the latency objective
constexpr double min_hedge_fraction = 0.08;
constexpr double max_hedge_fraction = 0.4;
constexpr int overdue_factor = 2;

} // namespace

duration dispatch::hedge_delay(const upstream_choice& choice) const
{
    const duration longest = scaled(m_request.m_objective, max_hedge_fraction);
    if (!choice.m_work.m_late_ratio)
    {
        return longest;
    }
    return std::clamp(choice.m_expected.late_after(*choice.m_work.m_late_ratio),
                      scaled(m_request.m_objective, min_hedge_fraction), longest);
}

bool dispatch::is_overdue(const attempt_state& attempt, time_point now) const noexcept
{
    const duration expected = std::max(attempt.m_expected.late_after(1.0), m_request.m_objective);
    return now - attempt.m_began > expected * overdue_factor;
}

void dispatch::learn_work(const attempt_state& answered, time_point now)
{
    const duration latency = now - answered.m_began;
    const completion_estimate& expected = answered.m_expected;
    const duration run = observed_run(latency, expected);
    const auto load = answered.m_upstream->current_load(now);
    const double factor = load ? bounded_work_factor(load->m_work_factor) : expected.m_work_factor;
    const duration work = std::chrono::duration_cast<duration>(run / factor);
    const std::string& service = m_request.m_services[answered.m_sub_request];
    answered.m_upstream->on_work(static_cast<double>(work.count()) /
                                 static_cast<double>(answered.m_work.m_mean.count()));
    const double run_ratio = static_cast<double>(run.count()) / static_cast<double>(expected.m_run.count());
    m_context->m_work.add(m_profile, service, answered.m_work, work, run_ratio);
    m_context->m_directory.on_latency(*answered.m_upstream, latency);
}

} // namespace teasellead::forwarding
