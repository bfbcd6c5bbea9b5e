#include "teasellead/forwarding/latency_estimate.hpp"

namespace teasellead::forwarding
{

namespace
{

constexpr int latency_smoothing = 64; // divisor of each reply's deviation from the average
constexpr std::uint32_t min_latency_replies = 16;
constexpr double late_deviations = 2.5;

} // namespace

void latency_estimate::add(duration latency) noexcept
{
    if (m_replies == 0)
    {
        m_mean = latency;
    }
    ++m_replies;
    m_mean += (latency - m_mean) / latency_smoothing;
    const duration deviation = latency > m_mean ? latency - m_mean : m_mean - latency;
    m_deviation += (deviation - m_deviation) / latency_smoothing;
}

std::optional<duration> latency_estimate::late_threshold() const noexcept
{
    if (m_replies < min_latency_replies)
    {
        return std::nullopt;
    }
    return m_mean + std::chrono::duration_cast<duration>(m_deviation * late_deviations);
}

} // namespace teasellead::forwarding
