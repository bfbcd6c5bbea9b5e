#pragma once

#include <string_view>
#include <variant>

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

/// decides by route, key and freshness whether a request is served
class request_admission
{
  public:
    explicit request_admission(const forwarding::freshness& fresh) : m_freshness(fresh)
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

    const forwarding::freshness& m_freshness;
    forwarding::traffic_divider m_divider;
};

} // namespace teasellead::runtime
