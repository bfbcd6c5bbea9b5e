#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "teasellead/fleet/membership.hpp"
#include "teasellead/fleet/messages.hpp"
#include "teasellead/fleet/platform_read_schedule.hpp"
#include "teasellead/fleet/relay_record.hpp"
#include "teasellead/fleet/revision_adopter.hpp"
#include "teasellead/fleet/revision_check.hpp"
#include "teasellead/fleet/revision_history.hpp"
#include "teasellead/fleet/text_fetcher.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/current_revision.hpp"
#include "teasellead/kernel/host_view.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead
{

/// settings of @ref configuration_relay
struct relay_settings
{
    platform_read_settings m_reads;
    revision_check_settings m_check;
    text_fetcher_settings m_fetch;
    /// a longer time between two calls counts as a stall of the process
    std::chrono::milliseconds m_stall_limit{1000};
    std::chrono::milliseconds m_peer_timeout{2000}; ///< a peer without a hello for longer counts as lost
    /// how long a text is held back while a newer one is fetched
    std::chrono::milliseconds m_hold_time{1000};
    double m_text_bytes_per_second{14'000.0};       ///< mean bytes sent as full texts
    double m_max_text_bytes{4.0 * 1024.0 * 1024.0}; ///< bytes sent as full texts at once

    friend bool operator==(const relay_settings&, const relay_settings&) = default;
};

/*!
@brief adopts configuration revisions on this node and distributes them to peers

A revision is adopted only if it is higher than the current one and not lower than any that the platform or a
peer has announced. A lower one is held back for a short time in which the announced one should arrive. A
state machine without I/O. Not safe for use by several threads.
*/
class configuration_relay
{
  public:
    /*!
    @brief creates the relay of a node that has just started

    @param[in,out] cell      the current revision; must outlive the relay
    @param[in]     self      this node
    @param[in]     settings  periods and limits
    @param[in]     random    for jitter and the choice of peers
    @param[in]     now       current time
    */
    configuration_relay(current_revision& cell, listed_host self, relay_settings settings,
                        const random_source& random, time_point now);

    /*!
    @brief processes a text that the platform sent

    @param[in] number  number that the platform assigned to it
    @param[in] text    the services text
    @param[in] now     current time

    @return whether it was adopted
    */
    bool on_text(revision_number number, const std::string& text, time_point now);

    /// records that the platform replied and has no newer revision
    void on_platform_current(time_point now);

    /// records that the platform couldn't be reached or replied with an error
    void on_platform_failure(time_point now);

    /// processes the revision that a peer announced in its hello; returns requests for newer texts
    [[nodiscard]] std::vector<outgoing_message> on_announcement(const endpoint& peer, revision_number number,
                                                                time_point now);

    /// replies to a peer's request
    [[nodiscard]] std::vector<outgoing_message> on_request(const endpoint& peer,
                                                           const revision_request& request, time_point now);

    /// processes a peer's reply; returns whether a new revision was adopted
    bool on_reply(const endpoint& peer, const revision_reply& reply, time_point now);

    /*!
    @brief runs checks, fetches and role changes that are due; must be called every 50 ms

    @param[in] peers  listed peers
    @param[in] now    current time

    @return requests to peers
    */
    [[nodiscard]] std::vector<outgoing_message> on_tick(const std::vector<peer_status>& peers,
                                                        time_point now);

    /// returns the read that is due to be sent to the platform, if any; it replaces one that still runs
    [[nodiscard]] std::optional<platform_read> next_platform_read(time_point now);

    /*!
    @brief whether the result of a read is still awaited

    Must be called under the lock under which the result is passed on, since a thread that holds the result of
    an earlier read may have been stalled.

    @param[in] id  number of the read
    */
    [[nodiscard]] bool is_running(std::uint64_t id) const noexcept
    {
        return m_reads.is_running(id);
    }

    /// whether this node may serve: its check at start has ended with a revision as high as any announced
    [[nodiscard]] bool may_serve(time_point now) const;

    /// whether requests with keys must wait because the process was stalled and hasn't rechecked its revision
    [[nodiscard]] bool needs_recheck(time_point now) const;

    /// highest revision that the platform or a peer has announced
    [[nodiscard]] revision_number highest_known() const noexcept
    {
        return m_adopter.highest_known();
    }

    /// when the current revision was last confirmed by the platform
    [[nodiscard]] time_point last_confirmed() const noexcept
    {
        return m_last_confirmed;
    }

    /// the last rejected text, if it is newer than the current revision
    [[nodiscard]] std::optional<rejected_revision> rejection() const;

    /// the last conflict between two texts with the same number, for reports
    [[nodiscard]] const std::optional<conflicting_revision>& conflict() const noexcept
    {
        return m_adopter.conflict();
    }

    [[nodiscard]] bool is_reader() const noexcept
    {
        return m_reads.is_reader();
    }

    /// number of reads sent to the platform
    [[nodiscard]] std::uint64_t platform_reads() const noexcept
    {
        return m_reads.reads();
    }

    [[nodiscard]] const relay_counters& counters() const noexcept
    {
        return m_log.m_counters;
    }

    /// returns the decisions since the last call, for the log
    [[nodiscard]] std::vector<relay_record> take_records()
    {
        return m_log.take();
    }

  private:
    void detect_stall(time_point now);
    void start_check(check_reason reason, time_point now);
    void finish_check(time_point now);
    void record_announced(revision_number number, time_point now);
    void confirm_by_platform(time_point now);
    bool process_reply(const endpoint& peer, const revision_reply& reply, time_point now);
    [[nodiscard]] std::optional<std::string> text_of(const revision_reply& reply);
    [[nodiscard]] std::vector<outgoing_message> request_text(time_point now);
    void update_role(const std::vector<peer_status>& peers, time_point now);

    current_revision& m_cell;
    listed_host m_self;
    relay_settings m_settings;
    random_source m_random;
    relay_log m_log;
    revision_adopter m_adopter;
    platform_read_schedule m_reads;
    text_fetcher m_fetcher;
    transfer_budget m_budget;
    std::optional<revision_check> m_check;
    std::uint64_t m_check_id{0};
    std::vector<listed_host> m_local_hosts; ///< live hosts of this node's data centre
    bool m_has_checked{false};
    time_point m_last_call;
    time_point m_last_confirmed;
};

} // namespace teasellead
