#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "teasellead/fleet/peer_status.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/// the nodes of a data centre that may hold the bucket of an account
struct data_centre_nodes
{
    data_centre_id m_data_centre{0};
    std::vector<endpoint> m_nodes; ///< by descending rendezvous hash score

    friend bool operator==(const data_centre_nodes&, const data_centre_nodes&) = default;
};

/// the responsive nodes of the other data centres, as this node sees them
class remote_members
{
  public:
    /// creates a view without nodes; @param[in] self  address of this node
    explicit remote_members(endpoint self) : m_self(self)
    {
    }

    /// replaces the nodes, of which those of other data centres are given
    void update(const std::vector<peer_status>& others);

    /// increases with each change
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    /*!
    @brief nodes of each data centre that are asked first for tokens of an account

    @param[in] key    hash of the account's name
    @param[in] count  max. number of nodes of each data centre

    @return the data centres in an order that differs between nodes, so that their questions spread

    @complexity linear in the number of nodes
    */
    [[nodiscard]] std::vector<data_centre_nodes> preferred(std::uint64_t key, std::size_t count) const;

  private:
    endpoint m_self;
    std::vector<data_centre_nodes> m_data_centres; ///< nodes sorted by address
    std::uint64_t m_version{1};
};

} // namespace teasellead
