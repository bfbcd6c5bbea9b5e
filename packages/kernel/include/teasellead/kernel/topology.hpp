#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/// number of an index version; replies from different snapshots are never merged into one response
using snapshot_id = std::uint64_t;

/// number of a partitioning of the key space into shards
using shard_map_id = std::uint64_t;

/// size of the key space, which the shards of each service cover without overlap
inline constexpr std::uint32_t key_space_size = 65536;

/// whether a data centre is in service, as set by operators
enum class data_centre_state
{
    live,          ///< receives requests
    out_of_service ///< receives no new requests
};

/// a data centre as declared in the services text
class data_centre
{
  public:
    /*!
    @brief creates a data centre

    @param[in] name          unique name
    @param[in] state         whether it receives new requests
    @param[in] limit_weight  share of the client accounts' limits, relative to the other data centres
    */
    data_centre(std::string name, data_centre_state state, std::uint32_t limit_weight)
        : m_name(std::move(name)), m_state(state), m_limit_weight(limit_weight)
    {
    }

    [[nodiscard]] const std::string& name() const noexcept
    {
        return m_name;
    }

    [[nodiscard]] data_centre_state state() const noexcept
    {
        return m_state;
    }

    [[nodiscard]] std::uint32_t limit_weight() const noexcept
    {
        return m_limit_weight;
    }

    friend bool operator==(const data_centre&, const data_centre&) = default;

  private:
    std::string m_name;
    data_centre_state m_state;
    std::uint32_t m_limit_weight;
};

/// an index whose versions are published as snapshots
class search_index
{
  public:
    /*!
    @brief creates an index

    @param[in] name       unique name
    @param[in] snapshot   version that new requests use
    @param[in] shard_map  partitioning of the key space that new requests use
    */
    search_index(std::string name, snapshot_id snapshot, shard_map_id shard_map)
        : m_name(std::move(name)), m_snapshot(snapshot), m_shard_map(shard_map)
    {
    }

    [[nodiscard]] const std::string& name() const noexcept
    {
        return m_name;
    }

    [[nodiscard]] snapshot_id snapshot() const noexcept
    {
        return m_snapshot;
    }

    [[nodiscard]] shard_map_id shard_map() const noexcept
    {
        return m_shard_map;
    }

    friend bool operator==(const search_index&, const search_index&) = default;

  private:
    std::string m_name;
    snapshot_id m_snapshot;
    shard_map_id m_shard_map;
};

/// a half-open range [from, to) of the key space
class key_range
{
  public:
    constexpr key_range(std::uint32_t from, std::uint32_t to) noexcept : m_from(from), m_to(to)
    {
    }

    [[nodiscard]] constexpr std::uint32_t from() const noexcept
    {
        return m_from;
    }

    [[nodiscard]] constexpr std::uint32_t to() const noexcept
    {
        return m_to;
    }

    /// number of keys in the range
    [[nodiscard]] constexpr std::uint32_t size() const noexcept
    {
        return m_to - m_from;
    }

    friend constexpr auto operator<=>(const key_range&, const key_range&) noexcept = default;

  private:
    std::uint32_t m_from;
    std::uint32_t m_to;
};

/// one upstream that holds a shard
class replica
{
  public:
    /*!
    @brief creates a replica

    @param[in] data_centre_name  data centre of the upstream
    @param[in] upstream          address of the upstream
    @param[in] leaving           whether it is being removed and receives no new requests
    */
    replica(std::string data_centre_name, endpoint upstream, bool leaving)
        : m_data_centre(std::move(data_centre_name)), m_upstream(upstream), m_leaving(leaving)
    {
    }

    [[nodiscard]] const std::string& data_centre() const noexcept
    {
        return m_data_centre;
    }

    [[nodiscard]] const endpoint& upstream() const noexcept
    {
        return m_upstream;
    }

    [[nodiscard]] bool leaving() const noexcept
    {
        return m_leaving;
    }

    friend bool operator==(const replica&, const replica&) = default;

  private:
    std::string m_data_centre;
    endpoint m_upstream;
    bool m_leaving;
};

/// a key range of a service with the upstreams that hold it
class shard
{
  public:
    shard(std::string name, key_range keys, std::vector<replica> replicas)
        : m_name(std::move(name)), m_keys(keys), m_replicas(std::move(replicas))
    {
    }

    [[nodiscard]] const std::string& name() const noexcept
    {
        return m_name;
    }

    [[nodiscard]] const key_range& keys() const noexcept
    {
        return m_keys;
    }

    [[nodiscard]] const std::vector<replica>& replicas() const noexcept
    {
        return m_replicas;
    }

    friend bool operator==(const shard&, const shard&) = default;

  private:
    std::string m_name;
    key_range m_keys;
    std::vector<replica> m_replicas;
};

/// limits for each upstream of a service, which apply to all hosts together
class upstream_limits
{
  public:
    /*!
    @brief creates limits

    @param[in] slots                largest number of requests that an upstream processes concurrently
    @param[in] connections          largest number of connections that an upstream accepts
    @param[in] cold_start_requests  largest number of concurrent requests while an upstream warms up
    */
    constexpr upstream_limits(std::uint32_t slots, std::uint32_t connections,
                              std::uint32_t cold_start_requests) noexcept
        : m_slots(slots), m_connections(connections), m_cold_start_requests(cold_start_requests)
    {
    }

    [[nodiscard]] constexpr std::uint32_t slots() const noexcept
    {
        return m_slots;
    }

    [[nodiscard]] constexpr std::uint32_t connections() const noexcept
    {
        return m_connections;
    }

    [[nodiscard]] constexpr std::uint32_t cold_start_requests() const noexcept
    {
        return m_cold_start_requests;
    }

    friend constexpr bool operator==(const upstream_limits&, const upstream_limits&) noexcept = default;

  private:
    std::uint32_t m_slots;
    std::uint32_t m_connections;
    std::uint32_t m_cold_start_requests;
};

/// a searchable service with its own shards and the services that it depends on
class service
{
  public:
    service(std::string name, std::string index, std::vector<std::string> depends_on, upstream_limits limits,
            std::vector<shard> shards)
        : m_name(std::move(name)), m_index(std::move(index)), m_depends_on(std::move(depends_on)),
          m_limits(limits), m_shards(std::move(shards))
    {
    }

    [[nodiscard]] const std::string& name() const noexcept
    {
        return m_name;
    }

    /// name of the index that the service reads
    [[nodiscard]] const std::string& index() const noexcept
    {
        return m_index;
    }

    [[nodiscard]] const std::vector<std::string>& depends_on() const noexcept
    {
        return m_depends_on;
    }

    [[nodiscard]] const upstream_limits& limits() const noexcept
    {
        return m_limits;
    }

    [[nodiscard]] const std::vector<shard>& shards() const noexcept
    {
        return m_shards;
    }

    friend bool operator==(const service&, const service&) = default;

  private:
    std::string m_name;
    std::string m_index;
    std::vector<std::string> m_depends_on;
    upstream_limits m_limits;
    std::vector<shard> m_shards;
};

} // namespace teasellead
