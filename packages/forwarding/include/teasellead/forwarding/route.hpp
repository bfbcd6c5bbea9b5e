#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// whether a request may run more than once
enum class repeatability
{
    idempotent,
    non_idempotent
};

/// all requests of a route go to one service
struct one_service
{
    std::string m_service;

    friend bool operator==(const one_service&, const one_service&) = default;
};

/// part of a route's requests that goes to one service
struct weighted_service
{
    std::string m_service;
    double m_weight{0.0};

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// requests are divided between services in proportion to their weights
struct traffic_division
{
    std::vector<weighted_service> m_parts;

    friend bool operator==(const traffic_division&, const traffic_division&) = default;
};

/// each request goes to every shard, and the greatest records of their parts are the answer
struct scatter
{
    std::vector<std::string> m_shards;
    std::size_t m_top{0};         ///< records of an answer
    double m_least_coverage{1.0}; ///< smallest part of the shards that makes a success

    friend bool operator==(const scatter&, const scatter&) = default;
};

/// where the requests of a route go
using route_target = std::variant<one_service, traffic_division, scatter>;

/// what a configuration says of the requests with one host name and path prefix
struct route
{
    std::string m_name;
    std::string m_hostname; ///< in lower case
    std::string m_prefix;
    repeatability m_repeatability{repeatability::non_idempotent};
    std::chrono::milliseconds m_timeout{0};   ///< longest time to an answer
    std::chrono::milliseconds m_objective{0}; ///< time within which an answer is worth most
    std::uint32_t m_max_attempts{1};          ///< upstreams that one request may be sent to, for each shard
    std::uint32_t m_priority{0};              ///< 0 is the most urgent
    bool m_is_public{false};                  ///< whether no key is needed
    route_target m_target;

    friend bool operator==(const route&, const route&) = default;
};

/// what a configuration says of a group of equal upstreams
struct service
{
    std::string m_name;
    std::uint32_t m_max_connections{0}; ///< to one upstream, from all nodes together; 0 for no limit
    double m_cold_rate{0.0};            ///< requests a second that a cold upstream bears; 0 for no limit

    friend bool operator==(const service&, const service&) = default;
};

/// a holder of keys with a limit over all nodes
struct account
{
    std::string m_name;
    double m_rate{0.0};  ///< requests a second; 0 for no limit
    double m_burst{0.0}; ///< requests at once on top of the rate
    std::vector<std::string> m_keys;

    friend bool operator==(const account&, const account&) = default;
};

/// what callers may send and how long they may take for it
struct caller_limits
{
    std::uint32_t m_max_header_bytes{16'384};
    std::uint64_t m_max_body_bytes{1'048'576};
    std::chrono::milliseconds m_header_timeout{10'000};
    std::chrono::milliseconds m_idle_timeout{60'000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// one revision of everything that an operator declares
struct declarations
{
    std::uint64_t m_version{0};
    std::vector<route> m_routes;
    std::vector<service> m_services;
    std::vector<account> m_accounts; ///< if there are none, no request needs a key
    caller_limits m_limits;

    friend bool operator==(const declarations&, const declarations&) = default;
};

} // namespace teasellead::forwarding
