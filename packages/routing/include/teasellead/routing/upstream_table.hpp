#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/ordered_mutex.hpp"
#include "teasellead/kernel/random.hpp"
#include "teasellead/kernel/upstream_evidence.hpp"
#include "teasellead/routing/attempt.hpp"
#include "teasellead/routing/host_share.hpp"
#include "teasellead/routing/latency_histogram.hpp"
#include "teasellead/routing/query_plan.hpp"
#include "teasellead/routing/replica_selector.hpp"
#include "teasellead/routing/upstream_admission.hpp"
#include "teasellead/routing/warm_up.hpp"

namespace teasellead
{

/// the chosen replica; one of its request slots is occupied until the attempt ends
class chosen_replica
{
  public:
    /*!
    @brief creates a choice

    @param[in] upstream             address of the replica
    @param[in] requires_connection  whether the choice relies on a warm-up state that is valid only while a
                                    connection to the upstream is open
    @param[in] end_by               time by which the attempt must have ended, if the upstream may be in a
                                    cold start
    */
    constexpr chosen_replica(endpoint upstream, bool requires_connection,
                             time_point end_by = time_point::max()) noexcept
        : m_upstream(upstream), m_requires_connection(requires_connection), m_end_by(end_by)
    {
    }

    [[nodiscard]] constexpr const endpoint& upstream() const noexcept
    {
        return m_upstream;
    }

    /// whether to send only on an open connection; if none is left, the upstream may have restarted
    [[nodiscard]] constexpr bool requires_connection() const noexcept
    {
        return m_requires_connection;
    }

    /// time from which nothing may be sent and at which a running attempt must be cancelled
    [[nodiscard]] constexpr time_point end_by() const noexcept
    {
        return m_end_by;
    }

    friend constexpr bool operator==(const chosen_replica&, const chosen_replica&) noexcept = default;

  private:
    endpoint m_upstream;
    bool m_requires_connection;
    time_point m_end_by;
};

/// no replica of the shard is live, or all were tried
struct no_replica
{
    friend constexpr bool operator==(const no_replica&, const no_replica&) noexcept = default;
};

/// every untried replica is in a cold start and has as many requests in flight as its allowance permits
struct all_cold
{
    friend constexpr bool operator==(const all_cold&, const all_cold&) noexcept = default;
};

/// every untried replica is at its limits, and not all are in a cold start
struct all_at_capacity
{
    friend constexpr bool operator==(const all_at_capacity&, const all_at_capacity&) noexcept = default;
};

/// outcome of the choice of a replica
using selection = std::variant<chosen_replica, no_replica, all_cold, all_at_capacity>;

/// state of one upstream, for status reports
class upstream_status
{
  public:
    upstream_status(endpoint upstream, warm_up_state state, std::uint32_t in_flight, duration latency,
                    bool draining)
        : m_upstream(upstream), m_state(state), m_in_flight(in_flight), m_latency(latency),
          m_draining(draining)
    {
    }

    [[nodiscard]] const endpoint& upstream() const noexcept
    {
        return m_upstream;
    }

    [[nodiscard]] warm_up_state state() const noexcept
    {
        return m_state;
    }

    [[nodiscard]] std::uint32_t in_flight() const noexcept
    {
        return m_in_flight;
    }

    [[nodiscard]] duration latency() const noexcept
    {
        return m_latency;
    }

    [[nodiscard]] bool draining() const noexcept
    {
        return m_draining;
    }

    friend bool operator==(const upstream_status&, const upstream_status&) = default;

  private:
    endpoint m_upstream;
    warm_up_state m_state;
    std::uint32_t m_in_flight;
    duration m_latency;
    bool m_draining;
};

/// a cold upstream to which a request could have been sent, and the host that owns its cold-start allowance
struct cold_demand
{
    endpoint m_upstream;
    endpoint m_owner; ///< peer address of the owner

    friend constexpr auto operator<=>(const cold_demand&, const cold_demand&) noexcept = default;
};

/// time limits and latency limit for requests to upstreams that may be in a cold start
struct cold_request_settings
{
    duration m_attempt_limit{std::chrono::seconds{1}};      ///< longest duration of an attempt
    duration m_cancel_delay{std::chrono::milliseconds{20}}; ///< until an upstream stops an abandoned request
    duration m_reservation_time{std::chrono::milliseconds{50}}; ///< how long a freed slot stays reserved
    duration m_max_evidence_delay{std::chrono::seconds{5}}; ///< longest delay until a peer's evidence arrives
    double m_slow_ratio{3.0}; ///< replies slower than this multiple of the warm replicas' latency don't count

