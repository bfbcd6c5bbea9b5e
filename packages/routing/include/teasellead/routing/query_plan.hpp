#pragma once

#include <memory>
#include <vector>

#include "teasellead/kernel/configuration.hpp"

namespace teasellead
{

/// a shard to which a request sends a sub-request, with the service that owns it
class shard_target
{
  public:
    shard_target(const service& owner, const shard& owned_shard) noexcept
        : m_service(&owner), m_shard(&owned_shard)
    {
    }

    [[nodiscard]] const class service& service() const noexcept
    {
        return *m_service;
    }

    [[nodiscard]] const class shard& shard() const noexcept
    {
        return *m_shard;
    }

    friend bool operator==(const shard_target&, const shard_target&) = default;

  private:
    const class service* m_service;
    const class shard* m_shard;
};

/*!
@brief the shards that a request on a route targets, pinned to one snapshot and one shard map

Keeps the configuration revision from which it was made, so that a change of the configuration doesn't affect
a running request.
*/
class query_plan
{
  public:
    /*!
    @brief plans the requests of a route

    Targets the shards of the route's service and of all services that it depends on, each once.

    @param[in] revision   current configuration
    @param[in] requested  a route of that configuration

    @throw state_error 602 if the route's service or its index isn't declared

    @complexity linear in the number of shards
    */
    query_plan(shared_revision revision, const route& requested);

    [[nodiscard]] const configuration_revision& revision() const noexcept
    {
        return *m_revision;
    }

    [[nodiscard]] const class route& route() const noexcept
    {
        return *m_route;
    }

    [[nodiscard]] snapshot_id snapshot() const noexcept
    {
        return m_snapshot;
    }

    [[nodiscard]] shard_map_id shard_map() const noexcept
    {
        return m_shard_map;
    }

    [[nodiscard]] const std::vector<shard_target>& targets() const noexcept
    {
        return m_targets;
    }

  private:
    shared_revision m_revision;
    const class route* m_route;
    snapshot_id m_snapshot;
    shard_map_id m_shard_map;
    std::vector<shard_target> m_targets;
};

/// a plan that several requests use at the same time
using shared_plan = std::shared_ptr<const query_plan>;

} // namespace teasellead
