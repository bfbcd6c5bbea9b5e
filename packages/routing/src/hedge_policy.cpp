#include "teasellead/routing/hedge_policy.hpp"

#include <algorithm>
#include <mutex>
#include <unordered_set>

#include "teasellead/kernel/hashing.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/kernel/registry.hpp"
#include "teasellead/kernel/scaled_duration.hpp"

namespace teasellead
{

namespace
{

constexpr double default_quantile = 0.98;
constexpr double default_median_multiple = 4.0;
constexpr std::uint32_t default_min_samples = 20;
constexpr std::chrono::milliseconds default_min_threshold{1};

// if a larger fraction of replies exceeds the multiple of the median, the cap follows the tail's baseline
constexpr double wide_tail_fraction = 0.03;
constexpr double tail_multiple = 1.5;

constexpr std::uint32_t samples_per_update = 16;
constexpr std::uint32_t settling_samples = 200;

const registration<hedging_rule> no_hedging_registration{"none", []
                                                         {
                                                             return hedging_rule{no_hedging{}};
                                                         }};

const registration<hedging_rule> quantile_registration{
    "quantile", []
    {
        return hedging_rule{quantile_hedging{default_quantile, default_median_multiple, default_min_samples,
                                             default_min_threshold}};
    }};

} // namespace

hedging_rule make_hedging_rule(const std::string& name)
{
    return registry<hedging_rule>::instance().create(name);
}

hedge_policy::hedge_policy(hedging_rule rule, extra_load_budget budget) : m_rule(rule), m_budget(budget)
{
}

std::uint64_t hedge_policy::key_of(const shard_target& target) noexcept
{
    return hash64(target.shard().name(), hash64(target.service().name()));
}

duration hedge_policy::threshold(const shard_target& target) const
{
    const std::scoped_lock lock{m_mutex};
    const auto found = m_shards.find(key_of(target));
    return found == m_shards.end() ? duration::max() : found->second.m_threshold;
}

duration hedge_policy::update_cap(shard_state& state, const quantile_hedging& rule, time_point now)
{
    const latency_histogram& latencies = state.m_latencies;
    const duration median = latencies.quantile(0.5);
    const bool is_settling = latencies.size() < settling_samples;
    state.m_median_baseline.update(median, is_settling, now);
    state.m_tail_baseline.update(latencies.quantile(rule.quantile()), is_settling, now);
    const duration cap = scaled(state.m_median_baseline.value(), rule.median_multiple());
    const bool has_wide_tail =
        latencies.fraction_above(scaled(median, rule.median_multiple())) > wide_tail_fraction;
    // a cap within the usual spread of a shard's latencies would require more hedges than the budget allows
    return has_wide_tail ? std::max(cap, scaled(state.m_tail_baseline.value(), tail_multiple)) : cap;
}

void hedge_policy::update_limits(shard_state& state, time_point now) const
{
    std::visit(overloaded{[](const no_hedging&) {},
                          [&state, now](const quantile_hedging& rule)
                          {
                              const duration cap = update_cap(state, rule, now);
                              const duration tail = state.m_latencies.quantile(rule.quantile());
                              const duration median = state.m_latencies.quantile(0.5);
                              state.m_limit = std::max(rule.min_threshold(), std::min(cap, tail));
                              // if most replies are late, another replica is no faster
                              state.m_threshold = median > cap ? duration::max() : state.m_limit;
                          }},
               m_rule);
}

void hedge_policy::add(shard_state& state, duration latency, time_point now) const
{
    state.m_latencies.add(latency);
    ++state.m_samples_since_update;
    const auto* const rule = std::get_if<quantile_hedging>(&m_rule);
    const bool is_enough = rule != nullptr && state.m_latencies.size() >= rule->min_samples();
    if (is_enough && state.m_samples_since_update >= samples_per_update)
    {
        state.m_samples_since_update = 0;
        update_limits(state, now);
    }
}

void hedge_policy::on_reply(const shard_target& target, duration latency, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    shard_state& state = m_shards[key_of(target)];
    if (latency <= state.m_limit)
    {
        m_budget.deposit();
    }
    else
    {
        m_budget.charge_late();
    }
    add(state, latency, now);
}

void hedge_policy::on_cancelled(const shard_target& target, duration elapsed, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    shard_state& state = m_shards[key_of(target)];
    if (elapsed > state.m_limit)
    {
        m_budget.charge_late();
        add(state, elapsed, now);
    }
}

void hedge_policy::on_shed()
{
    const std::scoped_lock lock{m_mutex};
    m_budget.charge_late();
}

bool hedge_policy::try_spend(std::uint32_t attempts)
{
    const std::scoped_lock lock{m_mutex};
    return m_budget.try_spend(attempts);
}

void hedge_policy::refund()
{
    const std::scoped_lock lock{m_mutex};
    m_budget.refund();
}

void hedge_policy::retain(const configuration& current)
{
    std::unordered_set<std::uint64_t> declared;
    for (const service& owner : current.services())
    {
        for (const shard& declared_shard : owner.shards())
        {
            declared.insert(key_of(shard_target{owner, declared_shard}));
        }
    }
    const std::scoped_lock lock{m_mutex};
    std::erase_if(m_shards, [&declared](const auto& known) { return !declared.contains(known.first); });
}

std::size_t hedge_policy::tracked_shards() const
{
    const std::scoped_lock lock{m_mutex};
    return m_shards.size();
}

std::uint64_t hedge_policy::spent() const
{
    const std::scoped_lock lock{m_mutex};
    return m_budget.spent();
}

} // namespace teasellead
