#pragma once

#include <string>
#include <string_view>

namespace teasellead
{

/*!
@brief encodes a value for the query of a URI

Letters, digits, `-`, `.`, `_`, `~` and `/` stay as they are; all other bytes are percent-encoded.
*/
[[nodiscard]] std::string percent_encoded(std::string_view value);

/// decodes the percent-encoded bytes of a value; malformed ones are kept
[[nodiscard]] std::string percent_decoded(std::string_view value);

} // namespace teasellead
