#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

#include "teasellead/entry/fleet_agent.hpp"
#include "teasellead/entry/single_runner.hpp"
#include "teasellead/entry/worker_pool.hpp"
#include "teasellead/kernel/authentication.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/current_revision.hpp"
#include "teasellead/routing/final_response.hpp"
#include "teasellead/routing/quarantine.hpp"
#include "teasellead/routing/request_id.hpp"
#include "teasellead/routing/request_memory.hpp"
#include "teasellead/runtime/decision_log.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace teasellead
{

/// a request on a non-idempotent route, from a caller or forwarded by a peer
struct non_idempotent_request
{
    std::string m_request_id;
    std::string m_client_account;
    std::optional<authenticated> m_key; ///< API key of the caller; none if a peer has checked it
    std::string m_route;
    std::string m_body;
    time_point m_response_deadline;
};

/*!
@brief runs each non-idempotent request at most once in the whole fleet

A request whose id was issued by this node runs here; any other is forwarded to the node that issued its id.
Safe for use by several threads.
*/
class non_idempotent_handler
{
  public:
    /// dependencies of a handler; the referenced objects must outlive it
    struct dependencies
    {
        runtime::loop_thread& m_loop;
        const monotonic_clock& m_clock;
        const current_revision& m_revisions;
        fleet_agent& m_fleet;
        request_id_issuer& m_id_issuer;
        request_memory& m_memory;
        quarantine& m_quarantine;
        single_runner& m_runner;
        worker_pool& m_workers;
        decision_log& m_log;
    };

    /// creates a handler and registers it for the requests that peers forward to this node
    explicit non_idempotent_handler(dependencies injected);
    non_idempotent_handler(const non_idempotent_handler&) = delete;
    non_idempotent_handler& operator=(const non_idempotent_handler&) = delete;
    ~non_idempotent_handler();

    /*!
    @brief handles a request and delivers its answer at once or later; doesn't block

    @param[in] request    the request, whose client account is authenticated
    @param[in] on_answer  called once with the answer, at the latest at the request's m_response_deadline
    */
    void handle(const non_idempotent_request& request, response_listener on_answer);

    /// issues a request id for a client account
    [[nodiscard]] std::string issue_id(const std::string& client_account);

  private:
    void on_forwarded(const forwarded_request& forwarded);
    void forward(const non_idempotent_request& request, const foreign_request_id& id,
                 response_listener on_answer);
    void admit(const non_idempotent_request& request, const own_request_id& id,
               const response_listener& on_answer);
    void enqueue(const non_idempotent_request& request, const own_request_id& id,
                 const response_listener& on_answer);
    [[nodiscard]] final_response run(const non_idempotent_request& request, const std::string& fingerprint);
    [[nodiscard]] std::optional<final_response> refusal_at_dispatch(const non_idempotent_request& request);

    dependencies m_dependencies;
    std::atomic<std::uint64_t> m_last_seed{0};
};

} // namespace teasellead
