#include "teasellead/routing/rerun.hpp"

#include <algorithm>
#include <memory>

#include "teasellead/kernel/overloaded.hpp"

namespace teasellead
{

namespace
{

bool lacks_snapshot(const coverage& stated)
{
    return std::any_of(stated.missing().begin(), stated.missing().end(),
                       [](const missing_shard& missing)
                       { return missing.reason() == missing_reason::wrong_snapshot; });
}

/// plan of the same route in a configuration, or null if the route, its service or its index isn't declared
shared_plan plan_in(const shared_revision& current, const route& requested)
{
    const configuration& declared = current->configuration();
    const route* const same = declared.find_route(requested.path());
    const service* const owner = same == nullptr ? nullptr : declared.find_service(same->service());
    const bool is_declared = owner != nullptr && declared.find_index(owner->index()) != nullptr;
    return is_declared ? std::make_shared<const query_plan>(current, *same) : nullptr;
}

bool is_newer(const query_plan& candidate, const query_plan& plan)
{
    const bool same_snapshot = candidate.snapshot() == plan.snapshot();
    return candidate.snapshot() > plan.snapshot() ||
           (same_snapshot && candidate.shard_map() > plan.shard_map());
}

} // namespace

std::string_view to_string(rerun_refusal refusal) noexcept
{
    switch (refusal)
    {
    case rerun_refusal::complete:
        return "complete";
    case rerun_refusal::other_reasons:
        return "other_reasons";
    case rerun_refusal::second_run:
        return "second_run";
    case rerun_refusal::not_idempotent:
        return "not_idempotent";
    case rerun_refusal::no_newer_snapshot:
        return "no_newer_snapshot";
    case rerun_refusal::too_late:
        return "too_late";
    case rerun_refusal::budget:
        return "budget";
    }
    return "budget";
}

rerun_decision decide_rerun(const finished_run& finished, const shared_revision& current)
{
    const coverage& stated = finished.result().coverage();
    if (stated.complete())
    {
        return keep_result{rerun_refusal::complete};
    }
    if (!lacks_snapshot(stated))
    {
        return keep_result{rerun_refusal::other_reasons};
    }
    if (finished.is_second())
    {
        return keep_result{rerun_refusal::second_run};
    }
    if (!finished.plan()->route().idempotent())
    {
        return keep_result{rerun_refusal::not_idempotent};
    }
    shared_plan plan = plan_in(current, finished.plan()->route());
    if (plan == nullptr || !plan->route().idempotent() || !is_newer(*plan, *finished.plan()))
    {
        return keep_result{rerun_refusal::no_newer_snapshot};
    }
    if (finished.time_left() < finished.elapsed() || finished.time_left() <= duration::zero())
    {
        return keep_result{rerun_refusal::too_late};
    }
    const auto cost = static_cast<std::uint32_t>(plan->targets().size());
    return run_again{std::move(plan), cost};
}

rerun_decision try_rerun(const finished_run& finished, const shared_revision& current, hedge_policy& budget)
{
    rerun_decision decision = decide_rerun(finished, current);
    const bool is_refused_by_budget =
        std::visit(overloaded{[&budget](const run_again& wanted) { return !budget.try_spend(wanted.cost()); },
                              [](const keep_result&)
                              {
                                  return false;
                              }},
                   decision);
    if (is_refused_by_budget)
    {
        return keep_result{rerun_refusal::budget};
    }
    return decision;
}

gather_result better_of(const gather_result& first, const gather_result& second)
{
    const bool keeps_first = first.coverage().fraction() > second.coverage().fraction();
    const gather_result& better = keeps_first ? first : second;
    return gather_result{better.snapshot(), better.coverage(), better.bodies(),
                         combine(first.verdict(), second.verdict())};
}

} // namespace teasellead
