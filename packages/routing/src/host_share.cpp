#include "teasellead/routing/host_share.hpp"

#include <algorithm>
#include <compare>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

/// order of the hosts for one upstream: its own data centre first, then by rendezvous score
struct rank_key
{
    bool m_is_local;
    std::uint64_t m_score;
    endpoint m_peer;

    friend constexpr auto operator<=>(const rank_key&, const rank_key&) noexcept = default;
};

rank_key key_of(const replica& holder, const listed_host& candidate)
{
    return rank_key{candidate.data_centre() == holder.data_centre(),
                    rendezvous_score(holder.upstream().packed(), candidate.peer().packed()),
                    candidate.peer()};
}

/// number of hosts that rank before self
std::uint32_t rank_of_self(const replica& holder, const host_view& view)
{
    const rank_key own = key_of(holder, view.self());
    const auto ranks_before = [&](const listed_host& candidate)
    {
        return key_of(holder, candidate) > own;
    };
    return static_cast<std::uint32_t>(std::count_if(view.hosts().begin(), view.hosts().end(), ranks_before));
}

std::uint32_t local_hosts(const replica& holder, const host_view& view)
{
    const auto is_local = [&holder](const listed_host& candidate)
    {
        return candidate.data_centre() == holder.data_centre();
    };
    return static_cast<std::uint32_t>(std::count_if(view.hosts().begin(), view.hosts().end(), is_local));
}

std::uint32_t integer_share(std::uint32_t total, std::uint32_t rank, std::uint32_t parts)
{
    return total / parts + (rank < total % parts ? 1 : 0);
}

std::uint32_t slot_share(const replica& holder, const upstream_limits& limits, const host_view& view)
{
    const std::uint32_t locals = local_hosts(holder, view);
    if (holder.data_centre() != view.self().data_centre() || locals == 0)
    {
        return 1;
    }
    return (limits.slots() + locals - 1) / locals;
}

} // namespace

host_share share_of(const replica& holder, const upstream_limits& limits, const host_view& view)
{
    const bool is_listed =
        std::find(view.hosts().begin(), view.hosts().end(), view.self()) != view.hosts().end();
    if (!is_listed)
    {
        return host_share{0, 0, 0, 0};
    }
    const auto hosts = static_cast<std::uint32_t>(view.hosts().size());
    const std::uint32_t rank = rank_of_self(holder, view);
    const std::uint32_t connections = integer_share(limits.connections(), rank, hosts);
    const std::uint32_t slots = std::min(slot_share(holder, limits, view), connections);
    const std::uint32_t cold = rank == 0 ? limits.cold_start_requests() : 0;
    return host_share{connections, slots, std::min(cold, connections), limits.slots()};
}

const listed_host& cold_owner_of(const replica& holder, const host_view& view)
{
    const auto ranks_after = [&holder](const listed_host& lhs, const listed_host& rhs)
    {
        return key_of(holder, lhs) < key_of(holder, rhs);
    };
    return *std::max_element(view.hosts().begin(), view.hosts().end(), ranks_after);
}

host_share memberwise_min(const host_share& lhs, const host_share& rhs) noexcept
{
    return host_share{std::min(lhs.connections(), rhs.connections()), std::min(lhs.slots(), rhs.slots()),
                      std::min(lhs.cold_requests(), rhs.cold_requests()),
                      std::min(lhs.warm_requests(), rhs.warm_requests())};
}

} // namespace teasellead
