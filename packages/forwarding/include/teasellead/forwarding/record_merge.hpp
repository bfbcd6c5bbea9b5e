#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace teasellead::forwarding
{

/// length of a record in bytes; a shorter rest of a part is no record
inline constexpr std::size_t record_size = 16;

/*!
@brief the greatest records of all parts, the greatest first

@param[in] parts  bodies of the parts, records in any order
@param[in] top    number of records at most

@return the records as one text; equal records all count

@complexity O(n log top) for n records
*/
[[nodiscard]] std::string greatest_records(const std::vector<std::string_view>& parts, std::size_t top);

} // namespace teasellead::forwarding
