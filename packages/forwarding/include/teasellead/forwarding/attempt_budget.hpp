#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "teasellead/forwarding/sliding_count.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// bound of the attempts beyond the first of each request, over all nodes and for each service
struct attempt_budget_settings
{
    double m_ratio{0.2};                         ///< extra attempts for each request
    double m_slack{0.0};                         ///< extra attempts of all nodes together on top
    duration m_window{std::chrono::seconds{10}}; ///< any window of this length must keep the bound

    friend bool operator==(const attempt_budget_settings&, const attempt_budget_settings&) = default;
};

/*!
@brief this node's part of the budget of retries and hedges

Each node stays within the ratio of its own requests and its part of the slack, so the bound holds over all
nodes without a message between them, whatever is cut off. Not safe for use by several threads.
*/
class attempt_budget
{
  public:
    explicit attempt_budget(attempt_budget_settings settings) noexcept : m_settings(settings)
    {
    }

    /*!
    @brief sets the part of the slack that this node may use

    @param[in] part  from 0 to 1; the parts of all nodes that may be alive add up to 1 at most
    */
    void set_part(double part) noexcept
    {
        m_part = part;
    }

    /// counts a request for a service
    void on_request(const std::string& service, time_point now);

    /*!
    @brief takes an extra attempt out of the budget

    @param[in] service  service that would receive it
    @param[in] now      current time

    @return whether it may be made

    @complexity constant
    */
    [[nodiscard]] bool try_spend(const std::string& service, time_point now);

    /// extra attempts that may still be made at a service now
    [[nodiscard]] double left(const std::string& service, time_point now);

  private:
    static constexpr std::size_t slots = 20;

    struct service_state
    {
        sliding_count<slots> m_requests;
        sliding_count<slots> m_extra;
    };

    service_state& state_of(const std::string& service);

    attempt_budget_settings m_settings;
    double m_part{0.0};
    std::unordered_map<std::string, service_state> m_services;
};

} // namespace teasellead::forwarding
