#include "teasellead/runtime/forwarding_node.hpp"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <optional>

#include "caller_request_handler.hpp"
#include "eviction_log.hpp"
#include "node_state.hpp"
#include "operator_interface.hpp"
#include "settings_reload.hpp"
#include "teasellead/runtime/caller_server.hpp"
#include "teasellead/runtime/peer_messenger.hpp"
#include "teasellead/runtime/refusals.hpp"
#include "teasellead/runtime/request_driver.hpp"
#include "teasellead/runtime/stop_schedule.hpp"
#include "teasellead/runtime/suspend_aware_clock.hpp"
#include "teasellead/runtime/upstream_pool.hpp"

namespace teasellead::runtime
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{400};
constexpr unsigned ok = 200;
// longest time from the first failed readiness check until a load balancer sends no more requests
constexpr milliseconds balancer_lag{3500};
constexpr milliseconds surplus_check_period{1000};

node_incarnation new_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<node_incarnation>(std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

} // namespace

class forwarding_node::implementation
{
  public:
    implementation(const deployment& platform, decision_log& log)
        : m_settings(platform.settings()), m_protocol(platform.protocol()), m_decisions(log),
          m_log(log, m_clock), m_evictions(m_log),
          m_memory(std::make_shared<memory_budget>(memory_limits::for_memory(m_settings.m_memory_bytes))),
          m_incarnation(new_incarnation()), m_signals(m_loop, SIGTERM, SIGINT, SIGHUP), m_ticker(m_loop),
          m_stop_timer(m_loop), m_pool(m_loop, m_clock, connect_timeout, m_memory),
          m_state(platform, m_loop, m_clock, m_log, m_incarnation,
                  {[this](const forwarding::upstream& target, std::size_t connections)
                   { return m_pool.has_capacity(target, connections); },
                   [this](const forwarding::shared_route_table& table)
                   {
                       on_table(table);
                   }}),
          m_reload(platform, m_clock, m_log, [this](const forwarding_settings& next) { return apply(next); }),
          m_messenger(
              m_loop, make_zmq_peer_link(m_settings.m_peer_address, m_incarnation, fleet_key{}),
              [this](const peer_message& message) { return m_state.on_message(message); },
              [this] { m_request_handler.on_quota_decisions(); }),
          m_environment{m_loop,
                        m_clock,
                        m_protocol,
                        m_state.dispatch_context(),
                        m_state.configuration_lease(),
                        m_pool,
                        m_memory,
                        m_log,
                        [this]
                        {
                            m_messenger.send(m_state.take_messages());
                        }},
          m_request_handler(m_environment, m_state.quotas()),
          m_callers(m_loop, m_settings.m_caller_address,
                    [this](http_request request, respond_function respond)
                    { return m_request_handler.handle(std::move(request), std::move(respond)); }),
          m_readiness(m_loop, m_settings.m_readiness_address,
                      [this](const http_request&, const respond_function& respond)
                      {
                          respond({is_ready() ? ok : service_unavailable, {}, {}});
                          return disconnect_callback{};
                      })
    {
        if (m_settings.m_metrics_address.port() != 0)
        {
            m_metrics.emplace(m_loop, m_settings.m_metrics_address,
                              [this](const http_request& request, const respond_function& respond)
                              {
                                  respond(is_operator_request(request)
                                              ? handle_operator_request(request, m_state)
                                              : http_response{ok,
                                                              {{"Content-Type", "text/plain; version=0.0.4"}},
                                                              exposition()});
                                  return disconnect_callback{};
                              });
        }
        limit_connections();
        m_decisions.write(log_level::info, "started",
                          {{"node", m_settings.m_name},
                           {"data_centre", m_settings.m_data_centre},
                           {"callers", m_settings.m_caller_address.to_string()},
                           {"peers", m_settings.m_peer_address.to_string()}});
        wait_for_signal();
        tick();
    }

    bool run()
    {
        m_loop.run();
        return m_ended_early == 0;
    }

  private:
    void limit_connections()
    {
        const caller_connection_limits limits{m_clock, m_memory,
                                              max_operator_connections(m_settings.m_max_descriptors),
                                              [this](const eviction& each)
                                              {
                                                  m_evictions.add(each);
                                              }};
        m_readiness.limit_connections(limits);
        if (m_metrics)
        {
            m_metrics->limit_connections(limits);
        }
        caller_connection_limits of_callers = limits;
        of_callers.m_max_connections = max_caller_connections(m_settings.m_max_descriptors);
        m_callers.limit_connections(std::move(of_callers));
    }

    void on_table(const forwarding::shared_route_table& table)
    {
        m_callers.set_limits(table->content().m_limits);
        m_request_handler.set_table(table);
        m_request_handler.on_quota_decisions();
    }

