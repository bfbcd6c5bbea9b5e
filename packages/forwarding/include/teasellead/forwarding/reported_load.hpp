#pragma once

#include <cstdint>

namespace teasellead::forwarding
{

/// load that an upstream reports with its responses
struct reported_load
{
    std::uint32_t m_running{0};
    std::uint32_t m_waiting{0};
    std::uint32_t m_slots{1};
    double m_work_factor{1.0}; ///< time that work takes on its host now, relative to the usual time

    /// number of requests for each slot, weighted with the work factor
    [[nodiscard]] double pressure() const noexcept
    {
        return (static_cast<double>(m_running) + m_waiting) / m_slots * m_work_factor;
    }

    friend bool operator==(const reported_load&, const reported_load&) = default;
};

/// @brief returns a load whose figures are within plausible bounds; an upstream may report anything
[[nodiscard]] reported_load bounded(reported_load load) noexcept;

} // namespace teasellead::forwarding
