#pragma once

#include <string>

namespace teasellead::detail
{

/*!
@brief reads a whole file

@param[in] path  path of the file

@return its content

@throw settings_error 205 if it can't be read
*/
[[nodiscard]] std::string read_file(const std::string& path);

} // namespace teasellead::detail
