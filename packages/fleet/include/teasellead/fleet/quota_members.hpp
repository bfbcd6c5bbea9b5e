#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "teasellead/fleet/peer_status.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/// snapshot of the nodes that share the limits, as seen by one node
struct member_view
{
    std::vector<peer_status> m_others; ///< other nodes that may be serving
    std::size_t m_expected{1};         ///< lower estimate of the number of nodes, this one included
    bool m_is_converged{false};        ///< whether this node has been up for long enough to know most others
    bool m_is_leaving{false};          ///< whether this node is about to stop
    std::size_t m_expected_local{1};   ///< as m_expected, for the nodes of this node's data centre

    friend bool operator==(const member_view&, const member_view&) = default;
};

/// the preferred holders of an account's bucket, by descending rendezvous hash score
struct holder_order
{
    std::vector<endpoint> m_responsive; ///< responsive nodes, which may include this one
    std::vector<endpoint> m_all;        ///< the same with unresponsive nodes

    friend bool operator==(const holder_order&, const holder_order&) = default;
};

/// the nodes that share the accounts' limits, as this node sees them
class quota_members
{
  public:
    /// creates a view without other nodes; @param[in] self  address of this node
    explicit quota_members(endpoint self) : m_self(self)
    {
    }

    /// replaces the view; @return whether it differs from the last one
    bool update(member_view view, time_point now);

    [[nodiscard]] const endpoint& self() const noexcept
    {
        return m_self;
    }

    [[nodiscard]] bool is_converged() const noexcept
    {
        return m_view.m_is_converged;
    }

    [[nodiscard]] bool is_leaving() const noexcept
    {
        return m_view.m_is_leaving;
    }

    /// number of nodes that there may be, including this one and unresponsive ones
    [[nodiscard]] std::size_t size() const noexcept
    {
        return std::max(m_view.m_others.size() + 1, m_view.m_expected);
    }

    /// increases with each change of the view
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /*!
    @brief fraction of the nodes that were responsive for long enough, greater than 0 and at most 1

    A holder uses this fraction of a limit. The fraction drops at once when nodes become unresponsive, and
    rises only after the time in which all other nodes notice that a network partition has ended.
    */
    [[nodiscard]] double responsive_fraction() const noexcept
    {
        return m_responsive_fraction * static_cast<double>(m_view.m_others.size() + 1) /
               static_cast<double>(size());
    }

    /// the member at an address, or null
    [[nodiscard]] const peer_status* find(const endpoint& address) const;

    /*!
    @brief preferred holders of an account's bucket

    @param[in] key  hash of the account's name

    @complexity linear in the number of nodes
    */
    [[nodiscard]] holder_order order_of(std::uint64_t key) const;

  private:
    endpoint m_self;
    member_view m_view; ///< other nodes are sorted by address
    std::uint64_t m_version{1};
    double m_responsive_fraction{1.0}; ///< responsive fraction of the known nodes
    time_point m_responsive_fraction_until{};
};

} // namespace teasellead
