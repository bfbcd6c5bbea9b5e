#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teasellead/forwarding/upstream.hpp"
#include "teasellead/kernel/verdict.hpp"

namespace teasellead::forwarding
{

/// a header field of a reply, forwarded unchanged
struct header_field
{
    std::string m_name;
    std::string m_value;

    friend bool operator==(const header_field&, const header_field&) = default;
};

/// a complete reply of an upstream that ran the request
struct upstream_reply
{
    unsigned m_status{0};
    std::vector<header_field> m_fields; ///< fields that are forwarded to the caller
    std::string m_body;
    std::string m_signature; ///< value with which the caller verifies that the upstream made the reply

    [[nodiscard]] bool is_success() const noexcept
    {
        return m_status >= 200 && m_status < 300;
    }

    friend bool operator==(const upstream_reply&, const upstream_reply&) = default;
};

/// result of a request to one service: the reply of an upstream
struct forwarded
{
    upstream_reply m_reply;

    friend bool operator==(const forwarded&, const forwarded&) = default;
};

/// result of a scatter: the replies of the shards, to be merged into one response
struct gathered
{
    std::vector<upstream_reply> m_shard_replies;
    std::size_t m_missing{0};     ///< number of shards without a reply
    std::string m_missing_shards; ///< these shards with the reasons, for logs
    std::size_t m_max_records{0}; ///< maximum number of records of the response

    friend bool operator==(const gathered&, const gathered&) = default;
};

/// why a request ends without an upstream's reply
enum class failure_reason
{
    no_upstream,      ///< no upstream can be used
    unlikely_whole,   ///< the search would hardly reach its coverage, so nothing was sent
    overloaded,       ///< no upstream has free capacity
    upstreams_failed, ///< all attempts failed
    upstreams_paused, ///< the upstreams have requested a pause
    isolated, ///< requests with this fingerprint are suspected of crashing upstreams and run one at a time
    crashes_upstreams, ///< requests with this fingerprint have crashed upstreams and are refused
    timed_out,         ///< the deadline has passed
    stopping           ///< the node stops
};

/// the name of a reason in logs and metrics
[[nodiscard]] std::string_view to_string(failure_reason reason) noexcept;

/// result of a request without a usable reply
struct unanswered
{
    failure_reason m_reason{failure_reason::upstreams_failed};
    verdict m_verdict{verdict::may_have_run};
    std::chrono::milliseconds m_retry_after{0}; ///< meaningful only if the request hasn't run

    friend bool operator==(const unanswered&, const unanswered&) = default;
};

/// the result of a request
using dispatch_result = std::variant<forwarded, gathered, unanswered>;

} // namespace teasellead::forwarding
