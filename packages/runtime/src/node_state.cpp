#include "node_state.hpp"

#include <algorithm>
#include <chrono>
#include <concepts>
#include <iterator>
#include <memory>

#include "dispatch_exposition.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "work_exposition.hpp"

namespace teasellead::runtime
{

namespace
{

using messages = std::vector<outgoing_message>;

/// messages that nodes exchange about the rate limits of accounts
template <class Content>
concept quota_message = std::same_as<Content, token_request> || std::same_as<Content, token_grant> ||
    std::same_as<Content, bucket_request> || std::same_as<Content, bucket_reply>;

/// messages that nodes exchange about requests that may crash upstreams
template <class Content>
concept crash_message = std::same_as<Content, crash_notice> || std::same_as<Content, trial_request> ||
    std::same_as<Content, trial_reply>;

/// log event for a change of a request's restriction
std::string_view event_of(forwarding::request_restriction standing)
{
    switch (standing)
    {
    case forwarding::request_restriction::clear:
        return "request_cleared";
    case forwarding::request_restriction::isolated:
        return "request_isolated";
    case forwarding::request_restriction::refused:
        return "request_refused";
    }
    return "unknown";
}

std::uint64_t whole_milliseconds(duration length)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(length).count());
}

void append(messages& target, messages more)
{
    target.insert(target.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

} // namespace

node_state::node_state(const deployment& platform, asio::io_context& loop, const monotonic_clock& clock,
                       request_log& log, node_incarnation incarnation, node_callbacks callbacks)
    : m_clock(clock), m_log(log), m_callbacks(std::move(callbacks)), m_random(incarnation),
      m_budget(platform.settings().m_attempt_budget),
      m_configuration_lease(platform.settings().m_max_configuration_age),
      m_cold_starts(platform.settings().m_peer_address), m_directory(platform.settings().m_data_centre),
      m_crash_exchange(platform.settings().m_peer_address, m_crashes),
      m_observations(platform.settings().m_peer_address, data_centre_id_of(platform.settings().m_data_centre),
                     m_directory),
      m_quotas(platform.settings().m_peer_address, platform.settings().m_account_bound,
               {data_centre_id_of(platform.settings().m_data_centre), platform.settings().m_data_centres}),
      m_members(platform.settings().m_peer_address, platform.settings().m_data_centre, incarnation,
                platform.settings().m_seeds, roster_settings{}, clock.now()),
      m_connection_limits(
          {platform.settings().m_peer_address, data_centre_id_of(platform.settings().m_data_centre)},
          m_directory),
      m_dispatch_context{m_directory,
                         m_budget,
                         m_cold_starts,
                         m_crashes,
                         m_random,
                         [this](const forwarding::upstream& target)
                         {
                             // without a share, one connection for an attempt that has no other upstream
                             return m_callbacks.m_has_capacity(
                                 target, std::max<std::size_t>(connection_limit(target), 1));
                         }},
      m_publications(platform, loop, clock, platform.settings().m_peer_address, m_configuration_lease,
                     m_directory, log,
                     [this](received_declarations next) { on_declarations(std::move(next)); })
{
    m_directory.set_share_check([this](const forwarding::upstream& target) { return has_share(target); });
}

messages node_state::on_tick(bool is_leaving)
{
    const time_point now = m_clock.now();
    observe_loop(now);
    m_is_leaving = m_is_leaving || is_leaving;
    messages result = m_members.on_tick(is_leaving, m_random, now);
    m_publications.on_members(m_members.peers(true, now), m_members.peers(false, now));
    append(result, m_publications.on_tick());
    m_quotas.on_tick(now);
    apply_membership(now);
    process_ended_upstreams();
    m_crash_exchange.on_tick(m_random, now);
    append(result, m_observations.on_tick(m_random, now));
    append(result, take_messages());
    log_crashes();
    log_observations(now);
    log_holders();
    log_freshness(now);
    return result;
}

std::size_t node_state::lift_requests(std::string_view digits)
{
    const std::size_t lifted = m_crashes.lift(digits, m_clock.now());
    m_log.write(log_level::info, "requests_lifted", {{"request", digits}, {"count", std::uint64_t{lifted}}});
    return lifted;
}

messages node_state::take_messages()
{
    m_crash_exchange.on_requests(m_clock.now());
    messages result = m_quotas.take_messages();
    append(result, m_crash_exchange.take_messages());
    return result;
}

messages node_state::on_message(const peer_message& message)
{
    const endpoint& sender = message.m_sender;
    const time_point now = m_clock.now();
    messages result = std::visit(overloaded{[&](const roster_notice& content)
                                            { return m_members.on_notice(sender, content, now); },
                                            [&]<quota_message Content>(const Content& content)
                                            {
                                                m_quotas.on_message(sender, content, now);
                                                return messages{};
                                            },
                                            [&]<crash_message Content>(const Content& content)
                                            {
                                                m_crash_exchange.on_message(sender, content, now);
                                                return messages{};
                                            },
                                            [&](const observation_notice& content)
                                            {
                                                m_observations.on_message(sender, content, now);
                                                return messages{};
                                            },
                                            [&](const publication_request& content)
                                            { return messages{m_publications.on_request(sender, content)}; },
                                            [&](const publication_reply& content)
                                            {
                                                m_publications.on_reply(sender, content);
                                                return messages{};
                                            },
                                            [](const auto&)
                                            {
                                                // other kinds of nodes use the remaining messages
                                                return messages{};
                                            }},
                                 message.m_content);
    append(result, take_messages());
    return result;
}

messages node_state::leave()
{
    const time_point now = m_clock.now();
    m_is_leaving = true;
    messages result = m_members.on_tick(true, m_random, now);
    apply_membership(now);
    append(result, take_messages());
    return result;
}

bool node_state::is_ready() const
{
    return m_table && m_publications.is_complete() && m_members.has_joined(m_clock.now());
}

void node_state::observe_loop(time_point now)
{
    constexpr std::chrono::milliseconds notable_delay{500};
    if (m_ticked_at)
    {
        const duration delay = std::max<duration>(now - *m_ticked_at - tick_period, duration::zero());
        m_loop_delays.add(delay);
        if (delay >= notable_delay)
        {
            m_log.write(log_level::warning, "loop_late", {{"delay_ms", whole_milliseconds(delay)}});
        }
    }
    m_ticked_at = now;
}

void node_state::on_declarations(received_declarations received)
{
    forwarding::declarations& next = received.m_content;
    if (m_table && next.m_version <= m_table->version())
    {
        return;
    }
    m_log.write(
        log_level::info, "configuration",
        {{"version", next.m_version},
         {"previous", m_table ? m_table->version() : std::uint64_t{0}},
         {"routes", std::uint64_t{next.m_routes.size()}},
         {"accounts", std::uint64_t{next.m_accounts.size()}},
         {"revision", received.m_revision},
         {"origin", received.m_origin},
         {"delay_bound_ms", m_table ? whole_milliseconds(received.m_delay_bound) : std::uint64_t{0}}});
    if (m_table)
    {
        m_configuration_delays.add(received.m_delay_bound);
    }
    m_table = std::make_shared<const forwarding::route_table>(std::move(next));
    m_connection_limits.on_table(m_table);
    m_cold_starts.on_services(m_table->content().m_services);
    m_quotas.on_declarations(m_table->content().m_accounts, m_clock.now());
    m_callbacks.m_on_route_table(m_table);
}

void node_state::apply_membership(time_point now)
{
    const std::size_t counted = m_members.counted_nodes(now);
    const std::size_t recent = std::max<std::size_t>(m_members.recent_nodes(now), 1);
    m_budget.set_slack_share(1.0 / static_cast<double>(recent));
    if (m_connection_limits.on_members(m_members.recent_locations(), m_members.has_converged(now)))
    {
        m_log.write(log_level::info, "connection_shares",
                    {{"nodes", std::uint64_t{m_connection_limits.nodes()}},
                     {"settled", std::uint64_t{m_members.has_converged(now) ? 1U : 0U}}});
    }
    const std::vector<endpoint> peers = m_members.peers(now);
    const std::vector<peer_status> statuses = m_members.peer_statuses(now);
    m_crash_exchange.on_members(statuses, m_is_leaving);
    m_observations.on_members(statuses);
    m_quotas.on_members({statuses, m_members.expected_nodes(now), m_members.has_agreed(now), m_is_leaving,
                         m_members.expected_local_nodes(now)},
                        now);
    m_cold_starts.on_members(peers, m_members.has_converged(now) && !m_members.may_be_isolated(now));
    if (counted != m_logged_node_count)
    {
        m_logged_node_count = counted;
        m_log.write(log_level::info, "nodes", {{"counted", std::uint64_t{counted}}});
    }
}

void node_state::process_ended_upstreams()
{
    for (const forwarding::ended_upstream& each : m_directory.take_ended())
    {
        ++m_ended_upstreams;
        m_crashes.on_ended(each.m_process, m_clock.now());
        m_log.write(log_level::warning, "upstream_ended",
                    {{"instance", each.m_process.m_instance}, {"service", each.m_service}});
    }
}

void node_state::log_crashes()
{
    for (const forwarding::restriction_change& each : m_crashes.take_restriction_changes())
    {
        m_log.write(log_level::warning, event_of(each.m_restriction),
                    {{"request", std::string_view{each.m_fingerprint}.substr(0, fingerprint_digits)},
                     {"lost", std::uint64_t{each.m_lost}},
                     {"ended", std::uint64_t{each.m_ended}},
                     {"lost_in_isolation", std::uint64_t{each.m_isolated}},
                     {"since_ms", whole_milliseconds(each.m_age)}});
    }
}

void node_state::log_holders()
{
    for (const holder_change& each : m_quotas.take_holder_changes())
    {
        m_log.write(log_level::info, "limit_bucket",
                    {{"account", each.m_account},
                     {"state", each.m_is_holder ? "held" : "released"},
                     {"usable", each.m_usable_fraction}});
    }
}

void node_state::log_observations(time_point now)
{
    constexpr duration end_of_trouble = std::chrono::seconds{5};
    for (const rejected_observations& each : m_observations.take_rejected())
    {
        m_log.write(log_level::warning, "observations_rejected",
                    {{"sender", each.m_sender.to_string()},
                     {"reason", to_string(each.m_fault)},
                     {"instance", each.m_instance},
                     {"count", std::uint64_t{each.m_count}}});
    }
    const std::size_t in_trouble = m_observations.counts().m_in_trouble;
    const bool was_in_trouble = m_trouble_seen_at.has_value();
    if (in_trouble > 0)
    {
        m_trouble_seen_at = now;
    }
    else if (m_trouble_seen_at && now - *m_trouble_seen_at >= end_of_trouble)
    {
        m_trouble_seen_at.reset();
    }
    if (was_in_trouble != m_trouble_seen_at.has_value())
    {
        m_log.write(log_level::info, "upstreams_observed",
                    {{"in_trouble", std::uint64_t{in_trouble}},
                     {"sent", m_observations.counts().m_sent},
                     {"received", m_observations.counts().m_received}});
    }
}

std::string node_state::observations_exposition() const
{
    const exchange_counts& counts = m_observations.counts();
    std::string rejected = "# TYPE teasellead_observations_rejected_total counter\n";
    for (std::size_t fault = 0; fault < observation_faults; ++fault)
    {
        rejected.append("teasellead_observations_rejected_total{reason=\"")
            .append(to_string(static_cast<observation_fault>(fault)))
            .append("\"} " + std::to_string(counts.m_rejected.at(fault)) + "\n");
    }
    return exposition_line("teasellead_upstreams_in_trouble", "gauge", counts.m_in_trouble) +
           exposition_line("teasellead_observations_sent_total", "counter", counts.m_sent) +
           exposition_line("teasellead_observations_received_total", "counter", counts.m_received) + rejected;
}

void node_state::log_freshness(time_point now)
{
    const bool is_fresh = m_configuration_lease.is_valid(now);
    if (is_fresh != m_was_fresh)
    {
        m_was_fresh = is_fresh;
        m_log.write(is_fresh ? log_level::info : log_level::warning,
                    is_fresh ? "configuration_fresh" : "configuration_too_old",
                    {{"age_ms", whole_milliseconds(m_configuration_lease.age(now))}});
    }
}

bool node_state::has_share(const forwarding::upstream& target)
{
    const bool result = connection_limit(target) > 0;
    m_without_share += result ? 0 : 1;
    return result;
}

std::string node_state::exposition() const
{
    const time_point now = m_clock.now();
    return exposition_line("teasellead_configuration_version", "gauge", m_table ? m_table->version() : 0) +
           exposition_line("teasellead_configuration_age_milliseconds", "gauge",
                           whole_milliseconds(m_configuration_lease.age(now))) +
           exposition_line("teasellead_counted_nodes", "gauge", m_members.counted_nodes(now)) +
           exposition_line("teasellead_upstreams", "gauge", m_directory.size()) +
           exposition_line("teasellead_isolated_requests", "gauge",
                           m_crashes.count(forwarding::request_restriction::isolated)) +
           exposition_line("teasellead_refused_requests", "gauge",
                           m_crashes.count(forwarding::request_restriction::refused)) +
           exposition_line("teasellead_upstreams_ended_total", "counter", m_ended_upstreams) +
           exposition_line("teasellead_upstream_connections_allowed", "gauge",
                           m_connection_limits.allowed()) +
           exposition_line("teasellead_starved_services", "gauge", m_connection_limits.starved_services()) +
           exposition_line("teasellead_upstreams_without_share_total", "counter", m_without_share) +
           dispatch_exposition(m_dispatch_context) + work_exposition(m_dispatch_context) +
           observations_exposition() + m_publications.exposition() +
           "# TYPE teasellead_configuration_delay_milliseconds histogram\n" +
           m_configuration_delays.lines("teasellead_configuration_delay_milliseconds") +
           "# TYPE teasellead_loop_delay_milliseconds histogram\n" +
           m_loop_delays.lines("teasellead_loop_delay_milliseconds");
}

} // namespace teasellead::runtime
