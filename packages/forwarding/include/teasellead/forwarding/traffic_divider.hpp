#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "teasellead/forwarding/route.hpp"

namespace teasellead::forwarding
{

/*!
@brief divides the requests of a route between services in proportion to their weights

Each part collects credit with every request and the one with most credit is chosen, so that the shares keep
to the weights over short spans too. Not safe for use by several threads.
*/
class traffic_divider
{
  public:
    /*!
    @brief chooses the service of the next request

    @param[in] name      name of the route
    @param[in] division  its services and weights; at least one

    @return name of the service

    @complexity linear in the number of parts
    */
    [[nodiscard]] const std::string& choose(const std::string& name, const traffic_division& division);

  private:
    struct route_state
    {
        traffic_division m_division;
        std::vector<double> m_credits;
    };

    std::unordered_map<std::string, route_state> m_routes;
};

} // namespace teasellead::forwarding
