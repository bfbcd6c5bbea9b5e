#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/runtime/decision_log.hpp"
#include "teasellead/runtime/histogram.hpp"

namespace teasellead::runtime
{

/// number of digits to which a request's fingerprint is shortened in a log line
inline constexpr std::size_t fingerprint_digits = 16;

/// one metric without labels in the Prometheus text exposition format; the kind is `counter` or `gauge`
[[nodiscard]] std::string exposition_line(std::string_view name, std::string_view kind, std::uint64_t value);

/// log entry of one finished request
struct request_entry
{
    std::string_view m_request_id;
    std::string_view m_fingerprint; ///< empty if the request wasn't admitted
    std::string_view m_route;
    std::string_view m_account;
    std::uint32_t m_priority{0}; ///< 0 is the most urgent, and stands for a request that wasn't admitted
    std::string_view m_outcome;  ///< `forwarded`, `gathered`, `refused`, `failed` or `caller_gone`
    std::string_view m_reason;   ///< empty if the request was served
    unsigned m_status{0};        ///< of the response; 0 if none was sent
    duration m_latency{duration::zero()};    ///< time since the request was received completely
    duration m_limit_wait{duration::zero()}; ///< portion of the latency spent waiting for the account's limit
    std::size_t m_attempts{0};
    std::size_t m_hedges{0}; ///< attempts beside another one at the same service
    duration m_longest_hand_over{
        duration::zero()};                    ///< longest time from the plan of an attempt to the network
    std::size_t m_missing{0};                 ///< number of shards without a reply
    std::string_view m_missing_shards;        ///< those shards, each with the reason
    std::uint64_t m_version{0};               ///< version of the configuration that was applied
    duration m_version_age{duration::zero()}; ///< time since the configuration was last confirmed as current
};

/*!
@brief logs finished requests with a limited rate of lines and counts all of them for the metrics

Requests that weren't served have a separate rate limit, so that served requests can't suppress their lines.
*/
class request_log
{
  public:
    request_log(decision_log& log, const monotonic_clock& clock) : m_log(log), m_clock(clock)
    {
    }

    /// records a finished request
    void add(const request_entry& entry);

    /*!
    @brief counts a finished attempt

    @param[in] service  service of the upstream
    @param[in] result   `replied`, or the name of a failure
    */
    void count_attempt(std::string_view service, std::string_view result);

    /// counts a load report that couldn't be read; logs it once for each upstream and reason
    void count_unreadable_load(const std::string& instance, std::string_view reason);

    /// writes another line, subject to the rate limit of its event
    void write(log_level level, std::string_view event, const std::vector<log_field>& fields);

    /// counters and latency histograms in the Prometheus text exposition format
    [[nodiscard]] std::string exposition() const;

  private:
    struct line_rate
    {
        double m_tokens{0.0};
        time_point m_refilled_at{};
        std::uint64_t m_suppressed{0};
        bool m_is_new{true};
    };

    struct route_counts
    {
        std::map<std::string, std::uint64_t> m_outcomes; ///< by outcome and reason
        histogram m_latencies;
    };

    [[nodiscard]] std::string attempts_exposition() const;
    [[nodiscard]] bool may_write(std::string_view kind, double lines_per_s);

    decision_log& m_log;
    const monotonic_clock& m_clock;
    std::map<std::string, line_rate, std::less<>> m_rates;
    std::map<std::string, route_counts, std::less<>> m_routes;
    /// number of finished attempts by service, then by result
    std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>, std::less<>> m_attempts;
    std::map<std::string, std::uint64_t, std::less<>> m_unreadable_loads; ///< numbers by reason
    std::set<std::string> m_logged_loads; ///< instances and reasons of which a line was written
};

} // namespace teasellead::runtime
