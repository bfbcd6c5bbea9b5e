#include "teasellead/forwarding/scatter_progress.hpp"

#include <algorithm>
#include <cmath>

namespace teasellead::forwarding
{

namespace
{

// rounding errors of a coverage don't add a shard
constexpr double tolerance = 1e-9;
// a search is nearly whole if it needs at most this fraction of its shards, or one
constexpr double nearly_whole_fraction = 0.1;

} // namespace

std::size_t scatter_progress::needed() const noexcept
{
    const double exact = m_min_coverage * static_cast<double>(m_shards);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(std::max(0.0, exact - tolerance))));
}

extra_attempt scatter_progress::purpose_of_retry() const noexcept
{
    if (is_covered())
    {
        return extra_attempt::optional;
    }
    const double outstanding = static_cast<double>(needed() - m_answered);
    const double few = std::max(1.0, nearly_whole_fraction * static_cast<double>(m_shards));
    return outstanding <= few ? extra_attempt::completing : extra_attempt::retry;
}

} // namespace teasellead::forwarding
