#pragma once

#include <chrono>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead
{

/// up to when a node's items are known to be complete
struct confirmation_times
{
    /// no change is missing that was published before; holds even if the source withheld changes for a while
    time_point m_confirmed_at{};
    /// the same for a source that reports changes at once
    time_point m_current_at{};

    friend bool operator==(const confirmation_times&, const confirmation_times&) = default;
};

/*!
@brief decides how long calls to the source of published items wait and when they are repeated

The source holds a watch until something changes. A watch that follows a change is held for a shorter time if
the node's items would become staler than its followers accept. The first watch after a
start has a short time limit: the node has just found its peers to be outdated. Does no I/O.
*/
class source_call_schedule
{
  public:
    /*!
    @param[in] watch_time     maximum time for which the source holds a watch
    @param[in] silent_time    longest time for which a source withholds changes before it drops its history
    @param[in] max_staleness  time since the items were current that followers of this node accept
    */
    source_call_schedule(std::chrono::milliseconds watch_time, std::chrono::milliseconds silent_time,
                         std::chrono::milliseconds max_staleness) noexcept
        : m_watch_time(watch_time), m_silent_time(silent_time), m_max_staleness(max_staleness)
    {
    }

    /// longest time in which a node that starts to read is up to date, even if its first call is lost
    [[nodiscard]] static constexpr duration catch_up_time() noexcept
    {
        return tick_allowance + first_response_timeout + min_wait + 2 * first_retry_delay +
               response_allowance;
    }

    /*!
    @brief records that the node starts to read

    @param[in] begins_with_watch  whether the first call is a watch, not the request for a listing
    */
    void on_start(bool begins_with_watch) noexcept
    {
        m_is_first = begins_with_watch;
        m_pause = {};
    }

    /// how long the source is to hold a watch that is sent now
    [[nodiscard]] std::chrono::milliseconds watch_wait(time_point now) const noexcept;

    /*!
    @brief time without a response after which a call has failed

    @param[in] wait  how long the source holds the call
    */
    [[nodiscard]] std::chrono::milliseconds time_limit(std::chrono::milliseconds wait) const noexcept;

    /*!
    @brief records the response to a watch

    @param[in] sent_at      when the watch was sent
    @param[in] wait         how long the source was to hold it
    @param[in] has_changes  whether the response contains changes
    @param[in] now          current time

    @return up to when the items are complete
    */
    confirmation_times on_watch_response(time_point sent_at, std::chrono::milliseconds wait, bool has_changes,
                                         time_point now) noexcept;

    /// records a complete listing whose first page was requested at a time
    confirmation_times on_listing(time_point sent_at) noexcept;

    /// records a call without a usable response; returns the delay until the next one
    [[nodiscard]] std::chrono::milliseconds on_failure(random_source& random);

    /// delay until the next watch; longer while changes are frequent, so that one response has several
    [[nodiscard]] std::chrono::milliseconds pause() const noexcept
    {
        return m_pause;
    }

  private:
    static constexpr std::chrono::milliseconds min_wait{100};
    static constexpr std::chrono::milliseconds first_response_timeout{400};
    static constexpr std::chrono::milliseconds first_retry_delay{50};
    static constexpr std::chrono::milliseconds response_timeout{1000};
    static constexpr std::chrono::milliseconds retry_delay{300};
    static constexpr std::chrono::milliseconds min_pause{60};
    static constexpr std::chrono::milliseconds max_pause{480};
    // a node looks once in such a period whether it must read
    static constexpr std::chrono::milliseconds tick_allowance{100};
    // connection and response of the call that succeeds
    static constexpr std::chrono::milliseconds response_allowance{300};

    std::chrono::milliseconds m_watch_time;
    std::chrono::milliseconds m_silent_time;
    std::chrono::milliseconds m_max_staleness;
    std::chrono::milliseconds m_pause{0};
    time_point m_current_at{};
    bool m_is_first{false}; ///< whether the current call is the first watch after a start
};

} // namespace teasellead
