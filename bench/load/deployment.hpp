#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bench
{

/// upstreams of one data centre that share behaviour
struct upstream_group
{
    std::string m_name;
    std::vector<std::string> m_addresses; ///< without the network prefix that replaces `NET`
    std::uint32_t m_slots{1};
};

/// a client account as the load program uses it
struct load_account
{
    std::string m_name;
    std::string m_key;
    double m_rate{0.0};
    double m_burst{0.0};
};

/// upstreams that a load run starts and routes that it requests
struct deployment
{
    std::string m_text; ///< services text with `NET`
    std::vector<std::string> m_data_centres;
    std::vector<upstream_group> m_upstreams;
    std::vector<load_account> m_accounts;
    std::vector<std::string> m_paths;   ///< idempotent routes
    std::vector<std::size_t> m_fan_out; ///< shards of each of the routes
};

/*!
@brief creates a deployment by name

@param[in] name  `nets-office` or `consortium` (the example texts), or `wide`: 63 shards with 3 replicas each

@throw std::runtime_error if the name is unknown
*/
[[nodiscard]] deployment make_deployment(const std::string& name);

/// copy of the text with the state of one data centre set to out of service
[[nodiscard]] std::string take_out(const std::string& text, const std::string& data_centre);

} // namespace bench
