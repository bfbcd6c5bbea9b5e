#pragma once

#include <cstdint>

#include "teasellead/forwarding/attempt_budget.hpp"
#include "teasellead/forwarding/capacity_queue.hpp"
#include "teasellead/forwarding/cold_start_limiter.hpp"
#include "teasellead/forwarding/crash_guard.hpp"
#include "teasellead/forwarding/dispatch_statistics.hpp"
#include "teasellead/forwarding/recent_priorities.hpp"
#include "teasellead/forwarding/search_outlook.hpp"
#include "teasellead/forwarding/upstream_directory.hpp"
#include "teasellead/forwarding/work_estimator.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead::forwarding
{

/// objects that all requests of a node share
struct dispatch_context
{
    upstream_directory& m_directory;
    attempt_budget& m_budget;
    cold_start_limiter& m_cold_starts;
    crash_guard& m_crash_guard;
    random_source& m_random;
    upstream_directory::capacity_check m_has_capacity;
    work_estimator m_work{};
    std::uint64_t m_choices{0};          ///< number of upstreams that were chosen
    std::uint64_t m_rerouted_choices{0}; ///< of these, the ones that the estimate of the work changed
    /// expected failures, for the outlook of searches
    failure_estimate m_failure_estimate{[](const upstream& each, time_point now)
                                        {
                                            return each.expected_failure_ratio(now);
                                        }};
    capacity_queue m_capacity_queue{};
    recent_priorities m_priorities{};
    search_outlook m_outlook{};
    dispatch_statistics m_statistics{};
};

} // namespace teasellead::forwarding
