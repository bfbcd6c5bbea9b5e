#pragma once

#include <vector>

#include "teasellead/fleet/limit_fraction.hpp"
#include "teasellead/fleet/limit_policy.hpp"
#include "teasellead/fleet/messages.hpp"
#include "teasellead/fleet/token_bucket.hpp"
#include "teasellead/kernel/access.hpp"

namespace teasellead
{

/// the fraction of its client accounts' limits that a host may use
struct entitlement
{
    limit_fraction m_limit_fraction;
    double m_data_centre_fraction{0.0}; ///< fraction of each limit that belongs to the host's data centre

    /// fraction of each limit that the host may use at a given time
    [[nodiscard]] double fraction_at(time_point now) const noexcept
    {
        return m_data_centre_fraction * m_limit_fraction.fraction_at(now);
    }

    friend bool operator==(const entitlement&, const entitlement&) = default;
};

/// rate and burst that a host may use of a client account's limit, borrowed shares included
struct share_usage
{
    double m_rate{0.0};  ///< requests a second
    double m_burst{0.0}; ///< largest number of requests at once

    friend bool operator==(const share_usage&, const share_usage&) = default;
};

/*!
@brief one host's share of one client account's limit, with the leases that it has lent and borrowed

A lender stops using a lent share at once and takes it back without tokens when the term has passed since it
received the request; a borrower's term starts when it sends the request. So no share is ever used by two
hosts, even if messages are lost, delayed or duplicated. Functions that use, lend or take back tokens first
refill the buckets up to the current time and remove expired leases.
*/
class account_share
{
  public:
    /*!
    @brief creates an empty share

    @param[in] declared  the account's limit
    @param[in] now       current time
    */
    account_share(client_account declared, time_point now);

    /// replaces the declared limit
    void redeclare(client_account declared, const entitlement& entitled, time_point now);

    /// refills the buckets and removes expired leases; must be called before the entitlement changes
    void advance(const entitlement& entitled, time_point now);

    /// counts an arriving request and takes a token for it if one is available
    [[nodiscard]] bool try_take(const entitlement& entitled, time_point now);

    /// rate and burst that may be used at a given time, which must not lie before the last change
    [[nodiscard]] share_usage usage(const entitlement& entitled, time_point now) const;

    /// time until a request may be admitted without further borrowing
    [[nodiscard]] duration time_to_next(const entitlement& entitled, time_point now) const;

    /*!
    @brief lends a share that this host doesn't need

    @param[in] borrower  host that sent the request
    @param[in] request   requested rate, burst and term
    @param[in] policy    determines how much this host keeps
    @param[in] entitled  fraction that this host may use
    @param[in] now       current time

    @return the grant; zero if there is nothing to lend, the request is a duplicate or its term is too long
    */
    [[nodiscard]] share_grant lend(const endpoint& borrower, const share_request& request,
                                   const lending& policy, const entitlement& entitled, time_point now);

    /// adds a lease that a lender granted; its term starts when the request was sent
    void borrow(const endpoint& lender, const share_grant& grant, time_point sent_at, const lending& policy,
                time_point now);

    /*!
    @brief ends the borrowed leases that are used up

    @return a message to the lender of each lease, which lets it use the share again
    */
    [[nodiscard]] std::vector<outgoing_message> return_used_leases();

    /// ends a lent lease that its borrower returned; unknown leases are ignored
    void take_back(const endpoint& borrower, const share_return& given, const entitlement& entitled,
                   time_point now);

    /// updates the moving average of the demand with the arrivals since the last call
    void estimate_demand(const lending& policy, time_point now);

    /*!
    @brief rate and burst that this host needs to borrow

    @return a request without a lease number; zero rate and burst if nothing is needed
    */
    [[nodiscard]] share_request shortage(const lending& policy, const entitlement& entitled,
                                         time_point now) const;

    /// whether fewer tokens than the reserve for the next requests are left
    [[nodiscard]] bool is_short(const lending& policy) const;

    /// whether the share was used recently
    [[nodiscard]] bool is_active(time_point now) const noexcept;

    [[nodiscard]] const client_account& declared() const noexcept
    {
        return m_declared;
    }

  private:
    struct lent_share
    {
        endpoint m_borrower;
        lease_id m_lease{0};
        double m_rate{0.0};
        double m_burst{0.0};
        time_point m_until;
    };

    struct borrowed_share
    {
        endpoint m_lender;
        lease_id m_lease{0};
        double m_rate{0.0};
        double m_burst{0.0};
        token_bucket m_bucket;
        time_point m_until;
    };

    [[nodiscard]] double own_rate(const entitlement& entitled, time_point at) const;
    [[nodiscard]] double own_burst(const entitlement& entitled, time_point at) const;
    [[nodiscard]] time_point next_change(const entitlement& entitled, time_point from, time_point to) const;
    [[nodiscard]] double available() const;
    [[nodiscard]] double reserve(const lending& policy) const;
    [[nodiscard]] bool has_lent(const endpoint& borrower, lease_id lease) const;

    client_account m_declared;
    token_bucket m_own_bucket;
    std::vector<lent_share> m_lent;
    std::vector<borrowed_share> m_borrowed;
    double m_demand{0.0}; ///< arrivals a second
    double m_arrivals{0.0};
    time_point m_estimated_at;
    time_point m_last_use;
};

} // namespace teasellead
