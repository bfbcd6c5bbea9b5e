#include "teasellead/forwarding/mean_table.hpp"

#include <algorithm>
#include <bit>

namespace teasellead::forwarding
{

mean_table::mean_table(std::size_t entries, std::uint32_t smoothing)
    : m_entries(std::bit_ceil(std::max(entries, group_size))), m_smoothing(smoothing)
{
}

std::size_t mean_table::group_of(std::uint64_t key) const noexcept
{
    constexpr std::uint64_t mixer = 0x9e3779b97f4a7c15U;
    constexpr unsigned upper_half = 32;
    const std::size_t groups = m_entries.size() / group_size;
    return (((key * mixer) >> upper_half) & (groups - 1)) * group_size;
}

moving_mean mean_table::find(std::uint64_t key) const noexcept
{
    const std::size_t first = group_of(key);
    for (std::size_t i = first; i < first + group_size; ++i)
    {
        if (m_entries[i].m_key == key)
        {
            return m_entries[i].m_value;
        }
    }
    return {};
}

void mean_table::add(std::uint64_t key, double value) noexcept
{
    const std::size_t first = group_of(key);
    entry* target = &m_entries[first];
    for (std::size_t i = first; i < first + group_size; ++i)
    {
        entry& each = m_entries[i];
        if (each.m_key == key)
        {
            target = &each;
            break;
        }
        // differences of the wrapping counter tell which entry is older
        if (m_additions - each.m_used > m_additions - target->m_used)
        {
            target = &each;
        }
    }
    if (target->m_key != key)
    {
        *target = {key, {}, 0};
    }
    moving_mean& mean = target->m_value;
    mean.m_count = std::min(mean.m_count + 1, m_smoothing);
    mean.m_mean += (static_cast<float>(value) - mean.m_mean) / static_cast<float>(mean.m_count);
    target->m_used = ++m_additions;
}

} // namespace teasellead::forwarding
