#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "teasellead/forwarding/upstream.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead::forwarding
{

/// expected fraction of the attempts at an upstream that fail
using failure_estimate = std::function<double(const upstream&, time_point)>;

/*!
@brief probability that a shard replies; more than 0 if it has an upstream

@param[in] failure_ratios  expected failure ratios of the upstreams that can be used; changed by the call
@param[in] max_attempts    number of these that may be asked
*/
[[nodiscard]] double chance_of_reply(std::vector<double> failure_ratios, std::size_t max_attempts);

/*!
@brief probability that at least some of the shards reply

@param[in] shard_chances  probability of each shard's reply, independent of the others
@param[in] needed         number of shards that must reply

@complexity the number of shards times the number of those that may be missing
*/
[[nodiscard]] double chance_of_coverage(std::span<const double> shard_chances, std::size_t needed);

/// what is done with a search before anything is sent
enum class search_decision
{
    send,  ///< it is likely enough to reach its coverage
    probe, ///< it is unlikely to, but is sent to notice a recovery
    refuse ///< it is unlikely to reach its coverage
};

/*!
@brief refuses searches that are very unlikely to reach their coverage

Only recent results count as evidence: a shard from which no attempt has ended recently is expected to reply.
Not safe for concurrent use by several threads.
*/
class search_outlook
{
  public:
    /// records that an attempt at a service has ended
    void on_result(const std::string& service, time_point now);

    /// whether an attempt at a service has ended recently
    [[nodiscard]] bool has_evidence(const std::string& service, time_point now) const;

    /*!
    @brief decides about a search and counts the decision

    @param[in] shard_chances  probability of each shard's reply
    @param[in] needed         number of shards that must reply
    @param[in] is_most_urgent whether no more urgent requests use the shards; of these, more become probes
    @param[in] random         selects the probes
    */
    [[nodiscard]] search_decision decide(std::span<const double> shard_chances, std::size_t needed,
                                         bool is_most_urgent, random_source& random);

    [[nodiscard]] std::uint64_t refused() const noexcept
    {
        return m_refused;
    }

    [[nodiscard]] std::uint64_t probes() const noexcept
    {
        return m_probes;
    }

  private:
    std::unordered_map<std::string, time_point> m_last_results; ///< by service
    std::uint64_t m_refused{0};
    std::uint64_t m_probes{0};
};

} // namespace teasellead::forwarding