    /// applies the settings that can be changed while the node runs; returns the names of those that changed
    std::string apply(const forwarding_settings& next)
    {
        if (next.m_seeds == m_seeds)
        {
            return {};
        }
        m_seeds = next.m_seeds;
        m_state.set_seeds(next.m_seeds);
        return "seeds";
    }

    [[nodiscard]] bool is_ready() const
    {
        return !m_stop && m_state.is_ready();
    }

    void tick()
    {
        m_messenger.receive();
        m_messenger.send(m_state.on_tick(m_stop.has_value()));
        m_messenger.prepare(m_state.peers());
        m_messenger.retain(m_state.receivers());
        m_pool.close_unused();
        close_surplus_connections();
        m_reload.on_tick();
        m_ticker.expires_after(tick_period);
        m_ticker.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    tick();
                }
            });
    }

    void close_surplus_connections()
    {
        const time_point now = m_clock.now();
        if (now >= m_next_surplus_check)
        {
            m_next_surplus_check = now + surplus_check_period;
            m_pool.close_surplus([this](const forwarding::upstream& target)
                                 { return m_state.connection_limit(target); });
        }
    }

    void wait_for_signal()
    {
        m_signals.async_wait(
            [this](const boost::system::error_code& error, int signal)
            {
                if (error)
                {
                    return;
                }
                if (signal == SIGHUP)
                {
                    m_reload.on_signal();
                }
                else
                {
                    begin_stop();
                }
                wait_for_signal();
            });
    }

    void begin_stop()
    {
        if (m_stop)
        {
            return;
        }
        m_stop.emplace(m_clock.now(), m_settings.m_grace_period, balancer_lag);
        m_decisions.write(log_level::info, "stopping", {{"in_flight", std::uint64_t{m_callers.in_flight()}}});
        m_callers.announce_close();
        m_request_handler.begin_stop(*m_stop);
        m_messenger.send(m_state.leave());
        continue_stop();
    }

    void continue_stop()
    {
        const time_point now = m_clock.now();
        const bool may_close = now >= m_stop->connections_close();
        if (may_close)
        {
            m_callers.close_idle();
        }
        if (now >= m_stop->last_response())
        {
            m_ended_early += m_request_handler.end_requests();
            m_callers.refuse_partial_requests();
        }
        const bool is_done = may_close && m_callers.connections() == 0;
        if (is_done || now >= m_stop->process_end())
        {
            m_decisions.write(log_level::info, "stopped",
                              {{"ended_early", std::uint64_t{m_ended_early}},
                               {"connections", std::uint64_t{m_callers.connections()}}});
            m_loop.stop();
            return;
        }
        constexpr milliseconds check_interval{50};
        m_stop_timer.expires_after(check_interval);
        m_stop_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    continue_stop();
                }
            });
    }

    [[nodiscard]] std::string exposition() const
    {
        return m_log.exposition() + m_state.exposition() + m_evictions.exposition(*m_memory) +
               exposition_line("teasellead_caller_connections", "gauge", m_callers.connections()) +
               exposition_line("teasellead_upstream_connections_opened_total", "counter", m_pool.opened()) +
               exposition_line("teasellead_upstream_connections_held", "gauge", m_pool.held()) +
               exposition_line("teasellead_upstream_connections_reset_on_first_use_total", "counter",
                               m_pool.reset_on_first_use()) +
               exposition_line("teasellead_requests_in_flight", "gauge", m_callers.in_flight());
    }

    // members are destroyed in reverse order, so that the servers stop before the objects that requests need
    const forwarding_settings m_settings;
    const wire_protocol& m_protocol;
    decision_log& m_decisions;
    suspend_aware_clock m_clock;
    request_log m_log;
    eviction_log m_evictions;
    std::shared_ptr<memory_budget> m_memory;
    const node_incarnation m_incarnation;
    asio::io_context m_loop{1};
    asio::signal_set m_signals;
    asio::steady_timer m_ticker;
    asio::steady_timer m_stop_timer;
    upstream_pool m_pool;
    node_state m_state;
    settings_reload m_reload;
    peer_messenger m_messenger;
    request_environment m_environment;
    caller_request_handler m_request_handler;
    caller_server m_callers;
    caller_server m_readiness;
    std::optional<caller_server> m_metrics;
    std::vector<endpoint> m_seeds{m_settings.m_seeds}; ///< current seed addresses, which a reload may change
    time_point m_next_surplus_check{};
    std::optional<stop_schedule> m_stop; ///< once a stop has begun
    std::size_t m_ended_early{0};        ///< requests whose upstreams were still at work at the end
};

forwarding_node::forwarding_node(const deployment& platform, decision_log& log)
    : m_implementation(std::make_unique<implementation>(platform, log))
{
}

forwarding_node::~forwarding_node() = default;

bool forwarding_node::run()
{
    return m_implementation->run();
}

} // namespace teasellead::runtime
