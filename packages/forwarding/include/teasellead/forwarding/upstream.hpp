#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "teasellead/forwarding/peer_view.hpp"
#include "teasellead/forwarding/reported_load.hpp"
#include "teasellead/forwarding/upstream_observation.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead::forwarding
{

/// what the directory publishes about one upstream
struct upstream_entry
{
    std::string m_instance; ///< name that a request carries to address this process
    std::string m_service;
    endpoint m_address;
    std::string m_data_centre;
    std::uint32_t m_capacity{1};   ///< number of requests that it processes concurrently
    std::int64_t m_incarnation{0}; ///< distinguishes successive processes with the same instance name
    std::uint64_t m_sequence{0};   ///< increases with each report of the same process
    bool m_is_draining{false};
    std::chrono::milliseconds m_warm_up_left{0}; ///< remaining warm-up time, during which it is cold

    friend bool operator==(const upstream_entry&, const upstream_entry&) = default;
};

/// identifies one process among those that have used the same instance name
struct upstream_process
{
    std::string m_instance;
    std::int64_t m_incarnation{0};

    friend auto operator<=>(const upstream_process&, const upstream_process&) = default;
};

/// why an attempt at an upstream produced no usable reply
enum class attempt_failure
{
    not_connected,  ///< no connection could be established; nothing was sent
    not_sent,       ///< the connection ended before a byte of the request was sent
    shed,           ///< the upstream rejected the request and confirms that it didn't run
    wrong_instance, ///< another process answered at the address
    broken,         ///< the connection ended before the reply was complete
    unusable,       ///< the upstream sent a response that is malformed or not allowed
    failed,         ///< the upstream ran the request and reported an error
    abandoned       ///< the attempt was cancelled after a long time without a reply
};

/// the name of a failure in logs and metrics
[[nodiscard]] std::string_view to_string(attempt_failure failure) noexcept;

/// whether the failure guarantees that the upstream didn't run the request
[[nodiscard]] constexpr bool proves_not_run(attempt_failure failure) noexcept
{
    return failure == attempt_failure::not_connected || failure == attempt_failure::not_sent ||
           failure == attempt_failure::shed || failure == attempt_failure::wrong_instance;
}

/// what was expected of an attempt when it was sent; zero if nothing was
struct expected_attempt
{
    duration m_run{duration::zero()};           ///< time that the upstream runs the request
    duration m_overdue_after{duration::zero()}; ///< time since the start after which the attempt is overdue

    friend bool operator==(const expected_attempt&, const expected_attempt&) = default;
};

/// an attempt of this node that has not ended
struct attempt_in_flight
{
    time_point m_began;
    expected_attempt m_expected;

    friend bool operator==(const attempt_in_flight&, const attempt_in_flight&) = default;
};

/// an upstream's directory entry with the state that this node derives from its own attempts
class upstream
{
  public:
    explicit upstream(upstream_entry entry, time_point now);

    [[nodiscard]] const upstream_entry& entry() const noexcept
    {
        return m_entry;
    }

    [[nodiscard]] upstream_process process() const
    {
        return {m_entry.m_instance, m_entry.m_incarnation};
    }

    /// replaces the entry by a newer one of the same process
    void update(upstream_entry entry, time_point now);

    /// whether it gets no new attempts: it was removed from the directory, its entry says that it is
    /// draining, or its process has announced its shutdown in a reply
    [[nodiscard]] bool is_leaving() const noexcept
    {
        return m_is_removed || m_entry.m_is_draining || m_has_announced_shutdown;
    }

    /// records that its process has announced its shutdown
    void set_announced_shutdown() noexcept
    {
        m_has_announced_shutdown = true;
    }

    /// excludes it from new attempts of this node until the given time, as the upstream has requested
    void pause_until(time_point until) noexcept
    {
        m_paused_until = until;
    }

    [[nodiscard]] time_point paused_until() const noexcept
    {
        return m_paused_until;
    }

    [[nodiscard]] bool is_paused(time_point now) const noexcept
    {
        return now < m_paused_until;
    }

    /// whether another attempt fits into the limit that is raised step by step after a pause
    [[nodiscard]] bool is_below_ramp_up_limit(time_point now) const noexcept;

    /// records that the entry was removed from the directory
    void set_removed() noexcept
    {
        m_is_removed = true;
    }

    [[nodiscard]] bool is_cold(time_point now) const noexcept
    {
        return now < m_cold_until;
    }

    /// sets the end of the warm-up
    void set_cold_until(time_point until) noexcept
    {
        m_cold_until = until;
    }

    /// whether it is excluded from new attempts for some time because of failures (outlier ejection)
    [[nodiscard]] bool is_ejected(time_point now) const noexcept;

    /// number of attempts in flight
    [[nodiscard]] std::uint32_t in_flight() const noexcept
    {
        return static_cast<std::uint32_t>(m_attempts.size());
    }

    /// the attempts in flight, the oldest first
    [[nodiscard]] std::span<const attempt_in_flight> attempts() const noexcept
    {
        return m_attempts;
    }

    /// records the start of an attempt with what is expected of it
    void on_start(time_point now, const expected_attempt& expected = {});

    /// records a successful reply to the attempt that started at `began`
    void on_reply(time_point began, time_point now);

    /// records the load that came with any response
    void on_load(const reported_load& load, time_point now);

    /// records the failure of the attempt that started at `began`, and ejects the upstream if due
    void on_failure(time_point began, attempt_failure failure, time_point now);

    /// notes that the attempt that started at `began` was handed to the network only now
    void on_delayed(time_point began, time_point now) noexcept;

    /// removes the attempt that started at `began`; its cancellation doesn't count as a failure
    void on_cancelled(time_point began);

    /// records how long a request ran, as a multiple of its work under the reported conditions
    void on_work(double ratio) noexcept;

    /// moving average of the ratios passed to @ref on_work; 1 before the first
    [[nodiscard]] double slowness() const noexcept
    {
        return m_slowness;
    }

    /*!
    @brief what this node has recently observed itself, for other nodes

    @return the observation, or nothing while the upstream isn't in trouble and hasn't just recovered
    */
    [[nodiscard]] std::optional<upstream_observation> observation(time_point now) const;

    /*!
    @brief records what another node has observed

    @param[in] reporter  node that made the observation and sent it to this node; empty if it was relayed
    @param[in] observed  the observation
    @param[in] now       current time
    */
    void on_peer_observation(const std::optional<endpoint>& reporter, const upstream_observation& observed,
                             time_point now);

    /// whether the upstream has reported its load to this node
    [[nodiscard]] bool reports_load() const noexcept
    {
        return m_load.has_value();
    }

    /// the load that this node was told itself while that is recent, otherwise that which peers were told
    [[nodiscard]] std::optional<reported_load> current_load(time_point now) const;

    /*!
    @brief fraction of attempts that are expected to fail, 0 to 1

    The own failure ratio is the lower bound. Peers' observations raise it, less so the more attempts of this
    node have ended recently.
    */
    [[nodiscard]] double expected_failure_ratio(time_point now) const noexcept;

    /// moving average of the latency of successful replies; zero before the first
    [[nodiscard]] duration mean_latency() const noexcept
    {
        return m_mean_latency;
    }

    /// moving average of the fraction of attempts that failed
    [[nodiscard]] double failure_ratio() const noexcept
    {
        return m_failure_ratio;
    }

  private:
    /// removes an attempt from those in flight
    void remove_in_flight(time_point began);
    /// counts an attempt that has ended with a reply or a failure
    void count_outcome(time_point now);
    /// what is wrong with it according to the attempts of this node
    [[nodiscard]] upstream_trouble own_trouble(time_point now) const noexcept;
    /// records when it was last seen in trouble
    void update_trouble(time_point now);

    upstream_entry m_entry;
    bool m_is_removed{false};
    bool m_has_announced_shutdown{false};
    time_point m_paused_until{};
    time_point m_cold_until{};
    std::vector<attempt_in_flight> m_attempts;
    duration m_mean_latency{duration::zero()};
    double m_slowness{1.0};
    std::uint32_t m_slowness_replies{0};
    std::optional<reported_load> m_load; ///< the latest that was reported to this node
    time_point m_reported_at{};
    double m_failure_ratio{0.0};
    std::uint32_t m_consecutive_failures{0};
    time_point m_ejected_until{};
    duration m_ejection_time{duration::zero()};
    upstream_trouble m_last_failure{upstream_trouble::none}; ///< kind of the latest failure
    time_point m_last_outcome{};                             ///< when the latest attempt ended
    std::uint32_t m_recent_outcomes{0}; ///< ended attempts without a long pause between them
    time_point m_last_trouble{};        ///< when it was last seen in trouble
    peer_view m_peers;
};

/// an upstream, shared by the directory and the attempts in flight
using shared_upstream = std::shared_ptr<upstream>;

} // namespace teasellead::forwarding
