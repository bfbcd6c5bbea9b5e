#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "teasellead/entry/metrics.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/// warm-up state of an upstream as a node reports it
enum class reported_state
{
    cold,    ///< the node has no replies of it: it has just started, or the node sends it no requests
    warming, ///< receives a growing share of requests
    warm     ///< receives its full share of requests
};

/// an upstream as a node reports it
struct reported_upstream
{
    endpoint m_upstream;
    reported_state m_state{reported_state::cold};
    std::uint64_t m_in_flight{0}; ///< requests of this node in progress at the upstream
    bool m_draining{false};
    std::vector<std::string> m_services; ///< services of which it serves a shard

    friend bool operator==(const reported_upstream&, const reported_upstream&) = default;
};

/// a configuration revision that a node rejected
struct reported_rejection
{
    std::uint64_t m_revision{0};
    std::string m_reason;

    friend bool operator==(const reported_rejection&, const reported_rejection&) = default;
};

/// the contents of one node's `/report`; counts are since the start of the node
struct node_report
{
    endpoint m_node; ///< operator address of the node
    bool m_ready{false};
    bool m_leaving{false};
    std::uint64_t m_revision{0};
    std::chrono::seconds m_revision_age{0}; ///< time since the platform confirmed the revision
    std::optional<reported_rejection> m_rejection;
    std::vector<request_summary> m_routes;
    std::vector<request_summary> m_client_accounts;
    std::vector<reported_upstream> m_upstreams;

    friend bool operator==(const node_report&, const node_report&) = default;
};

/*!
@brief parses the JSON of a node's `/report`

@param[in] node  operator address of the node
@param[in] text  the JSON

@return the report

@throw protocol_error 540 if the text isn't a report; the message names the node
*/
[[nodiscard]] node_report parse_node_report(const endpoint& node, std::string_view text);

} // namespace teasellead
