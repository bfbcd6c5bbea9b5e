#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "teasellead/forwarding/route.hpp"

namespace teasellead::forwarding
{

/*!
@brief splits the requests of a route between services in proportion to their weights

Uses smooth weighted round robin: with each request, every service gains credit equal to its weight, and the
one with the most credit is chosen and pays the sum of the weights. So the proportions also hold over short
intervals. Not safe for concurrent use by several threads.
*/
class traffic_splitter
{
  public:
    /*!
    @brief selects the service of the next request

    @param[in] name   name of the route
    @param[in] split  its services and weights, at least one; a change resets the credits

    @return name of the service

    @complexity linear in the number of services
    */
    [[nodiscard]] const std::string& choose(const std::string& name, const traffic_split& split);

  private:
    struct route_state
    {
        traffic_split m_split;
        std::vector<double> m_credits;
    };

    std::unordered_map<std::string, route_state> m_routes;
};

} // namespace teasellead::forwarding
