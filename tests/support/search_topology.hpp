#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/host_view.hpp"
#include "teasellead/routing/upstream_table.hpp"

namespace teasellead::testing
{

/// size and versions of a service for tests: one route "/find", shards "s0", "s1", ...
struct topology_parameters
{
    std::uint32_t m_shards{3};
    std::uint32_t m_replicas{3};
    snapshot_id m_snapshot{1};
    shard_map_id m_shard_map{1};
    upstream_limits m_limits{8, 64, 2};
    std::vector<std::string> m_data_centres{"a"};
    std::vector<std::string> m_taken_out{};
};

/// address of a replica in the topology that @ref make_revision declares
[[nodiscard]] inline endpoint replica_address(std::uint32_t shard, std::uint32_t replica)
{
    constexpr std::uint32_t private_network = 0x0A000000;
    constexpr std::uint16_t port = 9000;
    return endpoint{private_network + shard * 256 + replica, port};
}

/// a shard whose replicas are assigned to the data centres in rotation
[[nodiscard]] inline shard make_shard(const topology_parameters& parameters, std::uint32_t number)
{
    const std::uint32_t from =
        static_cast<std::uint32_t>(std::uint64_t{key_space_size} * number / parameters.m_shards);
    const std::uint32_t to =
        static_cast<std::uint32_t>(std::uint64_t{key_space_size} * (number + 1) / parameters.m_shards);
    std::vector<replica> replicas;
    for (std::uint32_t position = 0; position < parameters.m_replicas; ++position)
    {
        const std::size_t centre = position % parameters.m_data_centres.size();
        replicas.emplace_back(parameters.m_data_centres[centre], replica_address(number, position), false);
    }
    return shard{"s" + std::to_string(number), key_range{from, to}, std::move(replicas)};
}

/// a revision with one service
[[nodiscard]] inline shared_revision make_revision(revision_number number,
                                                   const topology_parameters& parameters)
{
    configuration::declarations declared;
    for (const std::string& name : parameters.m_data_centres)
    {
        const auto& out = parameters.m_taken_out;
        const bool is_out = std::find(out.begin(), out.end(), name) != out.end();
        declared.m_data_centres.emplace_back(
            name, is_out ? data_centre_state::out_of_service : data_centre_state::live, 1);
    }
    declared.m_indexes.emplace_back("index", parameters.m_snapshot, parameters.m_shard_map);
    std::vector<shard> shards;
    for (std::uint32_t position = 0; position < parameters.m_shards; ++position)
    {
        shards.push_back(make_shard(parameters, position));
    }
    declared.m_services.emplace_back("find", "index", std::vector<std::string>{}, parameters.m_limits,
                                     std::move(shards));
    declared.m_routes.emplace_back("/find", "find", true, true, std::chrono::milliseconds{200});
    auto text = std::make_shared<const configuration>(std::move(declared));
    return std::make_shared<const configuration_revision>(number, "", std::move(text));
}

/// the view of a host that is alone in the first data centre
[[nodiscard]] inline std::vector<host_view> single_host_view(const topology_parameters& parameters)
{
    const listed_host self{endpoint{1, 1}, parameters.m_data_centres.front()};
    return {host_view{1, self, {self}}};
}

/// a table for one host
[[nodiscard]] inline upstream_table_settings table_settings(const std::string& selector,
                                                            bool cold_start_limit)
{
    const warm_up_settings warming{1, std::chrono::milliseconds{1}, std::chrono::milliseconds{8}};
    return upstream_table_settings{make_replica_selector(selector), warming, cold_start_limit,
                                   std::chrono::seconds{3}};
}

} // namespace teasellead::testing
