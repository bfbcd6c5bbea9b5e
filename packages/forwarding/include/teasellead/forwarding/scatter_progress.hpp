#pragma once

#include <cstddef>

#include "teasellead/forwarding/extra_reserve.hpp"

namespace teasellead::forwarding
{

/// how many shards of a scatter have replied, and whether that is enough
struct scatter_progress
{
    std::size_t m_shards{0};
    std::size_t m_answered{0};
    std::size_t m_pending{0};
    double m_min_coverage{1.0}; ///< fraction of the shards that must reply

    /// number of shards that must reply
    [[nodiscard]] std::size_t needed() const noexcept;

    [[nodiscard]] bool is_covered() const noexcept
    {
        return m_answered >= needed();
    }

    /// whether the coverage can still be reached
    [[nodiscard]] bool is_reachable() const noexcept
    {
        return m_answered + m_pending >= needed();
    }

    /// what a retry at one of the pending shards is for
    [[nodiscard]] extra_attempt purpose_of_retry() const noexcept;

    friend bool operator==(const scatter_progress&, const scatter_progress&) = default;
};

} // namespace teasellead::forwarding
