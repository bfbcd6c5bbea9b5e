#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "teasellead/entry/upstream_client.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/current_revision.hpp"
#include "teasellead/routing/gather.hpp"
#include "teasellead/routing/quarantine.hpp"
#include "teasellead/runtime/decision_log.hpp"

namespace teasellead
{

/// an idempotent request that was admitted
struct search_request
{
    std::string m_request_id;
    std::string m_fingerprint;
    shared_plan m_plan;
    std::string m_body;
    time_point m_response_deadline;
    std::uint64_t m_seed{0}; ///< seed of the random choices
};

/// result of a search, or the quarantine that stopped it
using search_outcome = std::variant<gather_result, request_quarantined>;

/*!
@brief runs searches: performs the actions of a @ref gather over the network until it is finished

Safe for use by several threads; each search blocks the calling thread.
*/
class search_runner
{
  public:
    /// dependencies of a runner; the referenced objects must outlive it
    struct dependencies
    {
        const monotonic_clock& m_clock;
        const current_revision& m_revisions;
        upstream_table& m_upstreams;
        hedge_policy& m_hedging;
        upstream_client& m_client;
        quarantine& m_quarantine;
        decision_log& m_log;
    };

    explicit search_runner(dependencies injected);

    /*!
    @brief runs a search, and reruns it on a newer snapshot if shards are missing for the old one

    @param[in] request  the search

    @return the result, complete or partial, at the latest at the response deadline; at once the quarantine of
            a request that crashes upstreams
    */
    [[nodiscard]] search_outcome run(const search_request& request);

  private:
    [[nodiscard]] search_outcome run_plan(const search_request& request, const shared_plan& plan);
    [[nodiscard]] search_outcome rerun_if_useful(const search_request& request, const gather_result& first,
                                                 time_point started);

    dependencies m_dependencies;
};

} // namespace teasellead
