#include "teasellead/fleet/codec.hpp"

#include "peer_contents.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

constexpr int invalid_message_id = 503;
constexpr unsigned port_bits = 16;
constexpr std::uint64_t max_packed_endpoint = (std::uint64_t{1} << 48U) - 1;

} // namespace

void reject_message(const std::string& reason)
{
    throw protocol_error(invalid_message_id, "peer message: " + reason);
}

endpoint unpack_address(std::uint64_t packed)
{
    if (packed > max_packed_endpoint)
    {
        reject_message("address out of range");
    }
    return endpoint{static_cast<std::uint32_t>(packed >> port_bits),
                    static_cast<std::uint16_t>(packed & 0xFFFFU)};
}

std::string encode(const peer_message& message)
{
    wire::PeerMessage wire;
    wire.set_sender(message.m_sender.packed());
    wire.set_incarnation(message.m_incarnation);
    put_content(wire, message.m_content);
    return wire.SerializeAsString();
}

peer_message decode(std::string_view bytes)
{
    if (bytes.size() > max_peer_message_bytes)
    {
        reject_message("too large");
    }
    wire::PeerMessage wire;
    if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        reject_message("malformed");
    }
    return peer_message{unpack_address(wire.sender()), wire.incarnation(), take_content(wire)};
}

} // namespace teasellead
