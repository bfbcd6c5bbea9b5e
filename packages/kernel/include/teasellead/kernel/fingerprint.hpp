#pragma once

#include <string>
#include <string_view>

namespace teasellead
{

/*!
@brief cryptographic digest that identifies equal requests

Each field is prefixed with its size, so that different requests never produce the same input to the digest.

@param[in] client_account  account of the caller
@param[in] route           path of the route, or method and target of the request
@param[in] body            body of the request

@return 64 hexadecimal digits

@complexity linear in the sizes of the fields
*/
[[nodiscard]] std::string request_fingerprint(std::string_view client_account, std::string_view route,
                                              std::string_view body);

} // namespace teasellead
