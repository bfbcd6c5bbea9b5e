#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// whether running a request more than once has the same effect as running it once
enum class repeatability
{
    idempotent,
    non_idempotent
};

/// target of a route whose requests all go to one service
struct one_service
{
    std::string m_service;

    friend bool operator==(const one_service&, const one_service&) = default;
};

/// a service with its weight in a traffic split
struct weighted_service
{
    std::string m_service;
    double m_weight{0.0};

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// target of a route whose requests are split between services in proportion to their weights
struct traffic_split
{
    std::vector<weighted_service> m_services;

    friend bool operator==(const traffic_split&, const traffic_split&) = default;
};

/// target of a route whose requests go to every shard; the response holds the greatest records of their
/// replies
struct scatter
{
    std::vector<std::string> m_shards; ///< names of the services
    std::size_t m_max_records{0};      ///< maximum number of records of a response
    double m_min_coverage{1.0};        ///< fraction of the shards that must reply for a successful response

    friend bool operator==(const scatter&, const scatter&) = default;
};

/// the services to which the requests of a route go
using route_target = std::variant<one_service, traffic_split, scatter>;

/// how requests with a given host name and path prefix are forwarded
struct route
{
    std::string m_name;
    std::string m_hostname; ///< in lower case
    std::string m_prefix;
    repeatability m_repeatability{repeatability::non_idempotent};
    std::chrono::milliseconds m_timeout{0};   ///< maximum time to the response
    std::chrono::milliseconds m_objective{0}; ///< latency objective: desired time to the response
    std::uint32_t m_max_attempts{1}; ///< maximum number of upstreams of a service that get the request
    std::uint32_t m_priority{0};     ///< 0 is the most urgent
    bool m_is_public{false};         ///< whether no key is needed
    route_target m_target;

    friend bool operator==(const route&, const route&) = default;
};

/// settings of a service, a group of interchangeable upstreams
struct service
{
    std::string m_name;
    std::uint32_t m_max_connections{0}; ///< connections of all nodes together to one upstream; 0 for no limit
    double m_cold_rate{0.0};            ///< limit of requests a second to a cold upstream; 0 for no limit

    friend bool operator==(const service&, const service&) = default;
};

/// a client account with its keys and its rate limit, which applies to all nodes together
struct account
{
    std::string m_name;
    double m_rate{0.0};  ///< requests a second; 0 for no limit
    double m_burst{0.0}; ///< number of requests that may exceed the rate at once
    std::vector<std::string> m_keys;
    std::optional<std::uint32_t> m_priority{}; ///< takes precedence over the route's priority

    friend bool operator==(const account&, const account&) = default;
};

/// limits of the size of a caller's request and of the time to receive it
struct caller_limits
{
    std::uint32_t m_max_header_bytes{16'384};
    std::uint64_t m_max_body_bytes{1'048'576};
    std::chrono::milliseconds m_header_timeout{10'000};
    std::chrono::milliseconds m_idle_timeout{60'000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// one version of the configuration that an operator publishes
struct declarations
{
    std::uint64_t m_version{0};
    std::vector<route> m_routes;
    std::vector<service> m_services;
    std::vector<account> m_accounts; ///< if empty, no request needs a key
    caller_limits m_limits;

    friend bool operator==(const declarations&, const declarations&) = default;
};

} // namespace teasellead::forwarding
