#pragma once

#include <cstddef>
#include <vector>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::testing
{

/// which pairs of nodes are disconnected, and when each link last changed
class link_table
{
  public:
    /// starts with all nodes connected to each other
    link_table(std::size_t nodes, time_point now)
        : m_nodes(nodes), m_changed(nodes * nodes, now), m_is_cut(nodes * nodes, false)
    {
    }

    void set_cut(std::size_t lhs, std::size_t rhs, bool is_cut, time_point now)
    {
        for (const std::size_t link : {lhs * m_nodes + rhs, rhs * m_nodes + lhs})
        {
            m_is_cut[link] = is_cut;
            m_changed[link] = now;
        }
    }

    [[nodiscard]] bool is_cut(std::size_t lhs, std::size_t rhs) const
    {
        return !m_is_cut.empty() && m_is_cut[lhs * m_nodes + rhs];
    }

    /// whether two nodes have been connected without a break since a time
    [[nodiscard]] bool is_open_since(std::size_t lhs, std::size_t rhs, time_point time) const
    {
        return !is_cut(lhs, rhs) && m_changed[lhs * m_nodes + rhs] <= time;
    }

  private:
    std::size_t m_nodes;
    std::vector<time_point> m_changed;
    std::vector<bool> m_is_cut;
};

} // namespace teasellead::testing
