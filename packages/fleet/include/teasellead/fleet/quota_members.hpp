#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "teasellead/fleet/peer_status.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/// the nodes that share the limits, as a node sees them at one moment
struct member_view
{
    std::vector<peer_status> m_others; ///< that may be serving
    std::size_t m_expected{1};         ///< least number of nodes there may be
    bool m_is_settled{false};          ///< whether this node has been up for long enough to know most others
    bool m_is_leaving{false};          ///< whether this node is about to stop

    friend bool operator==(const member_view&, const member_view&) = default;
};

/// the first nodes in the order in which they may hold an account's bucket
struct quota_order
{
    std::vector<endpoint> m_heard; ///< nodes that are heard, this one among them
    std::vector<endpoint> m_known; ///< silent ones too

    friend bool operator==(const quota_order&, const quota_order&) = default;
};

/// the nodes that share the accounts' limits, as this node sees them
class quota_members
{
  public:
    /// begins alone; @param[in] self  address of this node
    explicit quota_members(endpoint self) : m_self(self)
    {
    }

    /// takes the view of a moment; @return whether it differs from the last
    bool update(member_view view, time_point now);

    [[nodiscard]] const endpoint& self() const noexcept
    {
        return m_self;
    }

    [[nodiscard]] bool is_settled() const noexcept
    {
        return m_view.m_is_settled;
    }

    [[nodiscard]] bool is_leaving() const noexcept
    {
        return m_view.m_is_leaving;
    }

    /// number of nodes that there may be, this one and the silent ones among them
    [[nodiscard]] std::size_t size() const noexcept
    {
        return std::max(m_view.m_others.size() + 1, m_view.m_expected);
    }

    /// grows with each change of the view
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /*!
    @brief part of the nodes that this one may act for, from above 0 to 1

    Those that are heard, and were heard all the time that the others may need to notice a change.
    */
    [[nodiscard]] double heard_part() const noexcept
    {
        return m_heard_part * static_cast<double>(m_view.m_others.size() + 1) / static_cast<double>(size());
    }

    /// the member at an address, or null
    [[nodiscard]] const peer_status* find(const endpoint& address) const;

    /*!
    @brief the first nodes in the order of an account

    @param[in] key  hash of the account's name

    @complexity linear in the number of nodes
    */
    [[nodiscard]] quota_order order_of(std::uint64_t key) const;

  private:
    endpoint m_self;
    member_view m_view; ///< others in the order of their addresses
    std::uint64_t m_version{1};
    double m_heard_part{1.0}; ///< of the known nodes
    time_point m_heard_part_until{};
};

} // namespace teasellead
