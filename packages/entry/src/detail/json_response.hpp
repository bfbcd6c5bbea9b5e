#pragma once

#include <string>

#include "teasellead/runtime/http_message.hpp"

namespace teasellead::detail
{

/// makes a response whose body has the media type @a content_type
[[nodiscard]] inline runtime::http_response make_response(unsigned status, const std::string& content_type,
                                                          std::string body)
{
    return {status, {{"Content-Type", content_type}}, std::move(body)};
}

/// makes a response with a JSON body
[[nodiscard]] inline runtime::http_response json_response(unsigned status, std::string body)
{
    return make_response(status, "application/json", std::move(body));
}

} // namespace teasellead::detail
