#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "teasellead/fleet/messages.hpp"

namespace teasellead
{

/// largest services text in bytes; the platform holds no larger values
inline constexpr std::size_t max_services_text_bytes = 1'048'576;

/*!
@brief computes a line-based delta between two texts

@param[in] base    text that the receiver has
@param[in] target  text that the delta produces

@return edits that turn the base into the target

@complexity linear in the size of both texts
*/
[[nodiscard]] std::vector<text_edit> make_delta(std::string_view base, std::string_view target);

/*!
@brief applies a delta

@param[in] base   text that the delta was made against
@param[in] delta  the edits

@return the target text; the caller must verify its digest

@throw protocol_error 505 if an edit lies outside the base or the result is larger than
       @ref max_services_text_bytes
*/
[[nodiscard]] std::string apply_delta(std::string_view base, const std::vector<text_edit>& delta);

/*!
@brief upper bound of the encoded size of a delta

@param[in] delta  the edits

@return the number of bytes
*/
[[nodiscard]] std::size_t delta_bytes(const std::vector<text_edit>& delta) noexcept;

} // namespace teasellead
