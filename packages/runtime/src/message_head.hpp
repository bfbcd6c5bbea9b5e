#pragma once

#include <chrono>
#include <iterator>
#include <string>
#include <vector>

#include "teasellead/runtime/http_message.hpp"

namespace teasellead::runtime
{

/// the fields of a Beast message
template <class Fields>
std::vector<header_field> copy_fields(const Fields& fields)
{
    std::vector<header_field> result;
    result.reserve(static_cast<std::size_t>(std::distance(fields.begin(), fields.end())));
    for (const auto& field : fields)
    {
        result.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    return result;
}

/*!
@brief head of a response to a caller, with the empty line at its end

@param[in] response      the response
@param[in] idle_timeout  how long the connection may stay idle; not announced if below a second
@param[in] is_final      whether the connection is closed after the response
*/
[[nodiscard]] std::string response_head(const http_response& response, std::chrono::milliseconds idle_timeout,
                                        bool is_final);

} // namespace teasellead::runtime
