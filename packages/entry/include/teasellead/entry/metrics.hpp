#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/// how a caller's request ended
enum class request_outcome
{
    complete,     ///< answered in full
    partial,      ///< answered without some shards; the response is marked as partial
    refused,      ///< refused as `not_run` for another reason than the limit or the key
    over_limit,   ///< refused because the client account exceeded its limit
    unauthorised, ///< refused because the key is missing or invalid
    failed        ///< ended as `may_have_run`, without a result
};

/*!
@brief name of an outcome as used in metrics and reports

@exceptionsafety never throws
*/
[[nodiscard]] std::string_view to_string(request_outcome outcome) noexcept;

/// outcome and measurements of one finished request
struct request_record
{
    std::string m_client_account; ///< empty on routes that need no key
    std::string m_route;          ///< empty if the path is unknown
    request_outcome m_outcome{request_outcome::failed};
    duration m_latency{duration::zero()};
    double m_coverage{0.0}; ///< answered fraction of the key space; 0 without a result
};

/// counts, mean coverage and latency quantiles of one client account or route
struct request_summary
{
    std::string m_name;
    std::uint64_t m_complete{0};
    std::uint64_t m_partial{0};
    std::uint64_t m_refused{0};
    std::uint64_t m_over_limit{0};
    std::uint64_t m_unauthorised{0};
    std::uint64_t m_failed{0};
    double m_mean_coverage{0.0};
    std::chrono::microseconds m_p50{0};
    std::chrono::microseconds m_p90{0};
    std::chrono::microseconds m_p99{0};

    friend bool operator==(const request_summary&, const request_summary&) = default;
};

/*!
@brief counts requests and measures latency and coverage, by client account and by route

Safe for use by several threads. The number of labels is bounded: @ref request_handler names only declared
accounts and routes, and other requests are counted under the empty name.
*/
class request_metrics
{
  public:
    request_metrics();
    request_metrics(const request_metrics&) = delete;
    request_metrics& operator=(const request_metrics&) = delete;
    ~request_metrics();

    /// adds a finished request
    void add(const request_record& record);

    /// summaries by client account, in the order of names
    [[nodiscard]] std::vector<request_summary> by_client_account() const;

    /// summaries by route, in the order of paths
    [[nodiscard]] std::vector<request_summary> by_route() const;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace teasellead
