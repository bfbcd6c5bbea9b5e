#include "publication_agent.hpp"

#include <algorithm>

#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead::runtime
{

namespace
{

using std::chrono::milliseconds;

// entries that lapsed while the source was away are back within this time of its return
constexpr milliseconds lapse_grace{2200};

std::string state_of(const forwarding::directory_item& item)
{
    if (!item.m_entry)
    {
        return "unusable";
    }
    return item.m_entry->m_is_draining ? "draining" : "ready";
}

} // namespace

publication_agent::publication_agent(const deployment& platform, asio::io_context& loop,
                                     const monotonic_clock& clock, const endpoint& self,
                                     forwarding::freshness& fresh, forwarding::upstream_directory& directory,
                                     request_log& log,
                                     std::function<void(forwarding::declarations)> on_declarations)
    : m_platform(platform), m_clock(clock), m_freshness(fresh), m_directory(directory), m_log(log),
      m_on_declarations(std::move(on_declarations)),
      m_follower(self, follower_settings::for_freshness(platform.settings().m_key_freshness),
                 std::hash<endpoint>{}(self)),
      m_source(platform.make_source(loop, clock, *this))
{
}

void publication_agent::on_members(std::vector<endpoint> local, std::vector<endpoint> others)
{
    m_follower.on_members(std::move(local), std::move(others));
}

std::vector<outgoing_message> publication_agent::on_tick()
{
    const time_point now = m_clock.now();
    if (m_has_lapsed && now >= m_lapse_until)
    {
        m_has_lapsed = false;
        m_directory.drop_lapsed();
    }
    // the first listing comes from the source: no peer is known yet
    const bool reads_source = !is_complete() || m_follower.reads_source(now);
    if (reads_source != m_reads_source)
    {
        m_reads_source = reads_source;
        m_log.write(log_level::info, "publication_origin", {{"origin", reads_source ? "source" : "peer"}});
    }
    if (reads_source)
    {
        m_source->start(m_known.as_of());
    }
    else
    {
        m_source->stop();
    }
    return m_follower.on_tick(m_known.as_of(), now);
}

outgoing_message publication_agent::answer(const endpoint& sender, const publication_request& request) const
{
    const time_point now = m_clock.now();
    return m_follower.answer(sender, request, m_known, std::max(duration::zero(), m_lapse_until - now), now);
}

void publication_agent::on_reply(const endpoint& sender, const publication_reply& reply)
{
    const auto news = m_follower.on_reply(sender, reply, m_known);
    if (!news)
    {
        return;
    }
    if (news->m_lapse_left > duration::zero())
    {
        keep_lapsed_until(m_clock.now() + news->m_lapse_left);
    }
    apply_all(news->m_items, "peer");
    if (news->m_proved_at)
    {
        prove(*news->m_proved_at);
    }
}

void publication_agent::on_listing(const std::vector<published_item>& items, std::uint64_t as_of,
                                   time_point asked_at)
{
    apply_all(m_known.on_listing(items, as_of), "source");
    prove(asked_at);
}

void publication_agent::on_changes(const std::vector<published_item>& items, std::uint64_t as_of,
                                   time_point asked_at)
{
    apply_all(m_known.on_changes(items, as_of), "source");
    prove(asked_at);
}

void publication_agent::on_source(bool is_reachable, const std::string& reason)
{
    m_follower.on_source(is_reachable, m_clock.now());
    if (is_reachable)
    {
        keep_lapsed_until(m_clock.now() + lapse_grace);
    }
    m_log.write(is_reachable ? log_level::info : log_level::warning,
                is_reachable ? "source_regained" : "source_lost", {{"reason", reason}});
}

void publication_agent::prove(time_point proved_at)
{
    if (m_has_unreadable)
    {
        return;
    }
    m_freshness.on_proof(proved_at);
    m_follower.on_proof(proved_at);
}

void publication_agent::keep_lapsed_until(time_point until)
{
    m_lapse_until = std::max(m_lapse_until, until);
}

bool publication_agent::keeps_lapsed() const
{
    return m_clock.now() < m_lapse_until;
}

void publication_agent::apply_all(const std::vector<published_item>& news, std::string_view origin)
{
    for (const published_item& item : news)
    {
        try
        {
            apply(item);
        }
        catch (const protocol_error& error)
        {
            // what is in force may be older than this item, so nothing proves it any more
            m_has_unreadable = true;
            m_log.write(log_level::error, "unreadable_item",
                        {{"key", item.m_key}, {"origin", origin}, {"error", std::string_view{error.what()}}});
        }
    }
}

void publication_agent::apply(const published_item& item)
{
    publication meaning = m_platform.decode(item);
    std::visit(
        overloaded{[](const nothing_published&) {},
                   [this](forwarding::declarations& next)
                   {
                       m_has_unreadable = false;
                       m_on_declarations(std::move(next));
                   },
                   [this](const upstream_published& each)
                   {
                       m_directory.on_change(each.m_item, m_clock.now());
                       m_log.write(log_level::info, "upstream",
                                   {{"instance", each.m_item.m_instance},
                                    {"service", each.m_item.m_entry ? each.m_item.m_entry->m_service : ""},
                                    {"state", state_of(each.m_item)}});
                   },
                   [this](const upstream_withdrawn& each)
                   {
                       const bool keeps = keeps_lapsed();
                       m_has_lapsed = m_has_lapsed || keeps;
                       m_directory.on_removed(each.m_instance, keeps);
                       m_log.write(log_level::info, "upstream",
                                   {{"instance", each.m_instance}, {"state", keeps ? "lapsed" : "removed"}});
                   },
                   [this](const data_centre_evacuated& each)
                   {
                       if (each.m_is_evacuated)
                       {
                           m_evacuated.insert(each.m_data_centre);
                       }
                       else
                       {
                           m_evacuated.erase(each.m_data_centre);
                       }
                       m_directory.set_evacuated(m_evacuated);
                       m_log.write(log_level::info, "evacuation",
                                   {{"data_centre", each.m_data_centre},
                                    {"state", each.m_is_evacuated ? "evacuated" : "taken_back"}});
                   }},
        meaning);
}

} // namespace teasellead::runtime
