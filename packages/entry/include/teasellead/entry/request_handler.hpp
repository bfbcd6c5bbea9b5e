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
#include "teasellead/kernel/revision_cell.hpp"
#include "teasellead/runtime/decision_log.hpp"

namespace teasellead
{

/*!
@brief answers callers: checks route, key and limit, queues the request and runs it

Each answer and each refusal carries a verdict. Safe for use by several threads.
*/
class request_handler
{
  public:
    /// what a handler works with; the referenced objects must outlive it
    struct parts
    {
        const monotonic_clock& m_clock;
        const revision_cell& m_revisions;
        fleet_agent& m_fleet;
        search_runner& m_searches;
        non_idempotent_handler& m_singles;
        quarantine& m_crashes;
        worker_pool& m_workers;
        request_metrics& m_metrics;
        decision_log& m_log;
    };

    explicit request_handler(parts used);

    /*!
    @brief answers one request

    @param[in] request  the request as received

    @return the answer; status and verdict are described in docs/wire.md
    */
    [[nodiscard]] http_response handle(const http_request& request);

    /// makes every answer ask the caller to connect again, since this node stops soon
    void drain() noexcept
    {
        m_draining = true;
    }

  private:
    struct accepted_request;

    [[nodiscard]] http_response answer(const http_request& request, request_record& record);
    [[nodiscard]] std::variant<accepted_request, http_response>
    check(const http_request& request, time_point arrival, request_record& record);
    [[nodiscard]] http_response issue_id(const accepted_request& accepted, request_record& record);
    [[nodiscard]] http_response run_once(const accepted_request& accepted, const http_request& request,
                                         request_record& record);
    [[nodiscard]] http_response run_search(accepted_request accepted, request_record& record);
    [[nodiscard]] std::optional<http_response> refusal_at_dispatch(const accepted_request& accepted,
                                                                   request_record& record);
    [[nodiscard]] http_response run(const accepted_request& accepted, request_record& record);

    parts m_parts;
    std::atomic<bool> m_draining{false};
    std::atomic<std::uint64_t> m_last_seed{0};
};

} // namespace teasellead
