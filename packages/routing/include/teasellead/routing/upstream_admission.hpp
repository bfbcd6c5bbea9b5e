#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/kernel/upstream_evidence.hpp"
#include "teasellead/routing/host_share.hpp"
#include "teasellead/routing/warm_up.hpp"

namespace teasellead
{

/// a lease by which the owner of a cold-start allowance lets another host send one request
class cold_lease
{
  public:
    /*!
    @brief creates a lease

    @param[in] borrower  peer address of the host that may send in place of the owner
    @param[in] number    number of the lease, unique within the borrower
    @param[in] expires   when the lease expires
    */
    constexpr cold_lease(endpoint borrower, std::uint64_t number, time_point expires) noexcept
        : m_borrower(borrower), m_number(number), m_expires(expires)
    {
    }

    [[nodiscard]] constexpr const endpoint& borrower() const noexcept
    {
        return m_borrower;
    }

    [[nodiscard]] constexpr std::uint64_t number() const noexcept
    {
        return m_number;
    }

    [[nodiscard]] constexpr time_point expires() const noexcept
    {
        return m_expires;
    }

    friend constexpr bool operator==(const cold_lease&, const cold_lease&) noexcept = default;

  private:
    endpoint m_borrower;
    std::uint64_t m_number;
    time_point m_expires;
};

/// what a reply showed about the incarnations of an upstream
struct admission_change
{
    std::optional<upstream_incarnation> m_ended;          ///< this incarnation no longer serves the address
    std::optional<upstream_incarnation> m_confirmed_warm; ///< this incarnation has become warm

    friend bool operator==(const admission_change&, const admission_change&) = default;
};

/*!
@brief limits the requests that one host has in flight at one upstream, across the upstream's restarts

The warm-up state belongs to the incarnation that the upstream reported on a connection that is still open. A
request on any other connection may reach an upstream in a cold start and counts against the cold-start
allowance, which one host of the fleet owns and leases to the others. Evidence of peers names an incarnation,
so late evidence can't be mistaken for evidence about a newer incarnation. A state machine without I/O; not
safe for use by several threads.
*/
class upstream_admission
{
  public:
    /*!
    @brief number of requests that may be in flight

    @param[in] share  this host's share of the limits
    @param[in] now    current time
    */
    [[nodiscard]] std::uint32_t allowance(const host_share& share, time_point now) const noexcept;

    /// occupied slots: requests in flight and abandoned requests that the upstream may still run
    [[nodiscard]] std::uint32_t occupied(time_point now) const noexcept;

    /// number of requests in flight
    [[nodiscard]] std::uint32_t in_flight() const noexcept
    {
        return m_in_flight;
    }

    /// whether no slot is occupied and no granted lease is valid
    [[nodiscard]] bool idle(time_point now) const noexcept
    {
        return occupied(now) == 0 && leased(now) == 0;
    }

    /// warm-up state; cold while the incarnation isn't verified
    [[nodiscard]] warm_up_state state() const noexcept;

    /// whether an open connection leads to the incarnation that the warm-up state belongs to
    [[nodiscard]] bool verified() const noexcept
    {
        return m_verified;
    }

    /// whether the verified incarnation is confirmed to be warm, by replies to this host or by a peer
    [[nodiscard]] bool confirmed_warm() const noexcept
    {
        return m_verified && m_incarnation != 0 && m_incarnation == m_warm_incarnation;
    }

    [[nodiscard]] upstream_incarnation incarnation() const noexcept
    {
        return m_incarnation;
    }

    /// time by which a request under the accepted lease must have ended
    [[nodiscard]] time_point lease_end() const noexcept
    {
        return m_accepted_lease.m_end;
    }

    /// records the start of a request, which occupies a slot
    void start(time_point now) noexcept;

