#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/kernel/ordered_mutex.hpp"
#include "teasellead/routing/detail/bounded_expiring_map.hpp"
#include "teasellead/routing/query_plan.hpp"

namespace teasellead
{

/// identifies a shard; all its replicas run the same requests on the same data
enum class shard_key : std::uint64_t
{
};

/// the key of a plan's target
[[nodiscard]] shard_key key_of(const shard_target& target);

/// how an attempt ended
enum class attempt_end
{
    replied, ///< the upstream replied, so the request didn't crash it
    other    ///< the attempt failed, timed out or was cancelled
};

/// requests with the fingerprint may be sent
struct request_allowed
{
    friend constexpr bool operator==(const request_allowed&, const request_allowed&) noexcept = default;
};

/// requests with the fingerprint are refused
class request_quarantined
{
  public:
    /*!
    @brief creates a refusal

    @param[in] lost_upstreams  number of upstreams that were lost while they ran the request
    @param[in] retry_after     delay until the request is allowed again
    */
    constexpr request_quarantined(std::uint32_t lost_upstreams,
                                  std::chrono::milliseconds retry_after) noexcept
        : m_lost_upstreams(lost_upstreams), m_retry_after(retry_after)
    {
    }

    [[nodiscard]] constexpr std::uint32_t lost_upstreams() const noexcept
    {
        return m_lost_upstreams;
    }

    [[nodiscard]] constexpr std::chrono::milliseconds retry_after() const noexcept
    {
        return m_retry_after;
    }

    friend constexpr bool operator==(const request_quarantined&,
                                     const request_quarantined&) noexcept = default;

  private:
    std::uint32_t m_lost_upstreams;
    std::chrono::milliseconds m_retry_after;
};

/// whether a request may be sent
using quarantine_check = std::variant<request_allowed, request_quarantined>;

/// report of a host to its peers about a fingerprint
class quarantine_report
{
  public:
    /*!
    @brief creates a report

    @param[in] fingerprint     fingerprint of the request
    @param[in] lost_upstreams  number of upstreams that were lost while they ran the request: 0 withdraws a
    suspicion, 1 reports a suspicion, more report a refusal
    @param[in] remaining       how long the report is valid
    */
    quarantine_report(std::string fingerprint, std::uint32_t lost_upstreams,
                      std::chrono::milliseconds remaining)
        : m_fingerprint(std::move(fingerprint)), m_lost_upstreams(lost_upstreams), m_remaining(remaining)
    {
    }

    [[nodiscard]] const std::string& fingerprint() const noexcept
    {
        return m_fingerprint;
    }

    [[nodiscard]] std::uint32_t lost_upstreams() const noexcept
    {
        return m_lost_upstreams;
    }

    [[nodiscard]] std::chrono::milliseconds remaining() const noexcept
    {
        return m_remaining;
    }

    friend bool operator==(const quarantine_report&, const quarantine_report&) = default;

  private:
    std::string m_fingerprint;
    std::uint32_t m_lost_upstreams;
    std::chrono::milliseconds m_remaining;
};

/// time and size limits of @ref quarantine
class quarantine_settings
{
  public:
    /*!
    @brief creates settings

    @param[in] suspicion_term   how long a fingerprint is suspected after the loss of an upstream
    @param[in] refusal_term     how long a fingerprint is refused
    @param[in] max_suspicions   largest number of suspected fingerprints, at least 1
    @param[in] max_refusals     largest number of refused fingerprints, at least 1
    */
    constexpr quarantine_settings(duration suspicion_term, duration refusal_term, std::size_t max_suspicions,
                                  std::size_t max_refusals) noexcept
        : m_suspicion_term(suspicion_term), m_refusal_term(refusal_term), m_max_suspicions(max_suspicions),
          m_max_refusals(max_refusals)
    {
    }

    [[nodiscard]] constexpr duration suspicion_term() const noexcept
    {
        return m_suspicion_term;
    }

    [[nodiscard]] constexpr duration refusal_term() const noexcept
    {
        return m_refusal_term;
    }

    [[nodiscard]] constexpr std::size_t max_suspicions() const noexcept
    {
        return m_max_suspicions;
    }

    [[nodiscard]] constexpr std::size_t max_refusals() const noexcept
    {
        return m_max_refusals;
    }

    friend constexpr bool operator==(const quarantine_settings&,
                                     const quarantine_settings&) noexcept = default;

