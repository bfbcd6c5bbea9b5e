#pragma once

#include <optional>
#include <string>
#include <vector>

#include "teasellead/fleet/relay_record.hpp"
#include "teasellead/fleet/revision_history.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/current_revision.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/// collects the decisions and counters of a relay
class relay_log
{
  public:
    /// adds a decision; it is dropped if too many are queued
    void record(relay_record entry);

    /// returns the decisions since the last call
    [[nodiscard]] std::vector<relay_record> take();

    relay_counters m_counters;

  private:
    std::vector<relay_record> m_records;
};

/*!
@brief decides which of the offered texts this node adopts

The number of the current revision never decreases. A text whose number is lower than an announced one is
held back for a short time, in which the higher one should arrive. Not safe for use by several threads.
*/
class revision_adopter
{
  public:
    /*!
    @brief creates an adopter

    @param[in,out] cell       the current revision; must outlive the adopter
    @param[in,out] log        receives the decisions; must outlive the adopter
    @param[in]     hold_time  how long a text is held back
    */
    revision_adopter(current_revision& cell, relay_log& log, duration hold_time);

    /*!
    @brief records the number of the current revision of another node

    @return whether it is higher than any recorded before
    */
    bool record_announced(revision_number number);

    /*!
    @brief offers a text for adoption

    @param[in] number  number that the platform assigned to it
    @param[in] text    the services text
    @param[in] peer    peer that sent it; none for the platform
    @param[in] now     current time

    @return whether it was adopted
    */
    bool offer(revision_number number, const std::string& text, const std::optional<endpoint>& peer,
               time_point now);

    /// adopts the held text when its hold time has passed; returns whether it was adopted
    bool on_tick(time_point now);

    /// number of the current revision
    [[nodiscard]] revision_number current_number() const;

    /// highest number that was announced or adopted
    [[nodiscard]] revision_number highest_known() const noexcept
    {
        return m_highest_known;
    }

    /// whether no higher revision is known
    [[nodiscard]] bool is_up_to_date() const
    {
        return current_number() >= m_highest_known;
    }

    /// whether the text of a revision is needed: it is newer than the current one and wasn't rejected
    [[nodiscard]] bool is_wanted(revision_number number) const;

    /// the last rejected text
    [[nodiscard]] const std::optional<rejected_revision>& rejection() const noexcept
    {
        return m_rejection;
    }

    /// the last conflict between two texts with the same number
    [[nodiscard]] const std::optional<conflicting_revision>& conflict() const noexcept
    {
        return m_conflict;
    }

    /// the revisions that were adopted
    [[nodiscard]] revision_history& history() noexcept
    {
        return m_history;
    }

  private:
    struct held_text
    {
        revision_number m_number;
        std::string m_text;
        std::optional<endpoint> m_peer;
        time_point m_until;
    };

    bool adopt(revision_number number, const std::string& text, const std::optional<endpoint>& peer);
    void report_conflict(revision_number number, const std::string& kept, const std::string& other);

    current_revision& m_cell;
    relay_log& m_log;
    duration m_hold_time;
    revision_history m_history;
    revision_number m_highest_known{0};
    std::optional<held_text> m_held;
    std::optional<rejected_revision> m_rejection;
    std::optional<conflicting_revision> m_conflict;
};

} // namespace teasellead
