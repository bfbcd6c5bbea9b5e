#include "teasellead/routing/latency_baseline.hpp"

#include <algorithm>
#include <cmath>

namespace teasellead
{

namespace
{

// the baseline at most doubles within this time
constexpr std::chrono::minutes doubling_time{10};

} // namespace

void latency_baseline::update(duration quantile, bool settling, time_point now) noexcept
{
    const std::chrono::duration<double> elapsed = now - m_updated;
    m_updated = now;
    if (settling || quantile <= m_value)
    {
        m_value = quantile;
        return;
    }
    const double growth = std::exp2(elapsed / std::chrono::duration<double>{doubling_time});
    const auto grown = std::chrono::duration_cast<duration>(m_value * growth);
    m_value = std::min(quantile, grown);
}

} // namespace teasellead
