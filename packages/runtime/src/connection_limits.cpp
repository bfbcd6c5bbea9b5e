#include "connection_limits.hpp"

#include <algorithm>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead::runtime
{

namespace
{

// for each node, if a service declares no limit
constexpr std::size_t default_connections = 64;

forwarding::node_places places_of(const std::vector<node_location>& nodes)
{
    std::vector<forwarding::connection_end> ends;
    ends.reserve(nodes.size());
    for (const node_location& each : nodes)
    {
        ends.push_back({each.m_address, each.m_data_centre});
    }
    return forwarding::node_places{std::move(ends)};
}

std::uint64_t key_of(const endpoint& address)
{
    return rendezvous_score(address.address(), address.port());
}

} // namespace

connection_limits::connection_limits(const node_location& self,
                                     const forwarding::upstream_directory& directory)
    : m_self(self), m_directory(directory), m_nodes{self}, m_places(places_of(m_nodes))
{
}

bool connection_limits::on_members(std::vector<node_location> nodes, bool is_settled)
{
    if (nodes == m_nodes && is_settled == m_is_settled)
    {
        return false;
    }
    m_nodes = std::move(nodes);
    m_places = places_of(m_nodes);
    m_is_settled = is_settled;
    clear();
    return true;
}

void connection_limits::on_table(forwarding::shared_route_table table)
{
    m_table = std::move(table);
    clear();
}

std::size_t connection_limits::limit(const forwarding::upstream& target, time_point now)
{
    if (m_directory_version != m_directory.version())
    {
        m_directory_version = m_directory.version();
        m_known.clear();
    }
    const auto known = m_known.find(&target);
    return known != m_known.end() ? known->second : find_limit(target, now);
}

std::size_t connection_limits::find_limit(const forwarding::upstream& target, time_point now)
{
    const forwarding::service* const declared =
        m_table ? m_table->find_service(target.entry().m_service) : nullptr;
    if (declared == nullptr || declared->m_max_connections == 0)
    {
        return default_connections;
    }
    const service_shares& shares = shares_of(*declared);
    const auto found =
        std::find_if(shares.m_upstreams.begin(), shares.m_upstreams.end(),
                     [&target](const upstream_share& each) { return each.m_upstream == &target; });
    if (found != shares.m_upstreams.end() && found->m_connections > 0)
    {
        m_known.emplace(&target, found->m_connections);
        return found->m_connections;
    }
    return substitute(shares, now) == &target ? 1 : 0;
}

void connection_limits::clear()
{
    m_shares.clear();
    m_known.clear();
}

const connection_limits::service_shares& connection_limits::shares_of(const forwarding::service& declared)
{
    service_shares& shares = m_shares[declared.m_name];
    const std::uint64_t version = m_directory.version_of(declared.m_name);
    if (shares.m_version != version)
    {
        shares = compute(declared);
        shares.m_version = version;
    }
    return shares;
}

connection_limits::service_shares connection_limits::compute(const forwarding::service& declared) const
{
    service_shares result;
    // only what the directory says, since an upstream's own announcements don't reach all nodes
    for (const forwarding::shared_upstream& each : m_directory.upstreams_of(declared.m_name))
    {
        const bool is_evacuated = m_directory.evacuated().count(each->entry().m_data_centre) > 0;
        if (!each->entry().m_is_draining && !is_evacuated)
        {
            result.m_upstreams.push_back({each.get(), 0});
        }
    }
    // a process that is started again at the same address has the same place
    std::sort(result.m_upstreams.begin(), result.m_upstreams.end(),
              [](const upstream_share& lhs, const upstream_share& rhs)
              { return lhs.m_upstream->entry().m_address < rhs.m_upstream->entry().m_address; });
    std::vector<forwarding::connection_end> ends;
    ends.reserve(result.m_upstreams.size());
    for (const upstream_share& each : result.m_upstreams)
    {
        const forwarding::upstream_entry& entry = each.m_upstream->entry();
        ends.push_back({entry.m_address, data_centre_id_of(entry.m_data_centre)});
    }
    const forwarding::connection_shares divided{m_places, declared.m_name, declared.m_max_connections, ends};
    result.m_is_starved = divided.is_starved();
    const auto place = m_places.find({m_self.m_address, m_self.m_data_centre});
    for (std::size_t i = 0; place && i < result.m_upstreams.size(); ++i)
    {
        result.m_upstreams[i].m_connections = divided.share(*place, i);
    }
    if (!m_is_settled)
    {
        reduce_unsettled(result);
    }
    return result;
}

void connection_limits::reduce_unsettled(service_shares& shares) const
{
    const std::size_t used = (shares.m_upstreams.size() * 2 + 2) / 3;
    std::vector<upstream_share*> order;
    for (upstream_share& each : shares.m_upstreams)
    {
        each.m_connections = std::min<std::size_t>(each.m_connections, 1);
        order.push_back(&each);
    }
    std::sort(order.begin(), order.end(),
              [this](const upstream_share* lhs, const upstream_share* rhs)
              { return score_of(*lhs->m_upstream) > score_of(*rhs->m_upstream); });
    for (std::size_t i = used; i < order.size(); ++i)
    {
        order[i]->m_connections = 0;
    }
}

std::uint64_t connection_limits::score_of(const forwarding::upstream& target) const
{
    return rendezvous_score(key_of(m_self.m_address), key_of(target.entry().m_address));
}

bool connection_limits::is_usable(const forwarding::upstream& candidate, time_point now) const
{
    return m_directory.may_receive(candidate) && !candidate.is_ejected(now) && !candidate.is_paused(now);
}

const forwarding::upstream* connection_limits::substitute(const service_shares& shares, time_point now) const
{
    const forwarding::upstream* result = nullptr;
    std::uint64_t best_score = 0;
    for (const upstream_share& each : shares.m_upstreams)
    {
        if (!is_usable(*each.m_upstream, now))
        {
            continue;
        }
        if (each.m_connections > 0)
        {
            return nullptr;
        }
        const std::uint64_t score = score_of(*each.m_upstream);
        if (result == nullptr || score > best_score)
        {
            result = each.m_upstream;
            best_score = score;
        }
    }
    return result;
}

std::size_t connection_limits::allowed() const noexcept
{
    std::size_t result = 0;
    for (const auto& [service, shares] : m_shares)
    {
        for (const upstream_share& each : shares.m_upstreams)
        {
            result += each.m_connections;
        }
    }
    return result;
}

std::size_t connection_limits::starved_services() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_shares.begin(), m_shares.end(),
                                                  [](const auto& each) { return each.second.m_is_starved; }));
}

} // namespace teasellead::runtime
