#include "teasellead/fleet/platform_read_schedule.hpp"

#include <algorithm>

#include "teasellead/kernel/hashing.hpp"
#include "teasellead/kernel/scaled_duration.hpp"

namespace teasellead
{

namespace
{

constexpr std::uint64_t reader_seed = 0x7265616465720001; // makes this ranking independent of other rankings

std::uint64_t reader_score(const listed_host& host)
{
    return rendezvous_score(hash64(host.data_centre(), reader_seed), host.peer().packed());
}

/// a random duration, uniformly distributed between 0.5 and 1.5 times the value
duration with_jitter(duration value, random_source& random)
{
    return scaled(value, 0.5 + random.unit());
}

} // namespace

bool is_platform_reader(const listed_host& self, const std::vector<listed_host>& hosts, std::size_t readers)
{
    const std::uint64_t own_score = reader_score(self);
    const auto ranks_before = [&](const listed_host& host)
    {
        const std::uint64_t score = reader_score(host);
        return host.peer() != self.peer() && host.data_centre() == self.data_centre() &&
               (score > own_score || (score == own_score && host.peer() < self.peer()));
    };
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), ranks_before)) < readers;
}

platform_read_schedule::platform_read_schedule(platform_read_settings settings, time_point now)
    : m_settings(settings), m_due(now)
{
}

bool platform_read_schedule::set_role(bool is_reader, std::size_t hosts, time_point now,
                                      random_source& random)
{
    m_hosts = std::max<std::size_t>(hosts, 1);
    if (is_reader == m_is_reader)
    {
        return false;
    }
    m_is_reader = is_reader;
    if (is_reader && !m_is_running)
    {
        m_due = std::min(m_due, now + with_jitter(m_settings.m_min_retry, random));
    }
    return true;
}

std::optional<platform_read> platform_read_schedule::next(revision_number have, time_point now,
                                                          random_source& random)
{
    if (m_is_running && now >= m_started + m_running_wait + m_settings.m_response_allowance)
    {
        on_failure(now, random);
    }
    if (!m_is_urgent && (m_is_running || now < m_due))
    {
        return std::nullopt;
    }
    const bool is_watch = m_is_reader && !m_is_urgent;
    m_running_wait = is_watch ? m_settings.m_watch_wait : std::chrono::milliseconds{0};
    m_is_running = true;
    m_is_urgent = false;
    m_started = now;
    ++m_reads;
    return platform_read{m_reads, have, m_running_wait};
}

void platform_read_schedule::on_newer(time_point now, random_source& random)
{
    m_is_running = false;
    m_retry = std::chrono::milliseconds{0};
    m_due = m_is_reader ? now : now + poll_period(random);
}

void platform_read_schedule::on_unchanged(time_point now, random_source& random)
{
    m_is_running = false;
    m_retry = std::chrono::milliseconds{0};
    if (!m_is_reader)
    {
        m_due = now + poll_period(random);
        return;
    }
    const bool has_waited = m_running_wait.count() == 0 || now - m_started >= m_running_wait / 2;
    m_due = has_waited ? now : now + with_jitter(m_settings.m_idle_watch_pause, random);
}

void platform_read_schedule::on_failure(time_point now, random_source& random)
{
    m_is_running = false;
    m_retry = std::clamp(m_retry * 2, m_settings.m_min_retry, m_settings.m_max_retry);
    const duration delay = with_jitter(m_retry, random);
    m_due = now + (m_is_reader ? delay : std::max(delay, poll_period(random)));
}

void platform_read_schedule::read_now(time_point now) noexcept
{
    m_is_urgent = true;
    m_due = now;
}

duration platform_read_schedule::poll_period(random_source& random) const
{
    const duration shared = m_settings.m_poll_spacing * static_cast<std::int64_t>(m_hosts);
    return with_jitter(std::max<duration>(shared, m_settings.m_min_poll_period), random);
}

} // namespace teasellead
