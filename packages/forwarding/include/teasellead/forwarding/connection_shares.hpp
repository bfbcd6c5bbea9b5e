#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "teasellead/kernel/endpoint.hpp"

namespace teasellead::forwarding
{

/// a host that opens or accepts connections: a node or an upstream
struct connection_end
{
    endpoint m_address;
    std::uint64_t m_data_centre{0}; ///< hash of the data centre's name

    friend auto operator<=>(const connection_end&, const connection_end&) = default;
};

/// place of a node among the nodes of its data centre
struct node_place
{
    std::size_t m_data_centre{0}; ///< index among the data centres that have nodes
    std::size_t m_rank{0}; ///< index within the data centre, in the order of the hashes of the addresses

    friend auto operator<=>(const node_place&, const node_place&) = default;
};

/*!
@brief the nodes among which connections are divided

Nodes with equal views compute equal places. A node that is lost or joins changes the ranks of other nodes by
at most one, and only in its data centre. Immutable.
*/
class node_places
{
  public:
    /*!
    @brief sorts the nodes

    @param[in] nodes  all nodes, with different addresses

    @complexity O(n log n) for n nodes
    */
    explicit node_places(std::vector<connection_end> nodes);

    /// place of a node, or nothing if there is none at the address; logarithmic
    [[nodiscard]] std::optional<node_place> find(const connection_end& node) const;

    /// index of a data centre, or nothing if it has no nodes
    [[nodiscard]] std::optional<std::size_t> find_data_centre(std::uint64_t data_centre) const;

    /// number of nodes of each data centre
    [[nodiscard]] const std::vector<std::size_t>& counts() const noexcept
    {
        return m_counts;
    }

    /// number of nodes
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_nodes.size();
    }

    friend bool operator==(const node_places&, const node_places&) = default;

  private:
    std::vector<connection_end> m_nodes;       ///< by data centre, then by hash of the address
    std::vector<std::uint64_t> m_data_centres; ///< those with nodes, sorted
    std::vector<std::size_t> m_counts;         ///< nodes of each of them
    std::vector<std::size_t> m_begins;         ///< index of the first node of each
};

/*!
@brief divides the connections that the upstreams of one service accept among the nodes

The sum over all nodes stays within a fraction of the upstream's limit. Each node gets two upstreams if the
limit allows it, and always at least one, even if the limits then don't suffice (@ref is_starved). What is
left goes to the nodes of the upstream's data centre first.

Each upstream grants a number of connections to each data centre. Within a data centre, each upstream's grant
covers a range of ranks, and the range of the next upstream begins where it ends, so that the numbers of
upstreams of two nodes of a data centre differ by at most one. Immutable.
*/
class connection_shares
{
  public:
    /// percentage of an upstream's limit that is divided; the rest is for nodes with different views, for
    /// connections of a node that has restarted, and for upstreams that accept fewer while they are busy
    static constexpr std::size_t usable_percentage = 90;

    /*!
    @brief divides the connections

    @param[in] nodes      the nodes
    @param[in] service    name of the service
    @param[in] limit      connections that each upstream accepts from all nodes together, at least 1
    @param[in] upstreams  upstreams of the service in the same order on all nodes

    @complexity number of upstreams times number of data centres
    */
    connection_shares(const node_places& nodes, std::string_view service, std::uint32_t limit,
                      std::span<const connection_end> upstreams);

    /*!
    @brief number of connections that a node may hold to an upstream

    @param[in] node      place of the node
    @param[in] upstream  index of the upstream

    @complexity constant
    */
    [[nodiscard]] std::size_t share(const node_place& node, std::size_t upstream) const;

    /// whether the limits don't suffice for one connection of each node
    [[nodiscard]] bool is_starved() const noexcept
    {
        return m_is_starved;
    }

    friend bool operator==(const connection_shares&, const connection_shares&) = default;

  private:
    [[nodiscard]] std::size_t& grant(std::size_t upstream, std::size_t data_centre)
    {
        return m_grants[upstream * m_counts.size() + data_centre];
    }

    [[nodiscard]] std::size_t granted_to(std::size_t data_centre) const;
    void grant_locally(std::span<const std::optional<std::size_t>> homes, std::size_t wanted);
    void withdraw_surplus(std::span<const std::optional<std::size_t>> homes, std::size_t wanted);
    void grant_wanted(std::size_t wanted);
    void grant_rest();
    void place_ranges(std::string_view service);

    std::vector<std::size_t> m_counts; ///< nodes of each data centre
    std::size_t m_base{0};             ///< connections of each node to each upstream
    std::vector<std::size_t> m_left;   ///< connections of each upstream that aren't granted yet
    std::vector<std::size_t> m_grants; ///< connections beyond the base, by upstream, then by data centre
    std::vector<std::size_t> m_begins; ///< first rank of each grant's range
    bool m_is_starved{false};
};

} // namespace teasellead::forwarding
