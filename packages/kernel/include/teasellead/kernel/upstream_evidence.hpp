#pragma once

#include <compare>
#include <cstdint>

#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/// number that an upstream reports; changes with each of its starts
using upstream_incarnation = std::uint64_t;

/// observation about an upstream that a host reports to its peers
class upstream_evidence
{
  public:
    /*!
    @brief creates an observation

    @param[in] upstream     address of the upstream
    @param[in] incarnation  incarnation of the upstream that was observed
    @param[in] warm         true if it can handle its full load, false if it restarted or was lost
    */
    constexpr upstream_evidence(endpoint upstream, upstream_incarnation incarnation, bool warm) noexcept
        : m_upstream(upstream), m_incarnation(incarnation), m_warm(warm)
    {
    }

    [[nodiscard]] constexpr const endpoint& upstream() const noexcept
    {
        return m_upstream;
    }

    [[nodiscard]] constexpr upstream_incarnation incarnation() const noexcept
    {
        return m_incarnation;
    }

    [[nodiscard]] constexpr bool warm() const noexcept
    {
        return m_warm;
    }

    friend constexpr auto operator<=>(const upstream_evidence&, const upstream_evidence&) noexcept = default;

  private:
    endpoint m_upstream;
    upstream_incarnation m_incarnation;
    bool m_warm;
};

} // namespace teasellead
