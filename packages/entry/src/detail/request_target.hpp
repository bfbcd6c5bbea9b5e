#pragma once

#include <string>
#include <string_view>

namespace teasellead::detail
{

/// the path component of a request target, without the query
[[nodiscard]] inline std::string path_of(std::string_view target)
{
    return std::string{target.substr(0, target.find('?'))};
}

} // namespace teasellead::detail
