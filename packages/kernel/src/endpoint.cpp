#include "teasellead/kernel/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

constexpr int invalid_endpoint_id = 501;

[[noreturn]] void throw_invalid(std::string_view text)
{
    throw protocol_error(invalid_endpoint_id,
                         "\"" + std::string{text} + "\" isn't an IPv4 address with a port");
}

std::uint16_t parse_port(std::string_view digits, std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size() || port == 0)
    {
        throw_invalid(text);
    }
    return port;
}

} // namespace

endpoint endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        throw_invalid(text);
    }
    in_addr binary{};
    const std::string address{text.substr(0, colon)};
    if (::inet_pton(AF_INET, address.c_str(), &binary) != 1)
    {
        throw_invalid(text);
    }
    return endpoint{ntohl(binary.s_addr), parse_port(text.substr(colon + 1), text)};
}

std::string endpoint::ip() const
{
    in_addr binary{};
    binary.s_addr = htonl(m_address);
    char buffer[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &binary, buffer, sizeof(buffer));
    return buffer;
}

std::string endpoint::to_string() const
{
    return ip() + ":" + std::to_string(m_port);
}

} // namespace teasellead