    /*!
    @brief frees a slot after a reply

    @param[in] incarnation  incarnation that the upstream reported, 0 if none
    @param[in] started      start of the request; replies to requests that started before the connection was
                            lost don't verify the incarnation
    @param[in] fast         whether the reply is fast enough to raise the allowance
    @param[in] share        this host's share of the limits
    @param[in] settings     how fast the allowance grows
    @param[in] now          current time
    */
    [[nodiscard]] admission_change on_reply(upstream_incarnation incarnation, time_point started, bool fast,
                                            const host_share& share, const warm_up_settings& settings,
                                            time_point now);

    /// frees a slot whose request never reached the upstream or was refused by it
    void on_refused() noexcept;

    /// ends a request that the upstream may still run; if cold, its slot stays occupied until `until`
    void on_abandoned(time_point until, time_point now);

    /// frees a slot after a refusal for overload or a lost connection, and lowers the allowance
    void on_shed(const host_share& share, const warm_up_settings& settings, time_point now) noexcept;

    /// lowers the allowance without freeing a slot; one request stays allowed if the upstream is confirmed
    /// warm
    void lower_allowance(const host_share& share, const warm_up_settings& settings, time_point now) noexcept;

    /// the host's last connection has closed, or a connection broke during a request
    void on_disconnected() noexcept;

    /*!
    @brief resets the upstream to cold, although connections to it may be open

    @param[in] ignore_until  evidence of peers is ignored until this time, as it may be older than the reset
    */
    void reset(time_point ignore_until) noexcept;

    /// a peer reported that an incarnation is warm
    void on_peer_confirmed_warm(upstream_incarnation incarnation, time_point now) noexcept;

    /// an incarnation no longer serves the address, as a peer reported or a reply showed
    void on_incarnation_ended(upstream_incarnation incarnation) noexcept;

    /*!
    @brief leases one request of the cold-start allowance that this host owns

    If all slots are occupied, the next one that becomes free is reserved for a borrower until
    `reserve_until`.

    @param[in] lease          the lease; a repeated grant of a valid lease succeeds and adds none
    @param[in] share          this host's share of the limits
    @param[in] reserve_until  end of the reservation of a slot that becomes free
    @param[in] now            current time

    @return whether the lease was granted
    */
    [[nodiscard]] bool grant_lease(const cold_lease& lease, const host_share& share, time_point reserve_until,
                                   time_point now);

    /// ends a granted lease before it expires
    void end_lease(const endpoint& borrower, std::uint64_t lease);

    /*!
    @brief accepts a lease: one request may be in flight at the cold upstream in place of the owner's

    @param[in] lease        number of the lease
    @param[in] start_until  time from which no request may be started under the lease
    @param[in] end          time by which the request must have ended
    */
    void accept_lease(std::uint64_t lease, time_point start_until, time_point end) noexcept;

    /// drops the accepted lease if it was used and its request has ended; returns its number, or nothing
    [[nodiscard]] std::optional<std::uint64_t> take_finished_lease(time_point now) noexcept;

  private:
    struct accepted_lease
    {
        std::uint64_t m_number{0};
        time_point m_start_until;
        time_point m_end;
        bool m_used{false};
    };

    [[nodiscard]] std::uint32_t leased(time_point now) const noexcept;
    [[nodiscard]] std::uint32_t owned_allowance(const host_share& share) const noexcept;
    void verify(upstream_incarnation incarnation) noexcept;
    void free_slot() noexcept;

    warm_up m_warm_up;
    upstream_incarnation m_incarnation{0};
    upstream_incarnation m_warm_incarnation{0};
    upstream_incarnation m_ended_incarnation{0};
    bool m_verified{false};
    std::uint32_t m_in_flight{0};
    time_point m_last_start;
    // replies to requests that started at or before this time don't verify the incarnation
    time_point m_ignore_replies_until;
    time_point m_ignore_evidence_until;
    std::vector<time_point> m_abandoned;
    std::vector<cold_lease> m_granted_leases;
    time_point m_reserved_until;
    accepted_lease m_accepted_lease;
};

} // namespace teasellead
