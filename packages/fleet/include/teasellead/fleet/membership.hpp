#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "teasellead/fleet/limit_fraction.hpp"
#include "teasellead/fleet/messages.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/host_view.hpp"
#include "teasellead/kernel/topology.hpp"

namespace teasellead
{

/// a host as the platform lists it
struct platform_host
{
    listed_host m_host;
    bool m_leaving{false};

    friend bool operator==(const platform_host&, const platform_host&) = default;
};

/// the platform's list of hosts; may be outdated by up to membership_settings::m_list_lag
struct host_list
{
    std::uint64_t m_version{0};
    std::vector<platform_host> m_hosts;

    friend bool operator==(const host_list&, const host_list&) = default;
};

/// settings of @ref membership
struct membership_settings
{
    duration m_hello_period{std::chrono::milliseconds{200}}; ///< shortest time between two hellos to a peer
    duration m_list_lag{std::chrono::seconds{3}}; ///< longest delay after which the list shows a change
    /// age at which a list stops being evidence of membership
    duration m_list_freshness{std::chrono::seconds{10}};
    duration m_lease_term{std::chrono::milliseconds{500}}; ///< longest term of a borrowed share
    double m_reserved_fraction{0.25};                   ///< fraction of its share that an isolated host uses
    duration m_isolation_window{std::chrono::hours{1}}; ///< how long an isolated host uses that fraction

    /// validity of membership evidence; longer than the fresh lists of any two hosts may differ
    [[nodiscard]] duration evidence_validity() const noexcept
    {
        return 2 * m_list_lag + m_list_freshness + std::chrono::seconds{1};
    }

    /// time after which the share of a lost host is taken over; by then its evidence and its leases have
    /// expired
    [[nodiscard]] duration takeover_time() const noexcept
    {
        return evidence_validity() + 2 * m_lease_term + std::chrono::seconds{1};
    }
};

/// state of this node that its hellos announce
struct node_status
{
    revision_number m_revision{0};
    bool m_ready{false};
    bool m_leaving{false};
    double m_data_centre_fraction{0.0}; ///< value of account_limiter::data_centre_fraction()

    friend bool operator==(const node_status&, const node_status&) = default;
};

/// state of a peer, from the host list and its last hello
struct peer_status
{
    listed_host m_host;
    node_incarnation m_incarnation{0};
    revision_number m_revision{0};
    bool m_ready{false};
    bool m_leaving{false};
    time_point m_last_hello;

    friend bool operator==(const peer_status&, const peer_status&) = default;
};

/*!
@brief tracks the hosts of the fleet, from the platform's host list and the peers' hellos

Two hosts of a data centre use shares of its limits at the same time only while each counts the other. A host
may use its fraction of the limits while it has evidence that the other hosts still count it: a fresh host
list that contains it, or recent confirmations by all peers. Without such evidence it is isolated and uses a
reserved fraction for a limited time. A state machine without I/O. Not safe for use by several threads.
*/
class membership
{
  public:
    /*!
    @brief creates the view of a node that has just started

    @param[in] self         this node
    @param[in] incarnation  incarnation of this node
    @param[in] settings     periods
    */
    membership(listed_host self, node_incarnation incarnation, membership_settings settings);

    /*!
    @brief applies a host list of the platform

    @param[in] list      the list; ignored if it is older than the last one
    @param[in] asked_at  when the request for the list was sent
    */
    void on_list(const host_list& list, time_point asked_at);

    /*!
    @brief sets the data centres that a revision declares; call it before account_limiter::on_revision

    @param[in] declared  the data centres
    @param[in] now       current time
    */
    void on_data_centres(const std::vector<data_centre>& declared, time_point now);

    /// processes a hello of a peer
    void on_hello(const endpoint& sender, node_incarnation incarnation, const hello& content, time_point now);

    /*!
    @brief returns the hellos that are due

    @param[in] status  state of this node to announce
    @param[in] now     current time
    */
    [[nodiscard]] std::vector<outgoing_message> on_tick(const node_status& status, time_point now);

    /// makes hellos to all peers due at once, to announce a change
    void hello_now() noexcept;

    /// every view that another host may still use, the current one first; empty while this host may use
    /// nothing
    [[nodiscard]] std::vector<host_view> views(time_point now) const;

    /// this node's fraction of its data centre's limits; valid until the next call of a non-const function
    [[nodiscard]] limit_fraction current_limit_fraction(time_point now) const;

    /// increases whenever @ref views changes
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /// listed peers of all data centres, without this node
    [[nodiscard]] std::vector<peer_status> peers() const;

