#pragma once

#include <string>
#include <variant>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/registry.hpp"

namespace teasellead
{

/// each host admits from its own share only; a baseline for measurements
struct static_split
{
    friend bool operator==(const static_split&, const static_split&) = default;
};

/// hosts with more demand borrow from the shares of hosts with less demand
struct lending
{
    duration m_term{std::chrono::milliseconds{500}};   ///< term of a borrowed share
    duration m_demand_window{std::chrono::seconds{1}}; ///< time over which demand is averaged
    /// time whose expected requests a host keeps in reserve
    duration m_reserve_horizon{std::chrono::milliseconds{20}};
    /// time for which the tokens of a lent rate may accumulate
    duration m_refill_horizon{std::chrono::milliseconds{100}};

    friend bool operator==(const lending&, const lending&) = default;
};

/// how the shares of a client account's limit move between hosts; registered by name with the kernel
using limit_policy = std::variant<static_split, lending>;

/// creates the policy with a registered name; @throw settings_error 203 if there is none
[[nodiscard]] limit_policy make_limit_policy(const std::string& name);

} // namespace teasellead
