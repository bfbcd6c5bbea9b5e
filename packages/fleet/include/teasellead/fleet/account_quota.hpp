#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "teasellead/fleet/messages.hpp"
#include "teasellead/forwarding/route.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/*!
@brief what all nodes together may admit of an account

In any window, (rate x window + burst) x (1 + overage) + slack.
*/
struct account_bound
{
    duration m_window{std::chrono::seconds{5}};
    double m_overage{0.0};
    double m_slack{0.0};

    friend bool operator==(const account_bound&, const account_bound&) = default;
};

/*!
@brief this node's part of the limits of all accounts

A node's part of a limit follows from its part of the demand that all nodes report, so that callers are served
wherever they connect. Not safe for use by several threads.
*/
class account_quota
{
  public:
    explicit account_quota(account_bound bound) noexcept : m_bound(bound)
    {
    }

    /// takes the limits of a new revision
    void on_declarations(const std::vector<forwarding::account>& accounts, time_point now);

    /*!
    @brief takes what the other nodes report

    @param[in] elsewhere  demand of all other nodes that may be serving, summed by account
    @param[in] nodes      number of nodes that may be serving, this one among them
    @param[in] now        current time
    */
    void on_view(const std::vector<account_demand>& elsewhere, std::size_t nodes, time_point now);

    /*!
    @brief admits one request or refuses it

    @param[in] name  declared account
    @param[in] now   current time

    @return nothing if it is admitted, else the time after which one may be

    @complexity constant
    */
    [[nodiscard]] duration admit(const std::string& name, time_point now);

    /// gives back an admitted request that was never sent to an upstream
    void refund(const std::string& name);

    /// this node's own demand, for its reports
    [[nodiscard]] std::vector<account_demand> demand(time_point now);

  private:
    struct demand_sample
    {
        time_point m_at;
        double m_rate{0.0};
    };

    struct account_state
    {
        double m_rate{0.0};  ///< declared limit
        double m_burst{0.0}; ///< declared burst
        double m_tokens{0.0};
        double m_part{0.0};          ///< this node's part of the rate
        double m_capacity_part{0.0}; ///< this node's part of what may be saved up
        double m_demand{0.0};        ///< arrivals a second, averaged
        double m_known_demand{0.0};  ///< the same as the other nodes know it by now
        std::deque<demand_sample> m_samples;
        double m_elsewhere{0.0}; ///< arrivals a second at all other nodes
        std::uint64_t m_arrivals{0};
        time_point m_refilled_at{};
        time_point m_estimated_at{};
    };

    void refill(account_state& state, time_point now) const;
    static void estimate(account_state& state, time_point now);
    void divide(account_state& state) const;

    account_bound m_bound;
    std::unordered_map<std::string, account_state> m_accounts;
    std::size_t m_nodes{0};
};

} // namespace teasellead
