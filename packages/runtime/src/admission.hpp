#pragma once

#include <string_view>
#include <variant>

#include "teasellead/forwarding/configuration_lease.hpp"
#include "teasellead/forwarding/route_table.hpp"
#include "teasellead/forwarding/traffic_splitter.hpp"
#include "teasellead/runtime/request_driver.hpp"

namespace teasellead::runtime
{

/// response to a request that isn't admitted, with the values for its log entry
struct rejection
{
    http_response m_response;
    std::string m_route;   ///< empty if no route matches
    std::string m_account; ///< empty if no key was accepted
    std::string_view m_reason;
};

/// outcome of the admission of a request
using admission_result = std::variant<admitted_request, rejection>;

/// admits or rejects requests by their route, their key and the age of the configuration
class request_admission
{
  public:
    explicit request_admission(const forwarding::configuration_lease& lease) : m_configuration_lease(lease)
    {
    }

    /*!
    @brief admits or rejects a request

    @param[in] request   the request
    @param[in] metadata  values from its header that are meant for the node
    @param[in] table     current route table, or null if no configuration was received yet
    @param[in] now       current time
    */
    [[nodiscard]] admission_result decide(http_request request, request_metadata metadata,
                                          const forwarding::shared_route_table& table, time_point now);

  private:
    [[nodiscard]] forwarding::dispatch_request plan(const forwarding::route& target,
                                                    const request_metadata& metadata, time_point now);

    const forwarding::configuration_lease& m_configuration_lease;
    forwarding::traffic_splitter m_divider;
};

} // namespace teasellead::runtime
