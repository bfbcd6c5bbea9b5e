#include "teasellead/forwarding/record_merge.hpp"

#include <algorithm>
#include <functional>

namespace teasellead::forwarding
{

std::string greatest_records(const std::vector<std::string_view>& replies, std::size_t max_records)
{
    std::vector<std::string_view> records;
    for (const std::string_view reply : replies)
    {
        for (std::size_t begin = 0; begin + record_size <= reply.size(); begin += record_size)
        {
            records.push_back(reply.substr(begin, record_size));
        }
    }
    const std::size_t kept = std::min(max_records, records.size());
    // string_view compares bytes as unsigned values
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
                      std::greater<>{});
    std::string result;
    result.reserve(kept * record_size);
    for (std::size_t i = 0; i < kept; ++i)
    {
        result += records[i];
    }
    return result;
}

} // namespace teasellead::forwarding
