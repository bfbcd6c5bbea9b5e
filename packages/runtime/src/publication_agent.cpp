#include "publication_agent.hpp"

#include <algorithm>
#include <array>
#include <set>

#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead::runtime
{

namespace
{

using std::chrono::milliseconds;

// entries that expired while the source was unreachable are published again within this time of its return
constexpr milliseconds expiry_grace{2200};
// time of two ticks, one of which drops the entries
constexpr milliseconds drop_allowance{200};

// an evacuation that the source has lost stays in force for this time, in which the operator repeats it
constexpr std::chrono::seconds lost_evacuation_time{60};

/// time after the source's return from a backup in which the entry of an upstream that has ended expires
/// again
duration held_back_time(const forwarding_settings& settings)
{
    // an entry expires after three periods without a report; one more for the source itself
    constexpr int periods = 4;
    return periods * settings.m_report_period;
}

/// periods of a node's requests to its peers, and the limit of its replies
follower_settings follower_settings_of(const forwarding_settings& settings)
{
    // portion of the link that relayed items may use
    constexpr double relay_portion = 0.25;
    follower_settings result =
        follower_settings::for_bounds(settings.m_max_configuration_age, settings.m_change_bound);
    result.m_relay_bytes_per_second = settings.m_link_bytes_per_second * relay_portion;
    return result;
}

/// the item without its entry if that has an address of this node, to which its own requests would come back
forwarding::directory_item without_own_address(forwarding::directory_item item,
                                               const forwarding_settings& settings)
{
    const std::array<endpoint, 4> own{settings.m_caller_address, settings.m_readiness_address,
                                      settings.m_peer_address, settings.m_metrics_address};
    if (item.m_entry && std::find(own.begin(), own.end(), item.m_entry->m_address) != own.end())
    {
        item.m_entry.reset();
    }
    return item;
}

/// state of an entry in the log
std::string_view state_of(const forwarding::directory_item& item, forwarding::entry_outcome outcome)
{
    switch (outcome)
    {
    case forwarding::entry_outcome::outdated:
        return "outdated";
    case forwarding::entry_outcome::held_back:
        return "held_back";
    case forwarding::entry_outcome::removed:
        return "unusable";
    case forwarding::entry_outcome::listed:
        break;
    }
    return item.m_entry->m_is_draining ? "draining" : "ready";
}

} // namespace

publication_agent::publication_agent(const deployment& platform, asio::io_context& loop,
                                     const monotonic_clock& clock, const endpoint& self,
                                     forwarding::configuration_lease& lease,
                                     forwarding::upstream_directory& directory, request_log& log,
                                     std::function<void(received_declarations)> on_declarations)
    : m_platform(platform), m_clock(clock), m_configuration_lease(lease), m_directory(directory), m_log(log),
      m_on_declarations(std::move(on_declarations)),
      m_follower(self, follower_settings_of(platform.settings()), std::hash<endpoint>{}(self)),
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
    if (m_has_expired_entries && now >= m_expiry_grace_end)
    {
        m_has_expired_entries = false;
        m_directory.remove_expired();
    }
    end_restoration(now);
    // the first listing is read from the source, because no peer is known yet
    const bool reads_source = !is_complete() || m_follower.reads_source(now);
    if (reads_source != m_reads_source)
    {
        m_reads_source = reads_source;
        m_log.write(log_level::info, "publication_origin", {{"origin", reads_source ? "source" : "peer"}});
    }
    if (reads_source)
    {
        m_source->start(m_items.as_of());
    }
    else
    {
        m_source->stop();
    }
    return m_follower.on_tick(m_items.as_of(), now);
}

outgoing_message publication_agent::on_request(const endpoint& sender, const publication_request& request)
{
    const time_point now = m_clock.now();
    return m_follower.answer(sender, request, m_items, std::max(duration::zero(), m_expiry_grace_end - now),
                             now);
}

void publication_agent::on_reply(const endpoint& sender, const publication_reply& reply)
{
    const publication_position before = m_items.as_of();
    // a node that was current a moment ago knows that the source wasn't away for long enough to expire
    // entries
    const bool may_have_expired = may_have_expired_entries(m_follower.current_at());
    const auto updates = m_follower.on_reply(sender, reply, m_items);
    if (!updates)
    {
        return;
    }
    if (may_have_expired)
    {
        extend_expiry_grace(updates->m_expiry_grace_end);
    }
    apply_changes(before, updates->m_items, "peer");
    // the follower itself has recorded the confirmation already
    if (updates->m_confirmed_at && !m_has_invalid_item)
    {
        m_configuration_lease.renew(*updates->m_confirmed_at);
    }
}

