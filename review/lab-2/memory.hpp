// The platform's part in the cases about memory: it kills a process that exceeds memoryMb, and starts it again.
#pragma once

#include <algorithm>
#include <csignal>
#include <sys/resource.h>

#include "lab.hpp"

namespace lab
{

constexpr int ends_of_a_fault = 3;
constexpr long kb_per_mb = 1024;
constexpr rlim_t needed_files = 4000;

struct visit
{
    int ends{0};
    int served{0};
    int other{0};
    int lost{0}; ///< callers whose connection ended without an answer when the process was killed
    long most_kb{0};
    bool failed{false};
};

/// the platform's part: a process that exceeds memoryMb is killed and started again
inline bool kill_if_over(record& log, deployment& system, unsigned number, visit& result)
{
    const long used = system.at(number).memory_kb("VmRSS");
    result.most_kb = std::max(result.most_kb, used);
    if (used <= deployment::memory_mb * kb_per_mb)
    {
        return false;
    }
    ++result.ends;
    log.line("node-" + std::to_string(number) + " holds " + std::to_string(used) + " kB, over its " +
             std::to_string(deployment::memory_mb * kb_per_mb) + " kB: the platform kills it");
    system.at(number).signal(SIGKILL);
    return true;
}

inline bool raise_file_limit()
{
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    return files.rlim_max >= needed_files;
}

/// writes what was seen of each machine; returns on how many of them the process has ended three times
inline unsigned report(record& log, const std::vector<visit>& visits)
{
    unsigned faulty = 0;
    for (std::size_t number = 0; number < visits.size(); ++number)
    {
        const visit& each = visits[number];
        faulty += each.ends >= ends_of_a_fault ? 1 : 0;
        log.line("node-" + std::to_string(number) + ": " + std::to_string(each.served) + " requests served, " +
                 std::to_string(each.other) + " not; most memory " + std::to_string(each.most_kb) + " kB of " +
                 std::to_string(deployment::memory_mb * kb_per_mb) + " kB; ended for it " +
                 std::to_string(each.ends) + " times, with " + std::to_string(each.lost) +
                 " callers' requests half sent");
    }
    log.line("Fault: on " + std::to_string(faulty) + " machines a process has ended by itself three times; two break it");
    return faulty;
}

} // namespace lab
