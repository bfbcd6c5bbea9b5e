#pragma once

#include <string_view>

#include "teasellead/kernel/configuration.hpp"

namespace teasellead
{

/*!
@brief parses and validates a services text

A text is accepted or rejected as a whole, and the result is deterministic: every node and `teaselleadctl
check` accept the same text, or reject it with the same error.

@param[in] text  TOML text

@return the configuration that the text declares

@throw config_error 301 syntax, 302 unknown field, 303 missing or wrong type of field, 304 duplicate,
       305 unknown name, 306 cyclic dependency, 307 no shard or replica, 308 limit out of range,
       309 key space not covered exactly once, 310 route or dependency that a service can't serve

@complexity linear in the size of the text
@exceptionsafety strong
*/
[[nodiscard]] configuration parse_configuration(std::string_view text);

} // namespace teasellead
