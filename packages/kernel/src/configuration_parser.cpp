#include "teasellead/kernel/configuration_parser.hpp"

#include <limits>
#include <string>
#include <toml++/toml.h>

#include "detail/configuration_validator.hpp"
#include "detail/toml_reader.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

using detail::toml_reader;

constexpr std::int64_t max_count = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t max_number = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t max_deadline_ms = 600'000;

data_centre_state read_state(const toml_reader& reader)
{
    const std::string state = reader.text_or("state", "live");
    if (state == "live")
    {
        return data_centre_state::live;
    }
    if (state == "out")
    {
        return data_centre_state::out_of_service;
    }
    throw config_error(detail::config_error_id::wrong_field, reader.line(),
                       "state \"" + state + "\" is neither \"live\" nor \"out\"");
}

data_centre read_data_centre(const toml_reader& reader)
{
    reader.allow({"name", "state", "limit_weight"});
    const auto weight = static_cast<std::uint32_t>(reader.integer_or("limit_weight", 1, 1, max_count));
    return data_centre{reader.text("name"), read_state(reader), weight};
}

search_index read_index(const toml_reader& reader)
{
    reader.allow({"name", "snapshot", "shard_map"});
    const auto snapshot = static_cast<snapshot_id>(reader.integer("snapshot", 1, max_number));
    const auto shard_map = static_cast<shard_map_id>(reader.integer("shard_map", 1, max_number));
    return search_index{reader.text("name"), snapshot, shard_map};
}

replica read_replica(const toml_reader& reader)
{
    reader.allow({"data_centre", "address", "leaving"});
    return replica{reader.text("data_centre"), reader.address("address"), reader.flag_or("leaving", false)};
}

key_range read_keys(const toml_reader& reader)
{
    const auto bounds = reader.integers("keys", 0, key_space_size);
    if (bounds.size() != 2 || bounds[0] >= bounds[1])
    {
        throw config_error(detail::config_error_id::wrong_field, reader.line(),
                           "keys must be [from, to) with from < to");
    }
    return key_range{static_cast<std::uint32_t>(bounds[0]), static_cast<std::uint32_t>(bounds[1])};
}

shard read_shard(const toml_reader& reader)
{
    reader.allow({"name", "keys", "replicas"});
    std::vector<replica> replicas;
    reader.each("replicas",
                [&replicas](const toml_reader& entry) { replicas.push_back(read_replica(entry)); });
    return shard{reader.text("name"), read_keys(reader), std::move(replicas)};
}

upstream_limits read_limits(const toml_reader& reader)
{
    const auto slots = static_cast<std::uint32_t>(reader.integer_or("slots", 1, 1, max_count));
    const auto connections = static_cast<std::uint32_t>(reader.integer_or("connections", 1, 1, max_count));
    const auto cold = static_cast<std::uint32_t>(reader.integer_or("cold_start_requests", 1, 1, max_count));
    return upstream_limits{slots, connections, cold};
}

service read_service(const toml_reader& reader)
{
    reader.allow({"name", "index", "depends_on", "slots", "connections", "cold_start_requests", "shard"});
    std::vector<shard> shards;
    reader.each("shard", [&shards](const toml_reader& entry) { shards.push_back(read_shard(entry)); });
    return service{reader.text("name"), reader.text("index"), reader.texts("depends_on"), read_limits(reader),
                   std::move(shards)};
}

route read_route(const toml_reader& reader)
{
    reader.allow({"path", "service", "idempotent", "open", "deadline_ms"});
    const std::chrono::milliseconds deadline{reader.integer("deadline_ms", 1, max_deadline_ms)};
    return route{reader.text("path"), reader.text("service"), reader.flag("idempotent"),
                 reader.flag_or("open", false), deadline};
}

client_account read_client_account(const toml_reader& reader)
{
    reader.allow({"name", "rate", "burst", "weight"});
    const auto weight = static_cast<std::uint32_t>(reader.integer_or("weight", 1, 1, max_count));
    return client_account{reader.text("name"), reader.positive("rate"), reader.positive("burst"), weight};
}

key_record read_key(const toml_reader& reader)
{
    reader.allow({"id", "client_account", "salt", "hash"});
    return key_record{reader.text("id"), reader.text("client_account"), reader.hex("salt", 32),
                      reader.hex("hash", 64)};
}

} // namespace

configuration parse_configuration(std::string_view text)
{
    const toml::table document = detail::parse_toml(text);
    const toml_reader root{document, "the text"};
    root.allow({"data_centre", "index", "service", "route", "client_account", "key"});

    configuration::declarations declared;
    detail::declaration_lines lines;
    const auto read_all = [&root](std::string_view field, auto& values, auto& value_lines, auto read_one)
    {
        root.each(field,
                  [&](const toml_reader& entry)
                  {
                      values.push_back(read_one(entry));
                      value_lines.push_back(entry.line());
                  });
    };
    read_all("data_centre", declared.m_data_centres, lines.m_data_centres, read_data_centre);
    read_all("index", declared.m_indexes, lines.m_indexes, read_index);
    read_all("service", declared.m_services, lines.m_services, read_service);
    read_all("route", declared.m_routes, lines.m_routes, read_route);
    read_all("client_account", declared.m_client_accounts, lines.m_client_accounts, read_client_account);
    read_all("key", declared.m_keys, lines.m_keys, read_key);

    configuration result{std::move(declared)};
    detail::validate(result, lines);
    return result;
}

} // namespace teasellead
