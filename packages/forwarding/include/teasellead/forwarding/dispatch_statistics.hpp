#pragma once

#include <compare>
#include <cstdint>
#include <map>

#include "teasellead/forwarding/dispatch_result.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// refusals that are counted together
struct refusal_kind
{
    failure_reason m_reason{failure_reason::no_upstream};
    std::uint32_t m_priority{0};

    friend auto operator<=>(const refusal_kind&, const refusal_kind&) = default;
};

/// counters of a node's decisions about its requests
struct dispatch_statistics
{
    std::map<refusal_kind, std::uint64_t> m_refusals;
    std::uint64_t m_denied_by_reserve{0};   ///< extra attempts not made, though the budget wasn't used up
    std::uint64_t m_refused_by_forecast{0}; ///< attempts that didn't wait for capacity, as none was expected
    std::uint64_t m_hedges{0};              ///< attempts beside another one at the same service
    duration m_hand_over_delay{duration::zero()}; ///< sum over attempts, from the plan to the network

    friend bool operator==(const dispatch_statistics&, const dispatch_statistics&) = default;
};

} // namespace teasellead::forwarding
