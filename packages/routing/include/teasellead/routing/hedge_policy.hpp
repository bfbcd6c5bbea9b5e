#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <variant>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/ordered_mutex.hpp"
#include "teasellead/routing/extra_load_budget.hpp"
#include "teasellead/routing/latency_baseline.hpp"
#include "teasellead/routing/latency_histogram.hpp"
#include "teasellead/routing/query_plan.hpp"

namespace teasellead
{

/// no hedges; serves as a baseline in measurements
struct no_hedging
{
};

/// a hedge once an attempt has taken longer than a quantile of the shard's recent latencies
class quantile_hedging
{
  public:
    /*!
    @brief creates a rule

    @param[in] quantile         quantile of the shard's recent latencies
    @param[in] median_multiple  cap of the threshold, as a multiple of the median's baseline
    @param[in] min_samples      number of replies of a shard before its first hedge
    @param[in] min_threshold    lower bound of the threshold
    */
    constexpr quantile_hedging(double quantile, double median_multiple, std::uint32_t min_samples,
                               duration min_threshold) noexcept
        : m_quantile(quantile), m_median_multiple(median_multiple), m_min_samples(min_samples),
          m_min_threshold(min_threshold)
    {
    }

    [[nodiscard]] constexpr double quantile() const noexcept
    {
        return m_quantile;
    }

    [[nodiscard]] constexpr double median_multiple() const noexcept
    {
        return m_median_multiple;
    }

    [[nodiscard]] constexpr std::uint32_t min_samples() const noexcept
    {
        return m_min_samples;
    }

    [[nodiscard]] constexpr duration min_threshold() const noexcept
    {
        return m_min_threshold;
    }

  private:
    double m_quantile;
    double m_median_multiple;
    std::uint32_t m_min_samples;
    duration m_min_threshold;
};

/// when a slow attempt is hedged; the rules are registered by name with the kernel
using hedging_rule = std::variant<no_hedging, quantile_hedging>;

/// the rule of a registered name; @throw settings_error 203 if there is none
[[nodiscard]] hedging_rule make_hedging_rule(const std::string& name);

/*!
@brief decides when hedges and retries may be made and charges them to one budget

Safe for use by several threads.
*/
class hedge_policy
{
  public:
    hedge_policy(hedging_rule rule, extra_load_budget budget);

    /*!
    @brief time after which an unanswered attempt on a shard is hedged

    @param[in] target  the shard

    @return the time, or @ref duration::max() if it must not be hedged

    @complexity constant
    */
    [[nodiscard]] duration threshold(const shard_target& target) const;

    /*!
    @brief records the latency of an attempt that isn't a hedge

    A reply in time adds a fraction of an extra attempt to the budget, a late one takes some from it.

    @param[in] target   the shard
    @param[in] latency  time from sending to reply
    @param[in] now      current time
    */
    void on_reply(const shard_target& target, duration latency, time_point now);

    /*!
    @brief records that an attempt that isn't a hedge was cancelled

    @param[in] target   the shard
    @param[in] elapsed  time since sending; its reply would have taken longer
    @param[in] now      current time
    */
    void on_cancelled(const shard_target& target, duration elapsed, time_point now);

    /// records that an upstream refused an attempt for overload
    void on_shed();

    /*!
    @brief takes extra attempts out of the budget, all or none

    @param[in] attempts  number of hedges or retries

    @return whether they may be made
    */
    [[nodiscard]] bool try_spend(std::uint32_t attempts = 1);

    /// returns one extra attempt to the budget that wasn't made for lack of a replica
    void refund();

    /*!
    @brief removes the state of shards that a configuration doesn't declare

    Must be called after each change of the configuration, or memory grows with each new shard map.

    @param[in] current  current configuration

    @complexity linear in the number of shards
    */
    void retain(const configuration& current);

    /// number of shards whose latencies are tracked
    [[nodiscard]] std::size_t tracked_shards() const;

    /// number of hedges and retries so far
    [[nodiscard]] std::uint64_t spent() const;

  private:
    using mutex = ordered_mutex<lock_level::extra_load>;

    struct shard_state
    {
        latency_histogram m_latencies;
        latency_baseline m_median_baseline;
        latency_baseline m_tail_baseline;      ///< baseline of the rule's quantile
        duration m_threshold{duration::max()}; ///< time after which an attempt is hedged
        duration m_limit{duration::max()};     ///< latency above which a reply is late
        std::uint32_t m_samples_since_update{0};
    };

    [[nodiscard]] static std::uint64_t key_of(const shard_target& target) noexcept;
    void add(shard_state& state, duration latency, time_point now) const;
    static duration update_cap(shard_state& state, const quantile_hedging& rule, time_point now);
    void update_limits(shard_state& state, time_point now) const;

    const hedging_rule m_rule;
    mutable mutex m_mutex;
    extra_load_budget m_budget;
    std::unordered_map<std::uint64_t, shard_state> m_shards;
};

} // namespace teasellead
