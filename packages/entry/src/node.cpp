#include "teasellead/entry/node.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

#include "teasellead/entry/fleet_agent.hpp"
#include "teasellead/entry/http_server.hpp"
#include "teasellead/entry/metrics.hpp"
#include "teasellead/entry/non_idempotent_handler.hpp"
#include "teasellead/entry/operator_pages.hpp"
#include "teasellead/entry/request_handler.hpp"
#include "teasellead/entry/search_runner.hpp"
#include "teasellead/entry/single_runner.hpp"
#include "teasellead/entry/upstream_client.hpp"
#include "teasellead/entry/worker_pool.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/current_revision.hpp"
#include "teasellead/kernel/hashing.hpp"
#include "teasellead/runtime/decision_log.hpp"
#include "teasellead/runtime/stop_schedule.hpp"

namespace teasellead
{

namespace
{

constexpr std::size_t max_operator_body = 10'000;
constexpr double extra_attempt_burst = 20.0;
constexpr std::chrono::milliseconds stop_check_interval{10};
constexpr std::chrono::seconds drain_memory{10};
constexpr std::uint32_t warm_up_replies_per_step = 4;
constexpr std::chrono::milliseconds warm_up_min_step{100};
constexpr std::chrono::seconds warm_up_max_step{10};
constexpr std::size_t request_id_secret_bytes = 32;
constexpr std::chrono::minutes request_id_lifetime{10};
constexpr quarantine_settings quarantine_bounds{std::chrono::seconds{60}, std::chrono::seconds{60}, 10'000,
                                                1'000};
constexpr request_memory_settings request_memory_bounds{50'000, 50'000, 4'096, 16};

upstream_table_settings table_settings_of(const node_settings& settings)
{
    const warm_up_settings warming{warm_up_replies_per_step, warm_up_min_step, warm_up_max_step};
    return upstream_table_settings{make_replica_selector(settings.m_replica_selector), warming,
                                   settings.m_cold_start_limit, drain_memory};
}

connection_policy policy_for(upstream_table& upstreams)
{
    return {[&upstreams](const endpoint& upstream) { return upstreams.connection_limit(upstream); },
            [&upstreams](const endpoint& upstream)
            {
                upstreams.on_disconnected(upstream);
            }};
}

} // namespace

class node::implementation
{
  public:
    explicit implementation(const node_settings& settings)
        : m_settings(settings), m_log(settings.m_log_format, settings.m_log_level),
          m_upstreams(table_settings_of(settings)),
          m_hedging(make_hedging_rule(settings.m_hedging),
                    extra_load_budget{settings.m_extra_load, extra_attempt_burst}),
          m_client(m_loop, m_clock, settings.m_max_reply, policy_for(m_upstreams)),
          m_fleet(settings, m_clock, m_revisions, m_upstreams, m_hedging, m_quarantine, m_log),
          m_search_runner({m_clock, m_revisions, m_upstreams, m_hedging, m_client, m_quarantine, m_log}),
          m_single_runner({m_clock, m_revisions, m_upstreams, m_client, m_quarantine, m_log}),
          m_id_issuer(settings.m_peer_listen, m_fleet.incarnation(), random_hex(request_id_secret_bytes),
                      m_clock.now(), request_id_lifetime),
          m_workers(settings.m_workers, settings.m_queue),
          m_non_idempotent_handler({m_loop, m_clock, m_revisions, m_fleet, m_id_issuer, m_memory,
                                    m_quarantine, m_single_runner, m_workers, m_log}),
          m_request_handler({m_clock, m_revisions, m_fleet, m_search_runner, m_non_idempotent_handler,
                             m_quarantine, m_workers, m_metrics, m_log}),
          m_operator_pages({m_clock, m_revisions, m_fleet, m_upstreams, m_hedging, m_metrics}),
          m_operator_server(m_loop, settings.m_operator_listen, max_operator_body,
                            [this](const runtime::http_request& request, const http_responder& respond)
                            { respond(m_operator_pages.handle(request)); }),
          m_caller_server(m_loop, settings.m_listen, settings.m_max_body,
                          [this](const runtime::http_request& request, http_responder respond)
                          { m_request_handler.handle(request, std::move(respond)); })
    {
        m_log.write(log_level::info, "started",
                    {{"listen", settings.m_listen.to_string()},
                     {"peer", settings.m_peer_listen.to_string()},
                     {"data_centre", settings.m_data_centre}});
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ~implementation()
    {
        // stops all threads that call members before the members are destroyed
        m_workers.stop();
        m_loop.stop();
    }

    bool stop()
    {
        m_log.write(log_level::info, "stopping", {});
        const runtime::stop_schedule schedule{m_clock.now(), m_settings.m_stop_timeout,
                                              m_settings.m_balancer_lag};
        m_fleet.leave();
        m_request_handler.begin_stop(schedule);
        m_caller_server.announce_close();
        std::this_thread::sleep_for(schedule.connections_close() - m_clock.now());
        m_caller_server.stop_listening();
        wait_for_callers(schedule.last_response());
        const std::uint64_t unfinished = m_caller_server.in_flight();
        m_caller_server.end_requests();
        wait_for_callers(schedule.process_end());
        m_log.write(log_level::info, "stopped", {{"unfinished", unfinished}});
        return unfinished == 0;
    }

  private:
    /// waits until all callers have their responses and no connection is left, or until a time
    void wait_for_callers(time_point end) const
    {
        while (m_caller_server.connections() > 0 && m_clock.now() < end)
        {
            std::this_thread::sleep_for(stop_check_interval);
        }
    }

    node_settings m_settings;
    system_monotonic_clock m_clock;
    runtime::loop_thread m_loop; ///< serves the connections of callers, operators and upstreams
    decision_log m_log;
    current_revision m_revisions;
    upstream_table m_upstreams;
    hedge_policy m_hedging;
    request_metrics m_metrics;
    quarantine m_quarantine{quarantine_bounds};
    request_memory m_memory{request_memory_bounds};
    upstream_client m_client;
    fleet_agent m_fleet;
    search_runner m_search_runner;
    single_runner m_single_runner;
    request_id_issuer m_id_issuer;
    worker_pool m_workers;
    non_idempotent_handler m_non_idempotent_handler;
    request_handler m_request_handler;
    operator_pages m_operator_pages;
    http_server m_operator_server;
    http_server m_caller_server;
};

node::node(const node_settings& settings) : m_implementation(std::make_unique<implementation>(settings))
{
}

node::~node() = default;

bool node::stop()
{
    return m_implementation->stop();
}

} // namespace teasellead
