#pragma once

#include "teasellead/entry/fleet_agent.hpp"
#include "teasellead/entry/metrics.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/current_revision.hpp"
#include "teasellead/routing/hedge_policy.hpp"
#include "teasellead/routing/upstream_table.hpp"
#include "teasellead/runtime/http_message.hpp"

namespace teasellead
{

/*!
@brief the HTTP pages for operators: readiness, report and metrics

Safe for use by several threads.
*/
class operator_pages
{
  public:
    /// objects whose state the pages show; they must outlive the pages
    struct dependencies
    {
        const monotonic_clock& m_clock;
        const current_revision& m_revisions;
        const fleet_agent& m_fleet;
        const upstream_table& m_upstreams;
        const hedge_policy& m_hedging;
        const request_metrics& m_metrics;
    };

    explicit operator_pages(dependencies injected);

    /*!
    @brief makes the response to a request

    @param[in] request  `/ready`, `/report` (JSON) or `/metrics` (text exposition format)

    @return the page, or status 404
    */
    [[nodiscard]] runtime::http_response handle(const runtime::http_request& request) const;

  private:
    [[nodiscard]] runtime::http_response ready() const;
    [[nodiscard]] runtime::http_response report() const;
    [[nodiscard]] runtime::http_response metrics() const;

    dependencies m_dependencies;
};

} // namespace teasellead
