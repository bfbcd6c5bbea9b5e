#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "teasellead/forwarding/sliding_count.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// limit of the attempts beyond the first of each request, for each service and all nodes together
struct attempt_budget_settings
{
    double m_ratio{0.2};                         ///< number of extra attempts allowed per request
    double m_slack{0.0};                         ///< additional extra attempts allowed to all nodes together
    duration m_window{std::chrono::seconds{10}}; ///< the limit holds in each interval of this length

    friend bool operator==(const attempt_budget_settings&, const attempt_budget_settings&) = default;
};

/*!
@brief this node's share of the budget for retries and hedges

Each node stays within the ratio of its own requests and its share of the slack. So the limit holds for all
nodes together without messages between them, also during network partitions. Not safe for concurrent use by
several threads.
*/
class attempt_budget
{
  public:
    explicit attempt_budget(attempt_budget_settings settings) noexcept : m_settings(settings)
    {
    }

    /*!
    @brief sets the share of the slack that this node may use

    @param[in] share  from 0 to 1; the shares of all nodes that may be running add up to at most 1
    */
    void set_slack_share(double share) noexcept
    {
        m_slack_share = share;
    }

    /// counts a request for a service
    void on_request(const std::string& service, time_point now);

    /*!
    @brief charges an extra attempt to the budget if it isn't used up

    @param[in] service            service that would receive the attempt
    @param[in] now                current time
    @param[in] reserved_fraction  fraction of the whole budget of the service that must be left afterwards

    @return whether the attempt may be made

    @complexity constant
    */
    [[nodiscard]] bool try_spend(const std::string& service, time_point now, double reserved_fraction = 0.0);

    /// number of extra attempts that may still be made at a service
    [[nodiscard]] double remaining(const std::string& service, time_point now);

  private:
    static constexpr std::size_t slots = 20;

    struct service_state
    {
        sliding_count<slots> m_requests;
        sliding_count<slots> m_extra;
    };

    service_state& state_of(const std::string& service);
    /// number of extra attempts that may be made at a service in the window that ends now
    [[nodiscard]] double allowed(service_state& state, time_point now) const;

    attempt_budget_settings m_settings;
    double m_slack_share{0.0};
    std::unordered_map<std::string, service_state> m_services;
};

} // namespace teasellead::forwarding
