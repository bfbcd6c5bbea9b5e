#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "teasellead/fleet/peer_status.hpp"
#include "teasellead/forwarding/connection_shares.hpp"
#include "teasellead/forwarding/route_table.hpp"
#include "teasellead/forwarding/upstream_directory.hpp"

namespace teasellead::runtime
{

/*!
@brief numbers of connections that this node may hold to each upstream

Caches this node's shares by service; they are computed again when they are first needed after a change of the
nodes, the directory or the route table. All nodes with equal views compute shares that add up to less than
the upstream's limit, so they exchange no messages. Not thread-safe.
*/
class connection_limits
{
  public:
    /*!
    @brief creates the limits of a node that knows no others

    @param[in] self       this node
    @param[in] directory  the upstreams; must outlive this object
    */
    connection_limits(const node_location& self, const forwarding::upstream_directory& directory);

    /*!
    @brief sets the nodes among which connections are divided

    @param[in] nodes       the nodes, this one included
    @param[in] is_settled  whether most nodes are known; before, no share is greater than 1

    @return whether anything has changed
    */
    bool on_members(std::vector<node_location> nodes, bool is_settled);

    /// sets the route table, whose services declare the limits of their upstreams
    void on_table(forwarding::shared_route_table table);

    /*!
    @brief largest number of connections that this node may hold to an upstream

    If the node can use none of the upstreams in which it has a share, it may open one connection to another
    one, which differs from node to node.

    @param[in] target  the upstream
    @param[in] now     current time

    @complexity constant on average, or linear in the number of the service's upstreams if there is no share
    */
    [[nodiscard]] std::size_t limit(const forwarding::upstream& target, time_point now);

    /// sum of the shares in upstreams of the services that were used since the last change
    [[nodiscard]] std::size_t allowed() const noexcept;

    /// number of those services whose limits don't suffice for one connection of each node
    [[nodiscard]] std::size_t starved_services() const noexcept;

    /// number of nodes among which connections are divided
    [[nodiscard]] std::size_t nodes() const noexcept
    {
        return m_places.size();
    }

  private:
    /// this node's share in one upstream
    struct upstream_share
    {
        const forwarding::upstream* m_upstream{nullptr};
        std::size_t m_connections{0};
    };

    /// this node's shares in the upstreams of one service
    struct service_shares
    {
        std::vector<upstream_share> m_upstreams;
        bool m_is_starved{false};
        std::uint64_t m_version{0}; ///< of the directory's upstreams of the service
    };

    [[nodiscard]] std::size_t find_limit(const forwarding::upstream& target, time_point now);
    void clear();
    [[nodiscard]] const service_shares& shares_of(const forwarding::service& declared);
    [[nodiscard]] service_shares compute(const forwarding::service& declared) const;
    /// keeps one connection to each of two thirds of the upstreams, as long as most nodes are unknown
    void reduce_unsettled(service_shares& shares) const;
    /// place of an upstream in an order that differs from node to node
    [[nodiscard]] std::uint64_t score_of(const forwarding::upstream& target) const;
    [[nodiscard]] bool is_usable(const forwarding::upstream& candidate, time_point now) const;
    [[nodiscard]] const forwarding::upstream* substitute(const service_shares& shares, time_point now) const;

    node_location m_self;
    const forwarding::upstream_directory& m_directory;
    forwarding::shared_route_table m_table;
    std::vector<node_location> m_nodes;
    forwarding::node_places m_places;
    bool m_is_settled{false};
    std::unordered_map<std::string, service_shares> m_shares;
    std::uint64_t m_directory_version{0}; ///< to which the known limits belong
    std::unordered_map<const forwarding::upstream*, std::size_t> m_known; ///< limits by share
};

} // namespace teasellead::runtime
