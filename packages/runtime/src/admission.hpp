#pragma once

#include <string_view>
#include <variant>

#include "teasellead/fleet/account_quota.hpp"
#include "teasellead/forwarding/freshness.hpp"
#include "teasellead/forwarding/route_table.hpp"
#include "teasellead/forwarding/traffic_divider.hpp"
#include "teasellead/runtime/request_driver.hpp"

namespace teasellead::runtime
{

/// a request that ends without an attempt
struct rejection
{
    http_response m_response;
    std::string m_route;
    std::string m_account;
    std::string_view m_reason;
};

/// whether a request is served
using admission_result = std::variant<admitted_request, rejection>;

/// decides by route, key, freshness and limit whether a request is served
class request_admission
{
  public:
    request_admission(const wire_protocol& protocol, const forwarding::freshness& fresh, account_quota& quota)
        : m_protocol(protocol), m_freshness(fresh), m_quota(quota)
    {
    }

    /*!
    @brief decides about a request

    @param[in] request  the request
    @param[in] terms    what it says to the system
    @param[in] table    revision in force, or null before the first
    @param[in] now      current time
    */
    [[nodiscard]] admission_result decide(http_request request, request_terms terms,
                                          const forwarding::shared_route_table& table, time_point now);

  private:
    [[nodiscard]] forwarding::dispatch_request plan(const forwarding::route& target,
                                                    const request_terms& terms, time_point now);

    const wire_protocol& m_protocol;
    const forwarding::freshness& m_freshness;
    account_quota& m_quota;
    forwarding::traffic_divider m_divider;
};

} // namespace teasellead::runtime
