#pragma once

#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace teasellead::runtime
{

/// whether a server may send a status code to a client that hasn't asked for an upgrade
[[nodiscard]] bool is_valid_status(unsigned status) noexcept;

/// whether a part of a head, which begins at the start of a line, has a line that continues the one before
[[nodiscard]] bool has_folded_line(std::string_view part) noexcept;

/*!
@brief checks fields of a response that its parser accepts, but a node must not use

@return whether the names of the fields are ASCII, and the length of the body is given at most once and in a
way that the parser follows
*/
[[nodiscard]] bool are_valid_fields(const boost::beast::http::fields& fields);

} // namespace teasellead::runtime
