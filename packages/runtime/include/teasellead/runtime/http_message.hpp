#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teasellead/forwarding/dispatch.hpp"

namespace teasellead::runtime
{

using forwarding::header_field;

/// a complete request as a caller sent it
struct http_request
{
    std::string m_method;
    std::string m_target; ///< path with an optional query
    std::vector<header_field> m_fields;
    std::string m_body;
    bool m_has_body{false}; ///< whether the request has a body, which may be empty

    friend bool operator==(const http_request&, const http_request&) = default;
};

/// a complete response
struct http_response
{
    unsigned m_status{0};
    std::vector<header_field> m_fields; ///< in a response to a caller, without hop-by-hop fields
    std::string m_body;

    friend bool operator==(const http_response&, const http_response&) = default;
};

/// whether two field names are equal, ignoring case
[[nodiscard]] bool same_field_name(std::string_view lhs, std::string_view rhs) noexcept;

/// value of the first field with the given name, if any
[[nodiscard]] std::optional<std::string_view> find_field(const std::vector<header_field>& fields,
                                                         std::string_view name) noexcept;

/*!
@brief whether a field is hop-by-hop: it concerns one connection only and must not be forwarded

@param[in] name    name of the field
@param[in] listed  value of the message's Connection field, which may list further hop-by-hop fields
*/
[[nodiscard]] bool is_hop_by_hop(std::string_view name, std::string_view listed) noexcept;

/// appends `name: value` and CRLF
void append_field(std::string& text, std::string_view name, std::string_view value);

} // namespace teasellead::runtime