void publication_agent::on_listing(const std::vector<published_item>& items,
                                   const publication_position& as_of, const confirmation_times& times)
{
    const publication_position before = m_items.as_of();
    apply_changes(before, m_items.on_listing(items, as_of), "source");
    if (m_items.as_of().epoch() == as_of.epoch())
    {
        confirm(times);
    }
}

void publication_agent::on_changes(const std::vector<published_item>& items,
                                   const publication_position& as_of, const confirmation_times& times)
{
    const publication_position before = m_items.as_of();
    apply_changes(before, m_items.on_changes(items, as_of), "source");
    if (before.epoch() == as_of.epoch())
    {
        confirm(times);
    }
}

void publication_agent::on_source_lost(const std::string& reason, time_point unreachable_since)
{
    m_follower.on_source(false, m_clock.now());
    m_unreachable_since = unreachable_since;
    m_log.write(log_level::warning, "source_lost", {{"reason", reason}});
}

void publication_agent::on_source_regained(time_point last_failed_call)
{
    const time_point now = m_clock.now();
    m_follower.on_source(true, now);
    // peers may have kept this node current meanwhile
    const bool may_have_expired =
        may_have_expired_entries(std::max(m_unreachable_since, m_follower.current_at()));
    if (may_have_expired)
    {
        // removed entries are dropped in time even if only the connection of this node had fallen silent
        const time_point latest = last_failed_call + m_platform.settings().m_settling_time - drop_allowance;
        extend_expiry_grace(std::min(now + expiry_grace, latest));
    }
    m_log.write(log_level::info, "source_regained",
                {{"reason", "answered"}, {"keeps_removed", std::uint64_t{may_have_expired ? 1U : 0U}}});
}

bool publication_agent::may_have_expired_entries(time_point since) const
{
    // an entry expires after three periods without a report, and the last one before an outage may be up to
    // one period old; half a period allows for irregular reports
    const duration shortest_outage = m_platform.settings().m_report_period * 3 / 2;
    return m_clock.now() - since >= shortest_outage;
}

void publication_agent::confirm(const confirmation_times& times)
{
    if (m_has_invalid_item)
    {
        return;
    }
    m_configuration_lease.renew(times.m_confirmed_at);
    m_follower.on_confirmation(times);
}

void publication_agent::extend_expiry_grace(time_point until)
{
    m_expiry_grace_end = std::max(m_expiry_grace_end, until);
}

bool publication_agent::is_in_expiry_grace() const
{
    return m_clock.now() < m_expiry_grace_end;
}

void publication_agent::apply_changes(const publication_position& before,
                                      const std::vector<published_item>& items, std::string_view origin)
{
    const publication_position& after = m_items.as_of();
    m_is_restoring = before.has_items() && after.epoch() != before.epoch();
    if (m_is_restoring)
    {
        const time_point now = m_clock.now();
        extend_expiry_grace(now + expiry_grace);
        m_held_back_end = now + held_back_time(m_platform.settings());
        m_evacuations.keep_lost_until(now + lost_evacuation_time);
        m_log.write(log_level::warning, "source_restored",
                    {{"epoch", after.epoch()},
                     {"revision", after.revision()},
                     {"previous_epoch", before.epoch()},
                     {"previous_revision", before.revision()},
                     {"changes", std::uint64_t{items.size()}},
                     {"origin", origin}});
    }
    apply_all(items, origin);
    m_is_restoring = false;
}

void publication_agent::end_restoration(time_point now)
{
    if (m_held_back_end != time_point{} && now >= m_held_back_end)
    {
        m_held_back_end = time_point{};
        m_directory.release_held_back(now);
    }
    const std::set<std::string> ended = m_evacuations.end_lost(now);
    for (const std::string& data_centre : ended)
    {
        m_log.write(log_level::warning, "evacuation",
                    {{"data_centre", data_centre}, {"state", "not_repeated"}});
    }
    if (!ended.empty())
    {
        m_directory.set_evacuated(m_evacuations.in_force());
    }
}

