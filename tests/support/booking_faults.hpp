#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace booking_simulation
{

/// a defect that is built into the design or the driver on purpose; the simulation must detect each
enum class defect
{
    none,
    resends_after_loss,    ///< sends again after a lost connection
    resends_after_timeout, ///< sends again after a timeout
    admits_every_repeat,   ///< keeps no record of used ids
    hashes_for_an_owner, ///< the owner of a key is found by hashing over the view; records survive a restart
    hashes_and_restarts, ///< the same, but a restart loses the records
    ignores_incarnation, ///< a restarted host accepts the ids of its earlier incarnation
    refuses_expired_as_not_run, ///< reports not_run for an expired id
    refuses_limited_as_not_run, ///< a host that didn't issue the id reports not_run when a limit is exceeded
    refuses_unreachable_as_not_run, ///< reports not_run if the issuing host doesn't reply
    forgets_refusals,               ///< reports not_run without recording that the id is refused
    reports_paused_as_not_run       ///< sends after a pause, but reports not_run as the time to send was over
};

/// step of a request at which a fault is injected
enum class step
{
    id_issued,
    received,
    validated,
    admitted,
    chosen,
    handed_over,
    ran,
    replied,
    completed
};

inline constexpr std::size_t steps = 9;

/// a fault that is injected at a step
enum class fault
{
    node_killed,
    node_paused,
    upstream_killed,
    caller_cut
};

inline constexpr std::size_t faults = 4;

/// counters of all runs
struct tally
{
    std::array<std::array<std::uint64_t, faults>, steps> m_faults{};
    std::uint64_t m_bookings{0};
    std::uint64_t m_ran{0};
    std::uint64_t m_told_ran{0};
    std::uint64_t m_told_not_run{0};
    std::uint64_t m_told_may_have_run{0};
    std::uint64_t m_withheld{0};           ///< not sent, as the time to send was over after a pause
    std::uint64_t m_lost_after_running{0}; ///< the reply was lost after the request had run
    std::uint64_t m_late_replies{0};
    std::uint64_t m_forwarded{0};
    std::uint64_t m_keeper_gone{0}; ///< the id belongs to an earlier incarnation of the host
    std::uint64_t m_expired{0};
    std::uint64_t m_answered_from_memory{0};
    std::uint64_t m_waited{0}; ///< repeats that waited for the running request
    std::uint64_t m_memory_full{0};
    std::vector<std::string> m_violations;
};

} // namespace booking_simulation
