#pragma once

#include <string>
#include <utility>

#include "teasellead/runtime/http_message.hpp"

namespace teasellead::runtime
{

/// a response with a plain text for an operator
[[nodiscard]] inline http_response text_response(unsigned status, std::string text)
{
    return {status, {{"Content-Type", "text/plain"}}, std::move(text)};
}

} // namespace teasellead::runtime
