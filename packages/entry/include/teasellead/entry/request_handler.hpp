#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "teasellead/entry/fleet_agent.hpp"
#include "teasellead/entry/http_server.hpp"
#include "teasellead/entry/metrics.hpp"
#include "teasellead/entry/non_idempotent_handler.hpp"
#include "teasellead/entry/search_runner.hpp"
#include "teasellead/entry/worker_pool.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/current_revision.hpp"
#include "teasellead/kernel/ordered_mutex.hpp"
#include "teasellead/runtime/decision_log.hpp"
#include "teasellead/runtime/stop_schedule.hpp"

namespace teasellead
{

/*!
@brief handles the requests of callers: checks route, key and limit, then queues and runs the request

Each response to a request that ran or was refused carries a verdict. Safe for use by several threads.
*/
class request_handler
{
  public:
    /// dependencies of a handler; the referenced objects must outlive it
    struct dependencies
    {
        const monotonic_clock& m_clock;
        const current_revision& m_revisions;
        fleet_agent& m_fleet;
        search_runner& m_search_runner;
        non_idempotent_handler& m_non_idempotent_handler;
        quarantine& m_quarantine;
        worker_pool& m_workers;
        request_metrics& m_metrics;
        decision_log& m_log;
    };

    explicit request_handler(dependencies injected);

    /*!
    @brief from now on refuses requests that may not finish before the node stops

    @param[in] stop  times of the stop
    */
    void begin_stop(const runtime::stop_schedule& stop);

    /*!
    @brief handles one request and responds at once or later; doesn't block

    @param[in] request  the request as received
    @param[in] respond  called once with the response; docs/wire.md describes status and verdict
    */
    void handle(const runtime::http_request& request, http_responder respond);

  private:
    struct accepted_request;
    struct pending_request;
    using shared_pending_request = std::shared_ptr<pending_request>;

    [[nodiscard]] bool admits(const accepted_request& accepted, time_point arrival) const;
    void start(const runtime::http_request& request, const shared_pending_request& pending);
    [[nodiscard]] std::variant<accepted_request, runtime::http_response>
    check(const runtime::http_request& request, pending_request& pending);
    [[nodiscard]] runtime::http_response issue_id(const accepted_request& accepted, request_record& record);
    void run_non_idempotent(const accepted_request& accepted, const runtime::http_request& request,
                            const shared_pending_request& pending);
    void run_search(accepted_request accepted, const shared_pending_request& pending);
    [[nodiscard]] std::optional<runtime::http_response> refusal_at_dispatch(const accepted_request& accepted,
                                                                            request_record& record);
    [[nodiscard]] runtime::http_response run(const accepted_request& accepted, request_record& record);
    void finish(const pending_request& pending, runtime::http_response response);

    dependencies m_dependencies;
    std::atomic<std::uint64_t> m_last_seed{0};
    mutable ordered_mutex<lock_level::stop> m_stop_mutex;
    std::optional<runtime::stop_schedule> m_stop; ///< once a stop has begun; guarded by m_stop_mutex
};

} // namespace teasellead
