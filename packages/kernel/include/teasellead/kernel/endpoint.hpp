#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace teasellead
{

/*!
@brief IPv4 address and port of a host or an upstream

Host names are never resolved; every address is an IPv4 address.
*/
class endpoint
{
  public:
    /// the unset endpoint 0.0.0.0:0
    constexpr endpoint() noexcept = default;

    /*!
    @brief creates an endpoint

    @param[in] address  IPv4 address in host byte order
    @param[in] port     TCP port
    */
    constexpr endpoint(std::uint32_t address, std::uint16_t port) noexcept : m_address(address), m_port(port)
    {
    }

    /*!
    @brief parses `a.b.c.d:port`

    @param[in] text  the text

    @return the endpoint

    @throw protocol_error 501 if the text isn't an IPv4 address with a port from 1 to 65535
    */
    [[nodiscard]] static endpoint parse(std::string_view text);

    /// IPv4 address in host byte order
    [[nodiscard]] constexpr std::uint32_t address() const noexcept
    {
        return m_address;
    }

    /// TCP port
    [[nodiscard]] constexpr std::uint16_t port() const noexcept
    {
        return m_port;
    }

    /// address and port combined into one number that is unique for each endpoint
    [[nodiscard]] constexpr std::uint64_t packed() const noexcept
    {
        return (std::uint64_t{m_address} << 16U) | m_port;
    }

    /// the address as `a.b.c.d`
    [[nodiscard]] std::string ip() const;

    /// the endpoint as `a.b.c.d:port`
    [[nodiscard]] std::string to_string() const;

    friend constexpr auto operator<=>(const endpoint&, const endpoint&) noexcept = default;

  private:
    std::uint32_t m_address{0};
    std::uint16_t m_port{0};
};

} // namespace teasellead

/// hash of an endpoint, for unordered containers
template <>
struct std::hash<teasellead::endpoint>
{
    std::size_t operator()(const teasellead::endpoint& value) const noexcept
    {
        // Fibonacci hashing spreads adjacent addresses over the buckets
        return static_cast<std::size_t>(value.packed() * 0x9E3779B97F4A7C15ULL);
    }
};
