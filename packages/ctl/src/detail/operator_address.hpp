#pragma once

#include <string>

#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/*!
@brief parses the address at which a node answers operators

@param[in] argument  `IP:PORT`

@throw settings_error 206 if the address is malformed
*/
[[nodiscard]] endpoint parse_operator_address(const std::string& argument);

} // namespace teasellead
