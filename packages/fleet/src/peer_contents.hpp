#pragma once

#include <cstdint>
#include <string>

#include "peer.pb.h"
#include "teasellead/fleet/messages.hpp"

namespace teasellead
{

/// @throw protocol_error 503 always, with a reason
[[noreturn]] void reject_message(const std::string& reason);

/// unit of NodeRecord.age on the wire
inline constexpr std::chrono::milliseconds age_unit{250};

/// units of the fractions in an UpstreamObservation on the wire
inline constexpr double permille = 1000.0;
inline constexpr double percent = 100.0;

/*!
@brief unpacks an address of a message

@throw protocol_error 503 if the value is out of range
*/
[[nodiscard]] endpoint unpack_address(std::uint64_t packed);

/// stores a content in a message
void put_content(wire::PeerMessage& wire, const peer_content& content);

/*!
@brief reads the content of a message

@throw protocol_error 503 if the message has no content, or one with a value out of range
*/
[[nodiscard]] peer_content take_content(const wire::PeerMessage& wire);

} // namespace teasellead