    friend bool operator==(const cold_request_settings&, const cold_request_settings&) = default;
};

/// settings of @ref upstream_table
class upstream_table_settings
{
  public:
    /*!
    @brief creates settings

    @param[in] selector          strategy that chooses among the replicas
    @param[in] warming           how fast the allowance grows during a cold start
    @param[in] cold_start_limit  whether requests to cold upstreams are limited; false serves as a baseline in
    measurements
    @param[in] drain_memory      how long an upstream receives no new requests after it reported to be
    draining
    @param[in] cold_requests     limits for requests to upstreams that may be in a cold start
    */
    upstream_table_settings(replica_selector selector, warm_up_settings warming, bool cold_start_limit,
                            duration drain_memory, cold_request_settings cold_requests = {})
        : m_selector(selector), m_warming(warming), m_cold_start_limit(cold_start_limit),
          m_drain_memory(drain_memory), m_cold_requests(cold_requests)
    {
    }

    [[nodiscard]] const replica_selector& selector() const noexcept
    {
        return m_selector;
    }

    [[nodiscard]] const warm_up_settings& warming() const noexcept
    {
        return m_warming;
    }

    [[nodiscard]] bool cold_start_limit() const noexcept
    {
        return m_cold_start_limit;
    }

    [[nodiscard]] duration drain_memory() const noexcept
    {
        return m_drain_memory;
    }

    [[nodiscard]] const cold_request_settings& cold_requests() const noexcept
    {
        return m_cold_requests;
    }

  private:
    replica_selector m_selector;
    warm_up_settings m_warming;
    bool m_cold_start_limit;
    duration m_drain_memory;
    cold_request_settings m_cold_requests;
};

/*!
@brief keeps one host's state of all upstreams and chooses among the replicas of a shard

Safe for use by several threads. The state of an upstream is stored by its address and survives configuration
changes as long as the configuration declares the address.
*/
class upstream_table
{
  public:
    explicit upstream_table(upstream_table_settings settings);

    /*!
    @brief replaces the host views by which the upstreams' limits are divided

    @param[in] views       every view that another host may still use, the current one first; this host's
                           share is the smallest that results from any of them
    @param[in] cold_until  time from which another host may own the cold-start allowances that the views
                           assign to this host; requests that this host sends under them, and leases that
                           it grants, end before
    */
    void set_views(std::vector<host_view> views, time_point cold_until = time_point::max());

    /*!
    @brief applies a configuration, which declares the upstreams and which of them receive requests

    An upstream that receives requests again after it was taken out of service starts cold. An upstream that
    is no longer declared is removed once no request to it is in flight. After the first call, only declared
    upstreams are chosen.

    @param[in] current  current configuration
    @param[in] now      current time

    @complexity linear in the number of upstreams
    */
    void on_configuration(const configuration& current, time_point now);

    /*!
    @brief chooses a replica and occupies one of its request slots

    @param[in] target    the shard
    @param[in] current   current configuration; replicas outside its live data centres are skipped
    @param[in] tried     replicas to which the request was already sent
    @param[in] random    source of randomness
    @param[in] now       current time

    @return the replica, or the reason why none can be chosen

    @complexity linear in the number of the shard's replicas
    */
    [[nodiscard]] selection select(const shard_target& target, const configuration& current,
                                   std::span<const endpoint> tried, random_source& random, time_point now);

    /*!
    @brief records a valid reply and frees the slot

    @param[in] upstream     upstream that replied
    @param[in] incarnation  incarnation that the upstream reported
    @param[in] latency      time from sending to reply
    @param[in] now          current time
    */
    void on_reply(const endpoint& upstream, upstream_incarnation incarnation, duration latency,
                  time_point now);

    /// records a failed attempt and frees the slot
    void on_failure(const endpoint& upstream, attempt_failure failure, duration elapsed, time_point now);

    /// records a cancelled attempt and frees the slot
    void on_cancelled(const endpoint& upstream, duration elapsed, time_point now);

    /// records that the last connection to an upstream has closed
    void on_disconnected(const endpoint& upstream);

