#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "connection_limits.hpp"
#include "explain_request.hpp"
#include "publication_agent.hpp"
#include "teasellead/fleet/crash_exchange.hpp"
#include "teasellead/fleet/quota_ledger.hpp"
#include "teasellead/fleet/roster.hpp"
#include "teasellead/fleet/upstream_exchange.hpp"
#include "teasellead/forwarding/configuration_lease.hpp"
#include "teasellead/forwarding/dispatch.hpp"
#include "teasellead/forwarding/route_table.hpp"
#include "teasellead/kernel/random.hpp"
#include "teasellead/runtime/deployment.hpp"
#include "teasellead/runtime/histogram.hpp"
#include "teasellead/runtime/request_log.hpp"

namespace teasellead::runtime
{

/// callbacks by which a node state queries and notifies its node
struct node_callbacks
{
    /// whether a further attempt can be sent to an upstream over at most the given number of connections
    std::function<bool(const forwarding::upstream&, std::size_t connections)> m_has_capacity;

    /// called when a newer configuration has replaced the route table
    std::function<void(const forwarding::shared_route_table&)> m_on_route_table;
};

/// time between two calls of @ref node_state::on_tick
inline constexpr std::chrono::milliseconds tick_period{100};

/*!
@brief state of a node that depends on other nodes: membership, rate limits, crash records, observations of
upstreams and published items

It has no sockets of its own: messages are passed in and returned as values, so that tests can run whole
fleets in simulated time. Not thread-safe.
*/
class node_state
{
  public:
    /*!
    @brief creates the state of a node that has just started; the referenced objects must outlive it

    @param[in] platform     adapter to the platform; decodes items and creates their source
    @param[in] loop         event loop of the source
    @param[in] clock        clock of all decisions
    @param[in] log          log for decisions and events
    @param[in] incarnation  number greater than that of any earlier process with the same address
    @param[in] callbacks    callbacks to the node
    */
    node_state(const deployment& platform, asio::io_context& loop, const monotonic_clock& clock,
               request_log& log, node_incarnation incarnation, node_callbacks callbacks);

    node_state(const node_state&) = delete;
    node_state& operator=(const node_state&) = delete;

    /*!
    @brief performs periodic work; must be called every @ref tick_period

    @param[in] is_leaving  whether the node is stopping

    @return messages to send
    */
    [[nodiscard]] std::vector<outgoing_message> on_tick(bool is_leaving);

    /// processes a message of another node; returns the messages to send
    [[nodiscard]] std::vector<outgoing_message> on_message(const peer_message& message);

    /// starts to leave the fleet; returns the messages that announce it to the other nodes
    [[nodiscard]] std::vector<outgoing_message> leave();

    /// replaces the seed addresses, which are contacted to join the fleet
    void set_seeds(const std::vector<endpoint>& seeds)
    {
        m_members.set_seeds(seeds);
    }

    /// whether the node can serve requests: all published items were received and it has joined the fleet
    [[nodiscard]] bool is_ready() const;

    /// largest number of connections that this node may hold to an upstream
    [[nodiscard]] std::size_t connection_limit(const forwarding::upstream& target)
    {
        return m_connection_limits.limit(target, m_clock.now());
    }

    /// addresses of the other nodes that may be serving
    [[nodiscard]] std::vector<endpoint> peers() const
    {
        return m_members.peers(m_clock.now());
    }

    /// addresses to which messages may be sent
    [[nodiscard]] std::vector<endpoint> receivers() const
    {
        return m_members.receivers(m_clock.now());
    }

    /// the current route table, or null if no configuration was received yet
    [[nodiscard]] const forwarding::shared_route_table& table() const noexcept
    {
        return m_table;
    }

    /// rate limits of the accounts
    [[nodiscard]] quota_ledger& quotas() noexcept
    {
        return m_quotas;
    }

    /// records of requests that may crash upstreams
    [[nodiscard]] const forwarding::crash_guard& crashes() const noexcept
    {
        return m_crashes;
    }

    /*!
    @brief lifts the isolation or refusal of requests at all nodes

    @param[in] digits  prefix of the fingerprints of the requests, in hexadecimal

    @return number of requests whose restriction this node lifted
    */
    std::size_t lift_requests(std::string_view digits);

    /// removes and returns the messages to peers that processing of requests has queued
    [[nodiscard]] std::vector<outgoing_message> take_messages();

    /// time-limited permission to accept keys
    [[nodiscard]] const forwarding::configuration_lease& configuration_lease() const noexcept
    {
        return m_configuration_lease;
    }

    /// objects that the dispatch of all requests shares
    [[nodiscard]] forwarding::dispatch_context& dispatch_context() noexcept
    {
        return m_dispatch_context;
    }

    /// answers where a request would go now; see @ref explain_request
    [[nodiscard]] http_response explain(std::string_view query) const
    {
        return explain_request(query, m_table, m_dispatch_context, m_clock.now());
    }

    /// gauges and counters in the Prometheus text exposition format
    [[nodiscard]] std::string exposition() const;

  private:
    void on_declarations(received_declarations next);
    void observe_loop(time_point now);
    void apply_membership(time_point now);
    void log_freshness(time_point now);
    void process_ended_upstreams();
    void log_crashes();
    void log_holders();
    [[nodiscard]] bool has_share(const forwarding::upstream& target);
    void log_observations(time_point now);
    [[nodiscard]] std::string observations_exposition() const;

    const monotonic_clock& m_clock;
    request_log& m_log;
    node_callbacks m_callbacks;
    random_source m_random;
    forwarding::shared_route_table m_table;
    forwarding::attempt_budget m_budget;
    forwarding::configuration_lease m_configuration_lease;
    forwarding::cold_start_limiter m_cold_starts;
    forwarding::upstream_directory m_directory;
    forwarding::crash_guard m_crashes;
    crash_exchange m_crash_exchange;
    upstream_exchange m_observations;
    std::optional<time_point> m_trouble_seen_at; ///< when upstreams were last in trouble, until that is over
    quota_ledger m_quotas;
    roster m_members;
    connection_limits m_connection_limits;
    forwarding::dispatch_context m_dispatch_context;
    publication_agent m_publications;
    bool m_was_fresh{false};
    bool m_is_leaving{false};
    std::uint64_t m_without_share{0}; ///< times that an upstream was passed over for want of a share in it
    std::size_t m_logged_node_count{0};
    std::uint64_t m_ended_upstreams{0};
    std::optional<time_point> m_ticked_at; ///< time of the previous tick
    histogram m_loop_delays;               ///< how much later than planned ticks came
    histogram m_configuration_delays;      ///< upper bounds of the times until configurations were received
};

} // namespace teasellead::runtime
