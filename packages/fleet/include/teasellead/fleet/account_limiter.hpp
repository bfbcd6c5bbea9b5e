#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "teasellead/fleet/account_share.hpp"
#include "teasellead/fleet/limit_fraction.hpp"
#include "teasellead/fleet/limit_policy.hpp"
#include "teasellead/fleet/messages.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/host_view.hpp"

namespace teasellead
{

/// the request is within its account's limit
struct admitted
{
    friend bool operator==(const admitted&, const admitted&) = default;
};

/// the request exceeds its account's limit
struct over_limit
{
    duration m_retry_after{duration::zero()}; ///< time after which a request may be admitted

    friend bool operator==(const over_limit&, const over_limit&) = default;
};

/// outcome of the check of a client account's limit
using admission = std::variant<admitted, over_limit>;

/*!
@brief this node's share of the limits of all client accounts

Over any interval t, all nodes together admit at most rate * t + burst requests of an account. A state machine
without I/O. Not safe for use by several threads.

The node calls @ref on_revision for each adopted revision, @ref on_views when membership::version changes,
@ref on_limit_fraction with membership::current_limit_fraction after every call of a function of the
membership, before the hellos that it returned are sent, and @ref on_tick every 20 ms and as soon as @ref
wants_tick says so.
*/
class account_limiter
{
  public:
    /*!
    @brief creates a limiter that admits nothing yet

    @param[in] self         this node
    @param[in] policy       how shares move between nodes
    @param[in] incarnation  incarnation of this node; distinguishes its leases from those of an earlier
    process
    */
    explicit account_limiter(listed_host self, limit_policy policy = lending{},
                             node_incarnation incarnation = 0);

    /*!
    @brief applies a configuration revision

    A larger fraction for this node's data centre takes effect once every other host is known to have adopted
    the revision.

    @param[in] revision  the revision, higher than those before
    @param[in] now       current time
    */
    void on_revision(const configuration_revision& revision, time_point now);

    /// sets the views whose hosts may lend, the current one first
    void on_views(const std::vector<host_view>& views, time_point now);

    /// sets this node's fraction of its data centre's limits
    void on_limit_fraction(const limit_fraction& next, time_point now);

    /*!
    @brief admits or refuses one request

    @param[in] client_account  a declared account
    @param[in] now             current time

    @return the outcome; refused if the account isn't declared

    @complexity constant on average
    */
    [[nodiscard]] admission try_admit(const std::string& client_account, time_point now);

    /// rate and burst that this node may use of an account's limit, for reports and checks
    [[nodiscard]] share_usage usage(const std::string& client_account, time_point now) const;

    /// processes a message about shares and returns the messages to send
    [[nodiscard]] std::vector<outgoing_message> on_message(const endpoint& sender,
                                                           const peer_content& content, time_point now);

    /*!
    @brief requests leases for the accounts that need them, and returns leases that are used up

    @param[in] now  current time

    @complexity linear in the number of accounts with recent requests
    */
    [[nodiscard]] std::vector<outgoing_message> on_tick(time_point now);

    /// fraction of all limits that this node uses for its data centre; announced in its hellos
    [[nodiscard]] double data_centre_fraction() const noexcept
    {
        return m_entitlement.m_data_centre_fraction;
    }

    /// whether a call of @ref on_tick would request a lease at once; false again after the call
    [[nodiscard]] bool wants_tick() const noexcept
    {
        return !m_short.empty();
    }

  private:
    struct pending_request
    {
        lease_id m_lease{0};
        time_point m_sent_at;
        time_point m_retry_at;
    };

    /// state of a lender that replied recently
    struct lender_state
    /// when the lender may be asked again
    {
        time_point m_not_before;
        unsigned m_refusals{0}; ///< consecutive refusals
    };

    struct account_state
    {
        account_share m_share;
        bool m_declared{true};
        std::vector<pending_request> m_pending;
        std::map<endpoint, lender_state> m_lenders;
        time_point m_next_ask; ///< when to look for a lender again
        bool m_short{false};
        std::uint64_t m_lender_choices{0}; ///< lenders chosen so far; determines the next one
        std::size_t m_number{0};           ///< order of creation; sorting by it makes runs reproducible
    };

    /// fraction of all limits that a revision assigns to this node's data centre
    struct revision_fraction
    {
        revision_number m_number{0};
        double m_fraction{0.0};
    };

    void advance_all(time_point now);
    void update_data_centre_fraction();
    [[nodiscard]] std::vector<outgoing_message> on_request(const endpoint& sender,
                                                           const share_request& request, time_point now);
    [[nodiscard]] std::vector<outgoing_message> on_grant(const endpoint& sender, const share_grant& grant,
                                                         time_point now);
    [[nodiscard]] std::vector<outgoing_message> request_lease(account_state& state, const lending& policy,
                                                              time_point now);
    void refresh(account_state& state, const lending& policy, time_point now) const;
    [[nodiscard]] const endpoint* choose_lender(account_state& state, time_point now) const;

    listed_host m_self;
    limit_policy m_policy;
    entitlement m_entitlement;
    std::vector<revision_fraction>
        m_revisions; ///< revisions that some host may still use, in ascending order
    std::unordered_map<std::string, account_state> m_accounts;
    std::vector<account_state*> m_active;
    std::vector<account_state*> m_short; ///< accounts whose tokens fell below the reserve since the last tick
    time_point m_next_pass;
    std::vector<endpoint> m_local_lenders;
    std::vector<endpoint> m_remote_lenders;
    lease_id m_last_lease{0};
    revision_number m_first_revision{0};
};

} // namespace teasellead
