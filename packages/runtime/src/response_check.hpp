#pragma once

namespace teasellead::runtime
{

/// whether a server may send a status code to a client that hasn't asked for an upgrade
[[nodiscard]] bool is_valid_status(unsigned status) noexcept;

} // namespace teasellead::runtime
