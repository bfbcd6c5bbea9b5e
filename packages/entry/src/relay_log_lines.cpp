#include "detail/relay_log_lines.hpp"

#include "teasellead/kernel/overloaded.hpp"

namespace teasellead::detail
{

namespace
{

std::string_view name_of(check_reason reason)
{
    return reason == check_reason::start ? "start" : "wake";
}

} // namespace

void log_relay_record(decision_log& log, const relay_record& record)
{
    std::visit(
        overloaded{
            [&log](const adopted_revision& adopted)
            {
                log.write(log_level::info, "configuration_in_force",
                          {{"revision", adopted.m_number},
                           {"previous", adopted.m_previous},
                           {"source", adopted.m_peer ? adopted.m_peer->to_string() : "platform"}});
            },
            [&log](const outdated_revision& outdated)
            {
                log.write(log_level::info, "configuration_outdated",
                          {{"revision", outdated.m_number}, {"known", outdated.m_known}});
            },
            [&log](const rejected_revision& rejected)
            {
                log.write(log_level::warning, "configuration_rejected",
                          {{"revision", rejected.m_number}, {"reason", rejected.m_reason}});
            },
            [&log](const conflicting_revision& conflict)
            {
                log.write(log_level::warning, "configuration_conflict",
                          {{"revision", conflict.m_number}, {"kept", conflict.m_kept_digest}});
            },
            [&log](const check_started& started) {
                log.write(log_level::info, "configuration_check", {{"reason", name_of(started.m_reason)}});
            },
            [&log](const check_ended& ended)
            {
                log.write(log_level::info, "configuration_checked",
                          {{"reason", name_of(ended.m_reason)},
                           {"confirmed", ended.m_is_confirmed ? "yes" : "no"}});
            },
            [&log](const reader_role_changed& changed)
            {
                log.write(log_level::info, "platform_reader",
                          {{"watches", changed.m_is_reader ? "yes" : "no"}});
            }},
        record);
}

} // namespace teasellead::detail
