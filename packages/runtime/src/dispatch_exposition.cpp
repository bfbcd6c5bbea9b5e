#include "dispatch_exposition.hpp"

#include <sstream>

#include "teasellead/runtime/request_log.hpp"

namespace teasellead::runtime
{

std::string dispatch_exposition(const forwarding::dispatch_context& context)
{
    const forwarding::dispatch_statistics& counts = context.m_statistics;
    std::ostringstream text;
    text << "# TYPE teasellead_waiting_attempts gauge\n";
    for (const auto& [priority, count] : context.m_capacity_queue.count_by_priority())
    {
        text << "teasellead_waiting_attempts{priority=\"" << priority << "\"} " << count << '\n';
    }
    text << "# TYPE teasellead_refusals_total counter\n";
    for (const auto& [kind, count] : counts.m_refusals)
    {
        text << "teasellead_refusals_total{reason=\"" << forwarding::to_string(kind.m_reason)
             << "\",priority=\"" << kind.m_priority << "\"} " << count << '\n';
    }
    text << exposition_line("teasellead_waiting_displaced_total", "counter",
                            context.m_capacity_queue.displaced())
         << exposition_line("teasellead_waiting_hopeless_total", "counter", counts.m_refused_by_forecast)
         << exposition_line("teasellead_extra_attempts_reserved_total", "counter", counts.m_denied_by_reserve)
         << exposition_line("teasellead_hedges_total", "counter", counts.m_hedges)
         << exposition_line(
                "teasellead_hand_over_microseconds_total", "counter",
                static_cast<std::uint64_t>(
                    std::chrono::duration_cast<std::chrono::microseconds>(counts.m_hand_over_delay).count()))
         << exposition_line("teasellead_unlikely_searches_refused_total", "counter",
                            context.m_outlook.refused())
         << exposition_line("teasellead_unlikely_searches_probed_total", "counter",
                            context.m_outlook.probes());
    return text.str();
}

} // namespace teasellead::runtime