  private:
    /// a host of this node's data centre that is counted or listed
    struct peer
    {
        peer_status m_status{listed_host{endpoint{}, std::string{}}, 0, 0, false, false, time_point{}};
        bool m_listed{false};
        bool m_counts_self{false};      ///< whether the peer's current incarnation has confirmed this node
        time_point m_unlisted_since;    ///< when a fresh list first lacked the peer
        time_point m_last_confirmation; ///< when this node last confirmed to the peer that it counts it
        time_point m_acked_at;     ///< sending time of this node's latest hello that the peer acknowledged
        time_point m_confirmed_at; ///< sending time of the latest hello by which the peer counts this node
        time_point m_released_at;  ///< when the peer released its share; zero if it hasn't
        time_point m_next_hello;
        std::uint64_t m_sequence{0};
        double m_claimed_fraction{-1.0}; ///< largest fraction that the peer may use; negative if unknown
        double m_lost_fraction{0.0};
        revision_number m_min_revision{0};
        std::uint32_t m_hosts{0};
        double m_data_centre_fraction{0.0};
        bool m_counts_unlisted{false};

        [[nodiscard]] bool is_released() const noexcept
        {
            return m_released_at != time_point{};
        }
    };

    /// a host that is no longer counted and may still use its reserved fraction
    struct lost_host
    {
        endpoint m_address;
        double m_fraction{0.0};
        revision_number m_revision{0};
        time_point m_until;
    };

    /// lowest revision that the hosts of another data centre may still use
    struct remote_revision
    {
        revision_number m_min_revision{0};
        time_point m_last_listed; ///< when the data centre last had a listed host
    };

    /// hosts of an earlier view that other hosts may still use
    struct former_hosts
    {
        std::vector<listed_host> m_hosts;
        time_point m_until;
    };

    [[nodiscard]] bool acknowledges_after(const hello& content, time_point earliest) const;
    [[nodiscard]] bool list_is_fresh(time_point now) const;
    [[nodiscard]] bool is_confirmable(const peer& other, time_point now) const;
    [[nodiscard]] duration hello_period() const;
    [[nodiscard]] time_point evidence_until() const;
    [[nodiscard]] bool may_join(time_point now);
    [[nodiscard]] bool every_peer_acked(time_point now);
    [[nodiscard]] double lost_fraction(time_point now) const;
    [[nodiscard]] std::uint32_t counted_hosts(time_point now) const;
    [[nodiscard]] double equal_fraction(time_point now) const;
    [[nodiscard]] double min_data_centre_fraction() const;
    [[nodiscard]] bool counts_unlisted() const;
    [[nodiscard]] revision_number local_min_revision(time_point now) const;
    [[nodiscard]] revision_number fleet_min_revision(time_point now) const;
    [[nodiscard]] time_point sent_at(std::uint64_t sequence) const;
    [[nodiscard]] std::vector<listed_host> current_hosts() const;
    [[nodiscard]] hello make_hello(const peer& other, bool counted, time_point now) const;
    void on_local_hello(const endpoint& sender, node_incarnation incarnation, const hello& content,
                        time_point now);
    void on_remote_hello(const endpoint& sender, node_incarnation incarnation, const hello& content,
                         time_point now);
    void on_acknowledgement(peer& sender, const hello& content, time_point now) const;
    void update_self_listing(const host_list& list, time_point asked_at, bool was_stale);
    void update_listed_peers(const host_list& list, time_point asked_at, bool was_stale);
    void update_listed_remotes(const host_list& list, time_point asked_at);
    void choose_contacts();
    void send_contact_hellos(std::vector<outgoing_message>& result, time_point now);
    void start(time_point now);
    void advance_sequence(time_point now);
    void remove_lost_hosts(time_point now);
    void inherit_reservations(const peer& removed, time_point now);
    void update_joined(time_point now);
    void update_claim(time_point now);
    void update_hosts(time_point now);

    listed_host m_self;
    node_incarnation m_incarnation;
    membership_settings m_settings;
    node_status m_status;
    std::map<endpoint, peer> m_peers;
    std::map<endpoint, peer_status> m_remotes; ///< listed hosts of other data centres
    std::map<std::string, remote_revision> m_remote_revisions;
    std::vector<endpoint> m_contacts; ///< hosts of other data centres that receive hellos
    std::vector<lost_host> m_lost;
    std::vector<former_hosts> m_former;
    std::vector<listed_host> m_hosts; ///< hosts of the current view
    std::uint64_t m_version{1};
    std::uint64_t m_sequence{0};
    std::uint64_t m_list_version{0};
    time_point m_started_at;
    time_point m_list_at;
    time_point m_listed_since;
    time_point m_next_contact;
    time_point m_join_since;          ///< acknowledgements of older hellos don't count for joining
    time_point m_first_ack;           ///< first acknowledgement of a hello sent after m_join_since
    time_point m_all_acked;           ///< when every listed peer had acknowledged such a hello
    time_point m_evidence_expired_at; ///< when the last evidence expired
    time_point m_claimed_since;
    double m_claimed_fraction{0.0};      ///< fraction that this node may use
    double m_acknowledged_fraction{0.0}; ///< fraction that every counted peer has acknowledged
    bool m_listed{false};
    bool m_joined{false};
    bool m_changed{true}; ///< whether the hosts of the current view may have changed
};

} // namespace teasellead
