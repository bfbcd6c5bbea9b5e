#include "settings_reload.hpp"

#include <chrono>
#include <utility>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead::runtime
{

namespace
{

constexpr std::chrono::seconds period{5};

} // namespace

settings_reload::settings_reload(const deployment& platform, const monotonic_clock& clock, request_log& log,
                                 apply_function apply)
    : m_platform(platform), m_clock(clock), m_log(log), m_apply(std::move(apply)),
      m_next_read(clock.now() + period)
{
}

void settings_reload::on_signal()
{
    read(true);
}

void settings_reload::on_tick()
{
    if (m_clock.now() >= m_next_read)
    {
        read(false);
    }
}

void settings_reload::read(bool is_requested)
{
    m_next_read = m_clock.now() + period;
    try
    {
        forwarding_settings next = m_platform.read_settings();
        const std::string changed = m_apply(next);
        // a change of the seeds takes effect immediately and needs no restart
        next.m_seeds = m_platform.settings().m_seeds;
        const bool needs_restart = next != m_platform.settings();
        const bool has_changed = !changed.empty() || needs_restart != m_needs_restart;
        m_needs_restart = needs_restart;
        if (has_changed || is_requested)
        {
            m_log.write(log_level::info, "reload",
                        {{"changed", changed.empty() ? std::string_view{"nothing"} : changed},
                         {"needs_restart", needs_restart ? "true" : "false"}});
        }
    }
    catch (const settings_error& error)
    {
        m_log.write(log_level::error, "reload_failed", {{"error", std::string_view{error.what()}}});
    }
}

} // namespace teasellead::runtime
