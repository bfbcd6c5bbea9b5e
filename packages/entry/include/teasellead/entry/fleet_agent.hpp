#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "teasellead/entry/node_settings.hpp"
#include "teasellead/entry/peer_exchange.hpp"
#include "teasellead/entry/platform_reader.hpp"
#include "teasellead/fleet/account_limiter.hpp"
#include "teasellead/fleet/admission_gate.hpp"
#include "teasellead/fleet/configuration_relay.hpp"
#include "teasellead/fleet/membership.hpp"
#include "teasellead/fleet/peer_link.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/current_revision.hpp"
#include "teasellead/kernel/ordered_mutex.hpp"
#include "teasellead/routing/hedge_policy.hpp"
#include "teasellead/routing/upstream_table.hpp"
#include "teasellead/runtime/decision_log.hpp"

namespace teasellead
{

/// state of the fleet as this node sees it, for reports
struct fleet_status
{
    revision_number m_revision{0};
    duration m_revision_age{duration::zero()}; ///< since the platform last confirmed the revision
    std::optional<rejected_revision> m_rejection;
    std::vector<peer_status> m_peers;
    bool m_ready{false};
    bool m_leaving{false};
    bool m_is_platform_reader{false}; ///< whether this node long-polls the platform for its data centre
    std::uint64_t m_platform_reads{0};
    std::uint64_t m_dropped_messages{0};
};

/*!
@brief connects the node to the fleet: one thread that drives membership, configuration, limits and the peer
link

Safe for use by several threads.
*/
class fleet_agent
{
  public:
    /*!
    @brief starts the thread; the referenced objects must outlive the agent

    @param[in] settings          settings of the node
    @param[in] clock             source of time
    @param[in] revisions         receives configuration revisions
    @param[in] upstreams         receives views of the fleet and evidence from peers
    @param[in] hedging           receives the declared shards, to drop the state of removed ones
    @param[in] crash_quarantine  quarantine of requests that crash upstreams, shared with the peers
    @param[in] log               receives lines about the configuration, the host list and the host views

    @throw transport_error 401 if the address for peers can't be bound
    */
    fleet_agent(const node_settings& settings, const monotonic_clock& clock, current_revision& revisions,
                upstream_table& upstreams, hedge_policy& hedging, quarantine& crash_quarantine,
                decision_log& log);
    fleet_agent(const fleet_agent&) = delete;
    fleet_agent& operator=(const fleet_agent&) = delete;
    ~fleet_agent();

    /// admits or refuses a request of a client account
    [[nodiscard]] admission try_admit(const std::string& client_account);

    /// incarnation of this node
    [[nodiscard]] node_incarnation incarnation() const noexcept
    {
        return m_incarnation;
    }

    /// receives requests that peers forward to this node, on the agent's thread; must not block
    using forwarded_handler = std::function<void(const forwarded_request&)>;

    /// sets the handler of requests that peers forward to this node; an empty one drops them
    void on_forwarded(forwarded_handler handler);

    /*!
    @brief forwards a request to the node that issued its request id

    @param[in] issuing_host  the node that issued the request id
    @param[in] request       the request
    @param[in] on_reply      called at most once, with the reply, on the agent's thread

    @return correlation number, for @ref cancel_forward
    */
    std::uint64_t forward(const endpoint& issuing_host, forward_request request, forward_handler on_reply);

    /// removes a forwarded request; its handler isn't called for a reply that arrives later
    void cancel_forward(std::uint64_t correlation);

    /// sends the reply to a request that a peer has forwarded to this node
    void reply(const endpoint& peer, const forward_reply& answer);

    /// tells the peers that this node stops soon
    void leave();

    /// whether the node reports to the load balancer that it accepts requests
    [[nodiscard]] bool is_ready() const;

    /// whether the state of the configuration permits admitting or dispatching a request now
    [[nodiscard]] admission_state admission_allowed() const noexcept
    {
        return m_gate.state(m_clock.now());
    }

    /// state for reports
    [[nodiscard]] fleet_status status() const;

  private:
    using mutex = ordered_mutex<lock_level::fleet_state>;

    void run();
    void on_services_read(const platform_read_result& result);
    void on_host_list_read(const platform_read_result& result);
    void apply_host_list(const platform_value& value, time_point requested_at);
    void handle_message(const peer_message& message, time_point now, std::vector<outgoing_message>& outgoing);
    void tick(time_point now, std::vector<outgoing_message>& outgoing);
    void start_platform_reads(time_point now);
    void apply_division(time_point now);
    void apply_views(time_point now);
    void on_revision_in_force(time_point now);
    void log_relay_records();
    void call_handlers();
    void disconnect_unlisted_peers();

    const listed_host m_self;
    const node_incarnation m_incarnation;
    const monotonic_clock& m_clock;
    current_revision& m_revisions;
    upstream_table& m_upstreams;
    hedge_policy& m_hedging;
    decision_log& m_log;
    std::unique_ptr<peer_link> m_link;
    mutable mutex m_mutex;
    membership m_membership;
    configuration_relay m_relay;
    account_limiter m_limiter;
    peer_exchange m_exchange;
    std::vector<outgoing_message> m_outbox;
    forwarded_handler m_on_forwarded;
    std::uint64_t m_views_version{0};
    time_point m_ready_from{time_point::max()}; ///< when the node has received some of its shares
    time_point m_views_valid_until;             ///< time until which the views are valid
    const std::chrono::milliseconds m_host_list_poll_timeout;
    host_list m_host_list;
    bool m_is_host_list_new{false};
    revision_number m_applied_revision{0};
    time_point m_next_host_list_read;
    bool m_is_reading_host_list{false};
    bool m_leaving{false};
    admission_gate m_gate;
    std::atomic<bool> m_stopping{false};
    platform_reader m_services_reader;
    platform_reader m_host_list_reader;
    std::thread m_thread;
};

} // namespace teasellead
