#include "teasellead/forwarding/usual_latency.hpp"

namespace teasellead::forwarding
{

namespace
{

constexpr int latency_memory = 64; // divisor of each reply's deviation from the average
constexpr std::uint32_t min_latency_replies = 16;
constexpr double late_deviations = 2.5;

} // namespace

void usual_latency::add(duration latency) noexcept
{
    if (m_replies == 0)
    {
        m_mean = latency;
    }
    ++m_replies;
    m_mean += (latency - m_mean) / latency_memory;
    const duration deviation = latency > m_mean ? latency - m_mean : m_mean - latency;
    m_deviation += (deviation - m_deviation) / latency_memory;
}

std::optional<duration> usual_latency::late_after() const noexcept
{
    if (m_replies < min_latency_replies)
    {
        return std::nullopt;
    }
    return m_mean + std::chrono::duration_cast<duration>(m_deviation * late_deviations);
}

} // namespace teasellead::forwarding