    /// records the result of a health check; a failure may lower the allowance, a success never raises it
    void on_health(const endpoint& upstream, bool healthy, time_point now);

    /// applies evidence about an upstream that a peer sent
    void on_peer_evidence(const upstream_evidence& evidence, time_point now);

    /// returns the evidence for peers that was collected since the last call
    [[nodiscard]] std::vector<upstream_evidence> take_evidence();

    /// evidence about all warm upstreams, for a peer that has just started and to make up for lost messages
    [[nodiscard]] std::vector<upstream_evidence> all_evidence() const;

    /// evidence about one upstream, if it is warm
    [[nodiscard]] std::optional<upstream_evidence> evidence_about(const endpoint& upstream) const;

    /// cold upstreams to which requests since the last call could have been sent with a lease from the owner
    [[nodiscard]] std::vector<cold_demand> take_cold_demands();

    /// grants a lease on this host's cold-start allowance; see @ref upstream_admission::grant_lease
    [[nodiscard]] bool grant_cold_lease(const endpoint& upstream, const cold_lease& lease, time_point now);

    /// ends a granted lease before it expires
    void end_cold_lease(const endpoint& upstream, const endpoint& borrower, std::uint64_t lease);

    /// accepts a lease that the owner granted to this host; see @ref upstream_admission::accept_lease
    void accept_cold_lease(const endpoint& upstream, std::uint64_t lease, time_point start_until,
                           time_point end);

    /// drops an accepted lease whose request has ended; returns its number, or nothing
    [[nodiscard]] std::optional<std::uint64_t> take_finished_lease(const endpoint& upstream, time_point now);

    /// connections that this host may hold to an upstream; 0 for an unknown upstream
    [[nodiscard]] std::uint32_t connection_limit(const endpoint& upstream);

    /// number of upstreams whose state is kept
    [[nodiscard]] std::size_t size() const;

    /// state of all upstreams in the table, ordered by address
    [[nodiscard]] std::vector<upstream_status> status(time_point now) const;

  private:
    struct entry
    {
        upstream_admission m_admission;
        double m_latency_ns{0.0};
        time_point m_last_reply;
        time_point m_draining_until;
        time_point m_next_health_step;
        bool m_draining{false};
        bool m_live{true};
        replica m_holder{"", endpoint{}, false};
        upstream_limits m_limits{1, 1, 1};
        std::string m_service;
        // the views' version for which the share was computed; 0 if it must be computed again
        std::uint64_t m_share_version{0};
        host_share m_share{0, 0, 0, 0};
        std::optional<endpoint> m_cold_owner;
        // last round of take_cold_demands() for which a demand was recorded; each round has at most one
        std::uint64_t m_demand_round{0};
    };

    void add_or_update(const service& owner, const replica& holder, bool is_live, time_point now);
    void remove_undeclared(const std::unordered_map<endpoint, bool>& declared, time_point now);
    [[nodiscard]] entry* find(const endpoint& upstream);
    [[nodiscard]] entry* find_or_add(const shard_target& target, const replica& holder);
    void update_share(entry& state) const;
    [[nodiscard]] host_share share_at(entry& state, time_point now) const;
    [[nodiscard]] bool receives_work(const entry& state, time_point now) const;
    [[nodiscard]] chosen_replica start(const endpoint& upstream, time_point now);
    void record_cold_demand(const std::vector<entry*>& cold, bool is_only_choice);
    [[nodiscard]] bool is_fast(const entry& state, duration latency) const;
    void record_latency(entry& state, duration latency, time_point now);
    void queue_evidence(const endpoint& upstream, const admission_change& change);

    using mutex = ordered_mutex<lock_level::upstream_table>;

    const upstream_table_settings m_settings;
    mutable mutex m_mutex;
    std::vector<host_view> m_views;
    std::uint64_t m_views_version{0};
    time_point m_cold_until{time_point::max()};
    bool m_configured{false};
    std::unordered_map<endpoint, entry> m_entries;
    // moving average of the latency of warm replicas, by service
    std::unordered_map<std::string, double> m_warm_latency_ns;
    std::vector<upstream_evidence> m_new_evidence;
    std::vector<cold_demand> m_cold_demands;
    std::uint64_t m_demand_round{1};
};

} // namespace teasellead
