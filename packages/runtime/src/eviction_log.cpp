#include "eviction_log.hpp"

#include <chrono>
#include <string_view>

namespace teasellead::runtime
{

namespace
{

std::string_view name_of(eviction_reason reason)
{
    switch (reason)
    {
    case eviction_reason::slow_reader:
        return "slow_reader";
    case eviction_reason::slow_sender:
        return "slow_sender";
    case eviction_reason::surplus:
        break;
    }
    return "surplus";
}

} // namespace

void eviction_log::add(const eviction& evicted)
{
    ++m_counts[evicted.m_reason];
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(evicted.m_load.m_duration);
    m_log.write(log_level::warning, "caller_evicted",
                {{"reason", name_of(evicted.m_reason)},
                 {"bytes", std::uint64_t{evicted.m_load.m_bytes}},
                 {"age_ms", static_cast<std::uint64_t>(age.count())}});
}

std::uint64_t eviction_log::count_of(eviction_reason reason) const
{
    const auto found = m_counts.find(reason);
    return found == m_counts.end() ? 0 : found->second;
}

std::string eviction_log::exposition(const memory_budget& memory) const
{
    return exposition_line("teasellead_held_request_bytes", "gauge", memory.used(memory_use::request)) +
           exposition_line("teasellead_held_reply_bytes", "gauge", memory.used(memory_use::reply)) +
           exposition_line("teasellead_held_response_bytes", "gauge", memory.used(memory_use::response)) +
           exposition_line("teasellead_slow_readers_closed_total", "counter",
                           count_of(eviction_reason::slow_reader)) +
           exposition_line("teasellead_slow_senders_refused_total", "counter",
                           count_of(eviction_reason::slow_sender)) +
           exposition_line("teasellead_surplus_connections_closed_total", "counter",
                           count_of(eviction_reason::surplus));
}

} // namespace teasellead::runtime
