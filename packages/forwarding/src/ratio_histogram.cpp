#include "teasellead/forwarding/ratio_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace teasellead::forwarding
{

namespace
{

constexpr float weight_growth = 1.0F + 1.0F / 256;
constexpr float max_weight = 1e6F;
constexpr unsigned min_values = 16;

} // namespace

void ratio_histogram::add(double ratio) noexcept
{
    const double position = (std::log2(std::max(ratio, 1e-6)) + doublings) * steps_per_doubling;
    const double last = buckets - 1;
    m_weights.at(static_cast<std::size_t>(std::clamp(position, 0.0, last))) += m_next_weight;
    m_total += m_next_weight;
    m_next_weight *= weight_growth;
    m_count = std::min(m_count + 1, min_values);
    if (m_next_weight > max_weight)
    {
        for (float& each : m_weights)
        {
            each /= max_weight;
        }
        m_total /= max_weight;
        m_next_weight /= max_weight;
    }
}

std::optional<double> ratio_histogram::quantile(double fraction) const noexcept
{
    if (m_count < min_values)
    {
        return std::nullopt;
    }
    double left = fraction * m_total;
    std::size_t bucket = 0;
    while (bucket + 1 < buckets && left > m_weights.at(bucket))
    {
        left -= m_weights.at(bucket);
        ++bucket;
    }
    const double within = m_weights.at(bucket) > 0.0F ? std::min(left / m_weights.at(bucket), 1.0) : 0.0;
    return std::exp2((static_cast<double>(bucket) + within) / steps_per_doubling - doublings);
}

} // namespace teasellead::forwarding
