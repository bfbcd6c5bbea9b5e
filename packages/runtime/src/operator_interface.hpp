#pragma once

#include "node_state.hpp"
#include "teasellead/runtime/http_message.hpp"

namespace teasellead::runtime
{

/*!
@brief handles an operator's HTTP request

`GET /requests` lists the isolated and refused requests; `POST /requests/DIGITS/lift` lifts the restriction of
those whose fingerprint begins with the digits, at all nodes. `GET /explain` answers where a request would go,
see @ref explain_request.

@param[in] request  the operator's HTTP request
@param[in] state    state of the node

@return the response; status 404 for any other target or if no request matches the digits, 405 for any other
        method
*/
[[nodiscard]] http_response handle_operator_request(const http_request& request, node_state& state);

/// whether an HTTP request is to be passed to @ref handle_operator_request
[[nodiscard]] bool is_operator_request(const http_request& request) noexcept;

} // namespace teasellead::runtime
