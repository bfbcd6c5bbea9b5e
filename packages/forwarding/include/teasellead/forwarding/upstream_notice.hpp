#pragma once

#include <chrono>
#include <optional>

#include "teasellead/forwarding/reported_load.hpp"

namespace teasellead::forwarding
{

/// state of an upstream that it announces in the header fields of any response
struct upstream_notice
{
    bool m_is_leaving{false};                         ///< it is shutting down and accepts no new requests
    std::optional<std::chrono::milliseconds> m_pause; ///< time during which this node must send no requests
    std::optional<reported_load> m_load{};            ///< its load, if it reports one

    /// whether it asks for a change of the requests that are sent to it
    [[nodiscard]] bool is_request() const noexcept
    {
        return m_is_leaving || m_pause.has_value();
    }

    friend bool operator==(const upstream_notice&, const upstream_notice&) = default;
};

} // namespace teasellead::forwarding