  private:
    duration m_suspicion_term;
    duration m_refusal_term;
    std::size_t m_max_suspicions;
    std::size_t m_max_refusals;
};

/*!
@brief refuses requests that crash the upstreams that run them

When an upstream is lost, each fingerprint that it was running becomes suspected. A suspected fingerprint is
refused once an upstream is lost that ran an attempt started under suspicion. The other requests that ran on
that upstream don't become suspected then, and suspicions that stem only from losses of the refused
fingerprint are withdrawn. A reply from another replica of the same shard withdraws a suspicion as well. When
a refusal expires, the fingerprint is suspected again, so that the next loss refuses it again.

Suspicions and refusals are stored in separate maps, so that a flood of suspicions can't evict a refusal.
Apart from these, memory is used by the attempts in flight and by unsent reports, whose number is limited to
the sum of both maximum sizes.

Safe for use by several threads.
*/
class quarantine
{
  public:
    explicit quarantine(quarantine_settings settings);

    /*!
    @brief whether a request may be sent; must be called before each attempt

    @param[in] fingerprint  fingerprint of the request
    @param[in] now          current time

    @complexity constant, plus the removal of expired entries
    */
    [[nodiscard]] quarantine_check check(const std::string& fingerprint, time_point now);

    /// records that an attempt is sent to an upstream
    void on_attempt_started(const endpoint& upstream, shard_key shard, const std::string& fingerprint);

    /// records that an attempt ended; for a lost attempt, must be called after @ref on_upstream_lost
    void on_attempt_ended(const endpoint& upstream, shard_key shard, const std::string& fingerprint,
                          attempt_end end, time_point now);

    /*!
    @brief records that an upstream was lost while it ran requests

    Must be called for a connection that broke after bytes were sent, and not for refused connections,
    timeouts, closed idle connections or upstreams that shut down. Further calls for the same loss have no
    effect.

    @param[in] upstream  the upstream
    @param[in] now       current time

    @complexity linear in the requests in flight at the upstream; in the suspicions if a request is refused
    */
    void on_upstream_lost(const endpoint& upstream, time_point now);

    /// applies a peer's report
    void on_peer_report(const quarantine_report& report, time_point now);

    /// returns the reports for peers that were collected since the last call
    [[nodiscard]] std::vector<quarantine_report> take_reports();

    /// all refusals and suspicions, for a peer that has just started
    [[nodiscard]] std::vector<quarantine_report> all_reports(time_point now);

    /// number of suspected fingerprints
    [[nodiscard]] std::size_t suspicions() const;

    /// number of refused fingerprints
    [[nodiscard]] std::size_t refusals() const;

  private:
    using event_number = std::uint64_t;

    struct running_attempt
    {
        std::string m_fingerprint;
        shard_key m_shard;
        event_number m_started;
        bool m_lost; ///< its upstream was lost; @ref on_attempt_ended is still to be called
    };

    struct suspicion
    {
        event_number m_first{0};            ///< attempts that start after this loss or report are suspected
        std::vector<event_number> m_losses; ///< losses that this host detected
        std::vector<shard_key> m_shards;    ///< shards whose replies would withdraw the suspicion
    };

    struct refusal
    {
        std::uint32_t m_lost_upstreams{0};
        std::vector<shard_key> m_shards;
    };

    [[nodiscard]] std::vector<running_attempt> mark_running_lost(const endpoint& upstream);
    [[nodiscard]] bool extend_refusals(const std::vector<running_attempt>& lost, time_point now);
    [[nodiscard]] bool started_under_suspicion(const running_attempt& attempt);
    void add_suspicion(const running_attempt& attempt, time_point now);
    void add_refusal(const std::string& fingerprint, std::uint32_t lost_upstreams, shard_key shard,
                     time_point now);
    void queue_report(const std::string& fingerprint, std::uint32_t lost_upstreams, duration remaining);
    void apply_reported_suspicion(const quarantine_report& report, time_point now);
    void apply_reported_refusal(const quarantine_report& report, time_point now);
    void remove_suspicion(const std::string& fingerprint);
    void withdraw_suspicions_from(const std::vector<event_number>& losses);
    void withdraw_suspicion(const std::string& fingerprint);
    void on_replied(shard_key shard, const std::string& fingerprint);
    void remove_expired(time_point now);

    using mutex = ordered_mutex<lock_level::quarantine>;

    const quarantine_settings m_settings;
    mutable mutex m_mutex;
    event_number m_event{0}; ///< number of the latest loss or report
    std::unordered_map<endpoint, std::vector<running_attempt>> m_running;
    detail::bounded_expiring_map<suspicion> m_suspicions;
    detail::bounded_expiring_map<refusal> m_refusals;
    std::vector<quarantine_report> m_new_reports;
};

} // namespace teasellead
