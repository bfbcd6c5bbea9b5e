#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/host_view.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead
{

/// settings of @ref platform_read_schedule
struct platform_read_settings
{
    std::size_t m_readers{2};                           ///< number of watching hosts in each data centre
    std::chrono::milliseconds m_watch_wait{10'000};     ///< longest time that the platform may hold a watch
    std::chrono::milliseconds m_poll_spacing{500};      ///< mean time between two polls of a data centre
    std::chrono::milliseconds m_min_poll_period{2'000}; ///< shortest mean time between polls of a host
    std::chrono::milliseconds m_min_retry{250};         ///< first delay after a failed read
    std::chrono::milliseconds m_max_retry{4'000};       ///< longest delay after failed reads
    /// delay between watches if the platform replies without waiting
    std::chrono::milliseconds m_idle_watch_pause{1'000};
    std::chrono::milliseconds m_response_allowance{2'000}; ///< time beyond the wait until a read times out

    friend bool operator==(const platform_read_settings&, const platform_read_settings&) = default;
};

/// a read that the node must send to the platform
struct platform_read
{
    std::uint64_t m_id{0};               ///< results of a read with a smaller number must be discarded
    revision_number m_have{0};           ///< the platform replies at once if it has another revision
    std::chrono::milliseconds m_wait{0}; ///< time that the platform may wait for another revision

    friend bool operator==(const platform_read&, const platform_read&) = default;
};

/*!
@brief whether a host is one of those that watch the platform on behalf of their data centre

@param[in] self     the host
@param[in] hosts    live hosts of its data centre, with or without itself
@param[in] readers  number of watching hosts

@return whether it is among the first by rendezvous hashing

@complexity linear in the number of hosts
*/
[[nodiscard]] bool is_platform_reader(const listed_host& self, const std::vector<listed_host>& hosts,
                                      std::size_t readers);

/*!
@brief decides when this node reads the platform's configuration

Readers watch the platform with long polls. The other hosts of a data centre poll at a rate that adds up to
one poll per poll spacing, so that the rate of a data centre doesn't grow with the number of its hosts, and an
undetected failure of a reader delays a revision only slightly. A state machine without I/O.
*/
class platform_read_schedule
{
  public:
    /*!
    @brief creates the schedule of a node that has just started; its first read is due at once

    @param[in] settings  periods
    @param[in] now       current time
    */
    platform_read_schedule(platform_read_settings settings, time_point now);

    /*!
    @brief sets the node's current role

    @param[in]     is_reader  whether this node watches the platform
    @param[in]     hosts      number of live hosts of the data centre
    @param[in]     now        current time
    @param[in,out] random     for jitter

    @return whether the role has changed
    */
    bool set_role(bool is_reader, std::size_t hosts, time_point now, random_source& random);

    /// returns the read that is due, if any; it replaces one that is still running
    [[nodiscard]] std::optional<platform_read> next(revision_number have, time_point now,
                                                    random_source& random);

    /// the platform replied with a newer text than the one that the read named
    void on_newer(time_point now, random_source& random);

    /// the platform has nothing newer
    void on_unchanged(time_point now, random_source& random);

    /// the platform didn't reply, or replied with an older revision
    void on_failure(time_point now, random_source& random);

    /// makes a read without wait due at once, even while another one runs
    void read_now(time_point now) noexcept;

    /// whether a read is the last one and is still waiting for its result
    [[nodiscard]] bool is_running(std::uint64_t id) const noexcept
    {
        return m_is_running && !m_is_urgent && id == m_reads;
    }

    /// whether the last read began at or after a time; replies to earlier reads may have been buffered in a
    /// socket
    [[nodiscard]] bool has_read_since(time_point time) const noexcept
    {
        return !m_is_urgent && m_started >= time;
    }

    [[nodiscard]] bool is_reader() const noexcept
    {
        return m_is_reader;
    }

    /// number of reads so far
    [[nodiscard]] std::uint64_t reads() const noexcept
    {
        return m_reads;
    }

  private:
    [[nodiscard]] duration poll_period(random_source& random) const;

    platform_read_settings m_settings;
    bool m_is_reader{false};
    bool m_is_running{false};
    bool m_is_urgent{true};
    std::size_t m_hosts{1};
    std::uint64_t m_reads{0};
    std::chrono::milliseconds m_retry{0};
    std::chrono::milliseconds m_running_wait{0};
    time_point m_started;
    time_point m_due;
};

} // namespace teasellead
