#pragma once

#include <cstdint>
#include <string>

#include "peer.pb.h"
#include "teasellead/fleet/messages.hpp"

namespace teasellead
{

/// @throw protocol_error 503 always, with a reason
[[noreturn]] void reject_message(const std::string& reason);

/// unit of the ages of records
inline constexpr std::chrono::milliseconds age_unit{250};

/*!
@brief the address that a message names

@throw protocol_error 503 if there is no such address
*/
[[nodiscard]] endpoint unpack_address(std::uint64_t packed);

/// writes a content into a message
void put_content(wire::PeerMessage& wire, const peer_content& content);

/*!
@brief reads the content of a message

@throw protocol_error 503 if it has none, or one that is out of range
*/
[[nodiscard]] peer_content take_content(const wire::PeerMessage& wire);

} // namespace teasellead
