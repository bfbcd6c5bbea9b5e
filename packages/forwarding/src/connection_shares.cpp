#include "teasellead/forwarding/connection_shares.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead::forwarding
{

namespace
{

// upstreams of a service to which each node may connect if the limits allow it, so that an attempt can be
// repeated at another one
constexpr std::size_t wanted_upstreams = 2;

std::uint64_t order_of(const connection_end& node)
{
    return rendezvous_score(node.m_address.address(), node.m_address.port());
}

/// order of the nodes: by data centre, then by hash
bool is_before(const connection_end& lhs, const connection_end& rhs)
{
    return std::tuple{lhs.m_data_centre, order_of(lhs), lhs.m_address} <
           std::tuple{rhs.m_data_centre, order_of(rhs), rhs.m_address};
}

/// divides an amount in proportion to the capacities; no part is greater than its capacity
std::vector<std::size_t> divide(std::size_t amount, std::span<const std::size_t> capacities)
{
    const std::size_t total = std::accumulate(capacities.begin(), capacities.end(), std::size_t{0});
    const std::size_t divided = std::min(amount, total);
    std::vector<std::size_t> result(capacities.size(), 0);
    std::size_t capacity = 0;
    std::size_t given = 0;
    for (std::size_t i = 0; i < capacities.size() && total > 0; ++i)
    {
        capacity += capacities[i];
        result[i] = divided * capacity / total - given;
        given += result[i];
    }
    return result;
}

} // namespace

node_places::node_places(std::vector<connection_end> nodes) : m_nodes(std::move(nodes))
{
    std::sort(m_nodes.begin(), m_nodes.end(), is_before);
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
    {
        if (m_data_centres.empty() || m_data_centres.back() != m_nodes[i].m_data_centre)
        {
            m_data_centres.push_back(m_nodes[i].m_data_centre);
            m_counts.push_back(0);
            m_begins.push_back(i);
        }
        ++m_counts.back();
    }
}

std::optional<node_place> node_places::find(const connection_end& node) const
{
    const auto found = std::lower_bound(m_nodes.begin(), m_nodes.end(), node, is_before);
    if (found == m_nodes.end() || *found != node)
    {
        return std::nullopt;
    }
    const std::size_t data_centre = *find_data_centre(node.m_data_centre);
    return node_place{data_centre, static_cast<std::size_t>(found - m_nodes.begin()) - m_begins[data_centre]};
}

std::optional<std::size_t> node_places::find_data_centre(std::uint64_t data_centre) const
{
    const auto found = std::lower_bound(m_data_centres.begin(), m_data_centres.end(), data_centre);
    if (found == m_data_centres.end() || *found != data_centre)
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - m_data_centres.begin());
}

connection_shares::connection_shares(const node_places& nodes, std::string_view service, std::uint32_t limit,
                                     std::span<const connection_end> upstreams)
    : m_counts(nodes.counts()), m_grants(upstreams.size() * m_counts.size(), 0), m_begins(m_grants)
{
    if (upstreams.empty() || nodes.size() == 0)
    {
        return;
    }
    const std::size_t usable = limit * usable_percentage / 100;
    const std::size_t fewest = (nodes.size() + upstreams.size() - 1) / upstreams.size();
    m_is_starved = usable < fewest;
    const std::size_t divided = std::max(usable, fewest);
    m_base = divided / nodes.size();
    m_left.assign(upstreams.size(), divided % nodes.size());
    const std::size_t mean = divided * upstreams.size() / nodes.size();
    const std::size_t wanted = m_base > 0 ? 0 : std::min({wanted_upstreams, upstreams.size(), mean});
    std::vector<std::optional<std::size_t>> homes;
    homes.reserve(upstreams.size());
    for (const connection_end& each : upstreams)
    {
        homes.push_back(nodes.find_data_centre(each.m_data_centre));
    }
    grant_locally(homes, wanted);
    grant_wanted(wanted);
    grant_rest();
    place_ranges(service);
}

std::size_t connection_shares::granted_to(std::size_t data_centre) const
{
    std::size_t result = 0;
    for (std::size_t i = data_centre; i < m_grants.size(); i += m_counts.size())
    {
        result += m_grants[i];
    }
    return result;
}

