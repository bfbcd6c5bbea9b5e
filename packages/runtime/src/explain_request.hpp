#pragma once

#include <string>
#include <string_view>

#include "teasellead/forwarding/dispatch.hpp"
#include "teasellead/forwarding/route_table.hpp"
#include "teasellead/runtime/http_message.hpp"

namespace teasellead::runtime
{

/// target of an operator's question where a request would go
inline constexpr std::string_view explain_target = "/explain";

/*!
@brief answers where a GET request would go now, and why, without sending it

Changes no state. The random addition of a choice and the limit of requests to cold upstreams are left out.

@param[in] query    `host=HOST&path=PATH` and optionally `&account=ACCOUNT`, percent-encoded
@param[in] table    the current routes; may be null
@param[in] context  objects that the requests of the node share
@param[in] now      current time

@return a text with a line for the route, each service and each of its upstreams; status 400 for an incomplete
        query, 404 if no route matches, 503 without a configuration
*/
[[nodiscard]] http_response explain_request(std::string_view query,
                                            const forwarding::shared_route_table& table,
                                            const forwarding::dispatch_context& context, time_point now);

} // namespace teasellead::runtime
