#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "teasellead/forwarding/upstream_observation.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead::forwarding
{

/*!
@brief what other nodes have recently observed of one upstream

The effect of a single node is capped: only what at least two nodes reported to this node directly counts in
full. Reports that were relayed have no reliable origin, so that all of them together count as one node.
An empty view has no observations. Not safe for concurrent use by several threads.
*/
class peer_view
{
  public:
    /*!
    @brief stores an observation, in place of the earlier one of the same reporter

    @param[in] reporter  node that made the observation and sent it to this node; empty if it was relayed
    @param[in] observed  the observation
    @param[in] now       current time
    */
    void add(const std::optional<endpoint>& reporter, const upstream_observation& observed, time_point now);

    /// fraction of attempts that are expected to fail, 0 to 1; 0 without recent observations
    [[nodiscard]] double failure_ratio(time_point now) const noexcept;

    /// the load that is relied upon, with a work factor of at least 1; empty without a recent one
    [[nodiscard]] std::optional<reported_load> load(time_point now) const noexcept;

    /// most reporters of which an observation is kept
    static constexpr std::size_t max_reporters = 4;

    /// highest failure ratio that a single reporter causes
    static constexpr double single_failure_ratio = 0.3;

    /// highest work factor that a single reporter causes
    static constexpr double single_work_factor = 2.0;

  private:
    struct report
    {
        std::optional<endpoint> m_reporter; ///< empty for the latest relayed observation
        upstream_observation m_observed;
        time_point m_observed_at;
    };

    std::vector<report> m_reports;
};

} // namespace teasellead::forwarding
