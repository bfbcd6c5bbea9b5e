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

constexpr std::chrono::milliseconds host_list_retry_pause{500};

} // namespace

void fleet_agent::on_services_read(const platform_read_result& result)
{
    const std::scoped_lock lock{m_mutex};
    if (!m_relay.is_running(result.m_id))
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
               result.m_result);
    m_link->wake();
}

void fleet_agent::on_host_list_read(const platform_read_result& result)
{
    const std::scoped_lock lock{m_mutex};
    m_is_reading_host_list = false;
    std::visit(overloaded{[&](const platform_value& value) { apply_host_list(value, result.m_requested_at); },
                          [&](const platform_unchanged&)
                          {
                              m_membership.on_list(m_host_list, result.m_requested_at);
                              apply_division(m_clock.now());
                          },
                          [&](const platform_failure&)
                          {
                              m_next_host_list_read = m_clock.now() + host_list_retry_pause;
                          }},
               result.m_result);
    m_link->wake();
}

void fleet_agent::apply_host_list(const platform_value& value, time_point requested_at)
{
    try
    {
        m_host_list = detail::read_host_list(value.m_revision, value.m_text);
        m_membership.on_list(m_host_list, requested_at);
        apply_division(m_clock.now());
        m_is_host_list_new = true;
    }
    catch (const protocol_error& error)
    {
        m_next_host_list_read = m_clock.now() + host_list_retry_pause;
        m_log.write(log_level::warning, "host_list_rejected", {{"reason", error.what()}});
    }
}

void fleet_agent::start_platform_reads(time_point now)
{
    if (const auto requested = m_relay.next_platform_read(now))
    {
        m_services_reader.start(*requested);
    }
    if (!m_is_reading_host_list && now >= m_next_host_list_read)
    {
        m_is_reading_host_list = true;
        m_host_list_reader.start({0, m_host_list.m_version, m_host_list_poll_timeout});
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

void fleet_agent::disconnect_unlisted_peers()
{
    std::vector<endpoint> listed;
    {
        const std::scoped_lock lock{m_mutex};
        if (!std::exchange(m_is_host_list_new, false))
        {
            return;
        }
        for (const platform_host& entry : m_host_list.m_hosts)
        {
            listed.push_back(entry.m_host.peer());
        }
    }
    m_link->retain(listed);
}

} // namespace teasellead