void publication_agent::apply_all(const std::vector<published_item>& items, std::string_view origin)
{
    for (const published_item& item : items)
    {
        try
        {
            apply(item, origin);
        }
        catch (const protocol_error& error)
        {
            // the configuration in use may be older than this item, so it can't be confirmed as current
            m_has_invalid_item = true;
            m_log.write(log_level::error, "unreadable_item",
                        {{"key", item.m_key}, {"origin", origin}, {"error", std::string_view{error.what()}}});
        }
    }
    log_outdated(origin);
}

void publication_agent::log_outdated(std::string_view origin)
{
    const outdated_publications passed = m_items.take_outdated();
    if (passed.is_empty())
    {
        return;
    }
    m_outdated.m_items += passed.m_items;
    m_outdated.m_listings += passed.m_listings;
    m_log.write(log_level::info, "publication_outdated",
                {{"origin", origin},
                 {"items", passed.m_items},
                 {"listings", passed.m_listings},
                 {"key", passed.m_key},
                 {"epoch", passed.m_position.epoch()},
                 {"revision", passed.m_position.revision()},
                 {"known_epoch", passed.m_known.epoch()},
                 {"known_revision", passed.m_known.revision()}});
}

void publication_agent::apply_entry(const upstream_published& published, std::uint64_t revision,
                                    std::string_view origin)
{
    const forwarding::directory_item usable = without_own_address(published.m_item, m_platform.settings());
    const time_point now = m_clock.now();
    const forwarding::entry_outcome outcome =
        m_is_restoring ? m_directory.on_restored(usable, now) : m_directory.on_change(usable, now);
    m_outdated.m_entries += outcome == forwarding::entry_outcome::outdated ? 1 : 0;
    m_log.write(log_level::info, "upstream",
                {{"instance", usable.m_instance},
                 {"service", usable.m_entry ? usable.m_entry->m_service : ""},
                 {"state", state_of(usable, outcome)},
                 {"revision", revision},
                 {"sequence", usable.m_entry ? usable.m_entry->m_sequence : 0},
                 {"origin", origin}});
}

void publication_agent::apply_removal(const upstream_withdrawn& withdrawn, std::uint64_t revision,
                                      std::string_view origin)
{
    const bool keeps = is_in_expiry_grace();
    m_has_expired_entries = m_has_expired_entries || keeps;
    m_directory.on_removed(withdrawn.m_instance, keeps);
    m_log.write(log_level::info, "upstream",
                {{"instance", withdrawn.m_instance},
                 {"state", keeps ? "lapsed" : "removed"},
                 {"revision", revision},
                 {"origin", origin}});
}

void publication_agent::apply_evacuation(const data_centre_evacuated& published, std::uint64_t revision,
                                         std::string_view origin)
{
    const std::string& data_centre = published.m_data_centre;
    std::string_view state = "taken_back";
    if (published.m_is_evacuated)
    {
        m_evacuations.on_published(data_centre);
        state = "evacuated";
    }
    else if (m_is_restoring && m_evacuations.on_lost(data_centre))
    {
        state = "lost_by_source";
    }
    else
    {
        m_evacuations.on_taken_back(data_centre);
    }
    m_directory.set_evacuated(m_evacuations.in_force());
    m_log.write(log_level::info, "evacuation",
                {{"data_centre", data_centre}, {"state", state}, {"revision", revision}, {"origin", origin}});
}

void publication_agent::apply(const published_item& item, std::string_view origin)
{
    publication meaning = m_platform.decode(item);
    std::visit(overloaded{[](const irrelevant_item&) {},
                          [this, &item, origin](forwarding::declarations& next)
                          {
                              m_has_invalid_item = false;
                              // a change that was published before the last confirmation is known already
                              m_on_declarations({std::move(next), item.m_revision, origin,
                                                 m_configuration_lease.age(m_clock.now())});
                          },
                          [this, &item, origin](const upstream_published& each)
                          { apply_entry(each, item.m_revision, origin); },
                          [this, &item, origin](const upstream_withdrawn& each)
                          { apply_removal(each, item.m_revision, origin); },
                          [this, &item, origin](const data_centre_evacuated& each)
                          {
                              apply_evacuation(each, item.m_revision, origin);
                          }},
               meaning);
}

} // namespace teasellead::runtime
