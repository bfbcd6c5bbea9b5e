#pragma once

#include <chrono>
#include <optional>

namespace teasellead::forwarding
{

/// state of an upstream that it announces in the header fields of a response
struct upstream_notice
{
    bool m_is_leaving{false};                         ///< it is shutting down and accepts no new requests
    std::optional<std::chrono::milliseconds> m_pause; ///< time during which this node must send no requests

    friend bool operator==(const upstream_notice&, const upstream_notice&) = default;
};

} // namespace teasellead::forwarding
