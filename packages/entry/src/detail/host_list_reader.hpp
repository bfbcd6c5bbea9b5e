#pragma once

#include <string>

#include "teasellead/fleet/membership.hpp"

namespace teasellead::detail
{

/*!
@brief parses the platform's host list

@param[in] version  platform revision of the list
@param[in] text     JSON text; see docs/wire.md

@return the parsed list

@throw protocol_error 504 if the text isn't a valid host list
*/
[[nodiscard]] host_list read_host_list(std::uint64_t version, const std::string& text);

} // namespace teasellead::detail
