#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace teasellead::forwarding
{

/// length of a record in bytes; a shorter remainder at the end of a reply is ignored
inline constexpr std::size_t record_size = 16;

/*!
@brief selects the greatest records of all shard replies, in descending order

@param[in] replies      bodies of the shard replies, with records in any order
@param[in] max_records  maximum number of records

@return the concatenated records; equal records aren't merged

@complexity O(n log top) for n records
*/
[[nodiscard]] std::string greatest_records(const std::vector<std::string_view>& replies,
                                           std::size_t max_records);

} // namespace teasellead::forwarding