void connection_shares::grant_locally(std::span<const std::optional<std::size_t>> homes, std::size_t wanted)
{
    for (std::size_t i = 0; i < homes.size(); ++i)
    {
        if (homes[i])
        {
            const std::size_t granted = std::min(m_counts[*homes[i]], m_left[i]);
            grant(i, *homes[i]) = granted;
            m_left[i] -= granted;
        }
    }
    withdraw_surplus(homes, wanted);
}

void connection_shares::withdraw_surplus(std::span<const std::optional<std::size_t>> homes,
                                         std::size_t wanted)
{
    std::size_t missing = 0;
    std::vector<std::size_t> surplus(m_counts.size(), 0);
    for (std::size_t i = 0; i < m_counts.size(); ++i)
    {
        const std::size_t granted = granted_to(i);
        const std::size_t needed = wanted * m_counts[i];
        missing += needed - std::min(needed, granted);
        surplus[i] = granted - std::min(needed, granted);
    }
    const std::size_t left = std::accumulate(m_left.begin(), m_left.end(), std::size_t{0});
    const std::vector<std::size_t> withdrawn = divide(missing - std::min(missing, left), surplus);
    for (std::size_t centre = 0; centre < m_counts.size(); ++centre)
    {
        std::vector<std::size_t> grants(homes.size(), 0);
        for (std::size_t i = 0; i < homes.size(); ++i)
        {
            grants[i] = grant(i, centre);
        }
        const std::vector<std::size_t> parts = divide(withdrawn[centre], grants);
        for (std::size_t i = 0; i < homes.size(); ++i)
        {
            grant(i, centre) -= parts[i];
            m_left[i] += parts[i];
        }
    }
}

void connection_shares::grant_wanted(std::size_t wanted)
{
    for (std::size_t centre = 0; centre < m_counts.size(); ++centre)
    {
        const std::size_t needed = wanted * m_counts[centre];
        const std::size_t granted = granted_to(centre);
        std::vector<std::size_t> capacities(m_left.size(), 0);
        for (std::size_t i = 0; i < m_left.size(); ++i)
        {
            capacities[i] = std::min(m_left[i], m_counts[centre] - grant(i, centre));
        }
        const std::vector<std::size_t> parts = divide(needed - std::min(needed, granted), capacities);
        for (std::size_t i = 0; i < m_left.size(); ++i)
        {
            grant(i, centre) += parts[i];
            m_left[i] -= parts[i];
        }
    }
}

void connection_shares::grant_rest()
{
    for (std::size_t i = 0; i < m_left.size(); ++i)
    {
        std::vector<std::size_t> capacities(m_counts.size(), 0);
        for (std::size_t centre = 0; centre < m_counts.size(); ++centre)
        {
            capacities[centre] = m_counts[centre] - grant(i, centre);
        }
        const std::vector<std::size_t> parts = divide(m_left[i], capacities);
        for (std::size_t centre = 0; centre < m_counts.size(); ++centre)
        {
            grant(i, centre) += parts[centre];
            m_left[i] -= parts[centre];
        }
    }
}

void connection_shares::place_ranges(std::string_view service)
{
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    const double turn = static_cast<double>(hash64(service)) / hash_range;
    for (std::size_t centre = 0; centre < m_counts.size(); ++centre)
    {
        const std::size_t count = m_counts[centre];
        // a fraction of the count, since a remainder would change with each node
        std::size_t next = std::min(static_cast<std::size_t>(turn * static_cast<double>(count)), count - 1);
        for (std::size_t i = 0; i < m_left.size(); ++i)
        {
            m_begins[i * m_counts.size() + centre] = next;
            next = (next + grant(i, centre)) % count;
        }
    }
}

std::size_t connection_shares::share(const node_place& node, std::size_t upstream) const
{
    const std::size_t count = m_counts.at(node.m_data_centre);
    const std::size_t index = upstream * m_counts.size() + node.m_data_centre;
    const std::size_t distance = (node.m_rank + count - m_begins.at(index)) % count;
    return m_base + (distance < m_grants[index] ? 1 : 0);
}

} // namespace teasellead::forwarding
