#pragma once

#include <string>
#include <string_view>

#include "teasellead/fleet/messages.hpp"

namespace teasellead
{

/// largest encoded peer message in bytes: a full services text and its envelope
inline constexpr std::size_t max_peer_message_bytes = 1'200'000;

/*!
@brief encodes a message for the peer link

@param[in] message  the message

@return protobuf bytes

@complexity linear in the size of the message
*/
[[nodiscard]] std::string encode(const peer_message& message);

/*!
@brief decodes a message from the peer link

@param[in] bytes  protobuf bytes

@return the message

@throw protocol_error 503 if the bytes aren't a valid message, are too many, or contain a value out of range
*/
[[nodiscard]] peer_message decode(std::string_view bytes);

} // namespace teasellead
