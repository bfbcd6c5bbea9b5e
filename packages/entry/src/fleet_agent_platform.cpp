// member functions of fleet_agent that read the platform and apply configuration revisions
#include <utility>

#include "detail/host_list_reader.hpp"
#include "detail/relay_log_lines.hpp"
#include "teasellead/entry/fleet_agent.hpp"
#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead
{

namespace
{

constexpr std::chrono::milliseconds hosts_retry_pause{500};

} // namespace

void fleet_agent::on_services(const platform_answer& answer)
{
    const std::scoped_lock lock{m_mutex};
    if (!m_relay.is_running(answer.m_id))
    {
        // another read superseded this one before its result arrived
        return;
    }
    const time_point now = m_clock.now();
    std::visit(overloaded{[&](const platform_value& value)
                          { (void)m_relay.on_text(value.m_revision, value.m_text, now); },
                          [&](const platform_unchanged&) { m_relay.on_platform_current(now); },
                          [&](const platform_failure&)
                          {
                              m_relay.on_platform_failure(now);
                          }},
               answer.m_result);
    m_link->wake();
}

void fleet_agent::on_hosts(const platform_answer& answer)
{
    const std::scoped_lock lock{m_mutex};
    m_is_reading_hosts = false;
    std::visit(overloaded{[&](const platform_value& value) { take_hosts(value, answer.m_asked_at); },
                          [&](const platform_unchanged&)
                          {
                              m_membership.on_list(m_hosts, answer.m_asked_at);
                              apply_division(m_clock.now());
                          },
                          [&](const platform_failure&)
                          {
                              m_next_hosts_read = m_clock.now() + hosts_retry_pause;
                          }},
               answer.m_result);
    m_link->wake();
}

void fleet_agent::take_hosts(const platform_value& value, time_point asked_at)
{
    try
    {
        m_hosts = detail::read_host_list(value.m_revision, value.m_text);
        m_membership.on_list(m_hosts, asked_at);
        apply_division(m_clock.now());
        m_is_list_new = true;
    }
    catch (const protocol_error& error)
    {
        m_next_hosts_read = m_clock.now() + hosts_retry_pause;
        m_log.write(log_level::warning, "host_list_rejected", {{"reason", error.what()}});
    }
}

void fleet_agent::read_platform(time_point now)
{
    if (const auto wanted = m_relay.next_platform_read(now))
    {
        m_services_reader.start(*wanted);
    }
    if (!m_is_reading_hosts && now >= m_next_hosts_read)
    {
        m_is_reading_hosts = true;
        m_hosts_reader.start({0, m_hosts.m_version, m_hosts_watch_time});
    }
}

void fleet_agent::on_revision_in_force(time_point now)
{
    const shared_revision revision = m_revisions.get();
    m_applied_revision = revision->number();
    m_membership.on_data_centres(revision->configuration().data_centres(), now);
    apply_division(now);
    m_limiter.on_revision(*revision, now);
    m_upstreams.on_configuration(revision->configuration(), now);
    m_hedging.retain(revision->configuration());
    m_membership.hello_now();
}

void fleet_agent::log_relay_records()
{
    for (const relay_record& record : m_relay.take_records())
    {
        detail::log_relay_record(m_log, record);
    }
}

void fleet_agent::drop_former_peers()
{
    std::vector<endpoint> listed;
    {
        const std::scoped_lock lock{m_mutex};
        if (!std::exchange(m_is_list_new, false))
        {
            return;
        }
        for (const platform_host& entry : m_hosts.m_hosts)
        {
            listed.push_back(entry.m_host.peer());
        }
    }
    m_link->retain(listed);
}

} // namespace teasellead
