#pragma once

#include <cstdint>
#include <string>

#include "teasellead/entry/upstream_client.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/current_revision.hpp"
#include "teasellead/routing/quarantine.hpp"
#include "teasellead/routing/single_attempt.hpp"
#include "teasellead/runtime/decision_log.hpp"

namespace teasellead
{

/// a non-idempotent request that was admitted
struct single_run
{
    std::string m_request_id;
    std::string m_fingerprint;
    shared_plan m_plan;
    std::string m_body;
    time_point m_send_deadline;
    time_point m_response_deadline;
    std::uint64_t m_seed{0}; ///< seed of the random choices
};

/*!
@brief runs non-idempotent requests: performs the actions of a @ref single_attempt over the network until it
is finished

Safe for use by several threads; each request blocks the calling thread.
*/
class single_runner
{
  public:
    /// dependencies of a runner; the referenced objects must outlive it
    struct dependencies
    {
        const monotonic_clock& m_clock;
        const current_revision& m_revisions;
        upstream_table& m_upstreams;
        upstream_client& m_client;
        quarantine& m_quarantine;
        decision_log& m_log;
    };

    explicit single_runner(dependencies injected);

    /*!
    @brief runs a request

    @param[in] request  the request

    @return the outcome, at the latest at the request's m_response_deadline
    */
    [[nodiscard]] single_result run(const single_run& request);

  private:
    dependencies m_dependencies;
};

} // namespace teasellead
