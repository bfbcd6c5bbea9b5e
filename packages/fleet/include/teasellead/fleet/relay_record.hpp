#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "teasellead/fleet/revision_check.hpp"
#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/// this node adopted a revision
struct adopted_revision
{
    revision_number m_number{0};
    revision_number m_previous{0};
    std::optional<endpoint> m_peer; ///< peer that sent the text; none for the platform

    friend bool operator==(const adopted_revision&, const adopted_revision&) = default;
};

/// a revision wasn't adopted because a higher one is known
struct outdated_revision
{
    revision_number m_number{0};
    revision_number m_known{0}; ///< highest number that is known to this node

    friend bool operator==(const outdated_revision&, const outdated_revision&) = default;
};

/// the parser rejected a text
struct rejected_revision
{
    revision_number m_number{0};
    std::string m_reason;
    std::string m_digest;

    friend bool operator==(const rejected_revision&, const rejected_revision&) = default;
};

/// a text arrived under the number of the current revision, whose text differs
struct conflicting_revision
{
    revision_number m_number{0};
    std::string m_kept_digest;
    std::string m_other_digest;

    friend bool operator==(const conflicting_revision&, const conflicting_revision&) = default;
};

/// this node began to check whether its revision is the newest
struct check_started
{
    check_reason m_reason{check_reason::start};

    friend bool operator==(const check_started&, const check_started&) = default;
};

/// the check has ended
struct check_ended
{
    check_reason m_reason{check_reason::start};
    bool m_is_confirmed{false}; ///< false if neither a peer nor the platform confirmed the revision in time

    friend bool operator==(const check_ended&, const check_ended&) = default;
};

/// this node started or stopped watching the platform
struct reader_role_changed
{
    bool m_is_reader{false};

    friend bool operator==(const reader_role_changed&, const reader_role_changed&) = default;
};

/// a decision of the configuration relay, for the log
using relay_record = std::variant<adopted_revision, outdated_revision, rejected_revision,
                                  conflicting_revision, check_started, check_ended, reader_role_changed>;

/// counters of the configuration relay, for metrics
struct relay_counters
{
    std::uint64_t m_adopted{0};
    std::uint64_t m_outdated{0};    ///< texts older than a known revision
    std::uint64_t m_rejected{0};    ///< texts that the parser rejected
    std::uint64_t m_conflicting{0}; ///< texts that differ from the adopted text with the same number
    std::uint64_t m_invalid{0};     ///< replies of peers whose text doesn't match its digest
    std::uint64_t m_sent_deltas{0};
    std::uint64_t m_sent_texts{0};
    /// full texts that weren't sent because the transfer budget was used up
    std::uint64_t m_refused_texts{0};
    std::uint64_t m_platform_failures{0};
    std::uint64_t m_stalls{0}; ///< number of times that this process was stalled

    friend bool operator==(const relay_counters&, const relay_counters&) = default;
};

} // namespace teasellead
