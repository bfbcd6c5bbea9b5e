#pragma once

#include <cstdint>

#include "teasellead/kernel/host_view.hpp"
#include "teasellead/kernel/topology.hpp"

namespace teasellead
{

/// this host's share of an upstream's limits
class host_share
{
  public:
    /*!
    @brief creates a share

    @param[in] connections   connections that this host may hold
    @param[in] slots         requests that this host may have in flight once the upstream is warm
    @param[in] cold_requests requests that this host may have in flight while the upstream is cold
    @param[in] warm_requests allowance at which the owner of the cold requests regards the upstream as warm
    */
    constexpr host_share(std::uint32_t connections, std::uint32_t slots, std::uint32_t cold_requests,
                         std::uint32_t warm_requests) noexcept
        : m_connections(connections), m_slots(slots), m_cold_requests(cold_requests),
          m_warm_requests(warm_requests)
    {
    }

    /// the same share with no requests to a cold upstream
    [[nodiscard]] constexpr host_share without_cold_requests() const noexcept
    {
        return host_share{m_connections, m_slots, 0, m_warm_requests};
    }

    [[nodiscard]] constexpr std::uint32_t connections() const noexcept
    {
        return m_connections;
    }

    [[nodiscard]] constexpr std::uint32_t slots() const noexcept
    {
        return m_slots;
    }

    [[nodiscard]] constexpr std::uint32_t cold_requests() const noexcept
    {
        return m_cold_requests;
    }

    [[nodiscard]] constexpr std::uint32_t warm_requests() const noexcept
    {
        return m_warm_requests;
    }

    friend constexpr bool operator==(const host_share&, const host_share&) noexcept = default;

  private:
    std::uint32_t m_connections;
    std::uint32_t m_slots;
    std::uint32_t m_cold_requests;
    std::uint32_t m_warm_requests;
};

/*!
@brief divides an upstream's limits among the hosts

Connections are divided in whole numbers and the remainder goes to the hosts that rank first, so that the
shares of all hosts with equal views add up to the limit. Hosts of the upstream's data centre rank before the
others, then the rendezvous score decides. The host that ranks first owns the cold-start allowance.

@param[in] holder  the upstream
@param[in] limits  its limits over all hosts
@param[in] view    the hosts

@return the share of `view.self()`; all zero if it isn't among the hosts

@complexity linear in the number of hosts
*/
[[nodiscard]] host_share share_of(const replica& holder, const upstream_limits& limits,
                                  const host_view& view);

/*!
@brief the host that owns an upstream's cold-start allowance

@param[in] holder  the upstream
@param[in] view    the hosts, at least one

@complexity linear in the number of hosts
*/
[[nodiscard]] const listed_host& cold_owner_of(const replica& holder, const host_view& view);

/// the member-wise minimum of two shares
[[nodiscard]] host_share memberwise_min(const host_share& lhs, const host_share& rhs) noexcept;

} // namespace teasellead
