#include "teasellead/entry/fleet_agent.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/hashing.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead
{

namespace
{

constexpr std::chrono::milliseconds tick_period{20};
// number of long polls for the host list within its freshness, so that it is read again well before it
// expires
constexpr int host_list_polls_per_freshness = 3;
// shares of upstreams are recomputed for unchanged views if their validity is extended by more than this
constexpr std::chrono::milliseconds min_views_extension{250};
// a host joins with empty shares; it reports ready once it has had time to receive some
constexpr std::chrono::milliseconds ready_delay{500};
constexpr const char* services_path = "/v1/services";
constexpr const char* hosts_path = "/v1/hosts";

node_incarnation make_incarnation()
{
    constexpr std::size_t incarnation_bytes = 8;
    const std::string digits = random_hex(incarnation_bytes);
    node_incarnation incarnation = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), incarnation, 16);
    return incarnation;
}

membership_settings membership_settings_of(const node_settings& settings)
{
    membership_settings result;
    result.m_hello_period = settings.m_hello_period;
    result.m_list_lag = settings.m_list_lag;
    result.m_list_freshness = settings.m_list_freshness;
    return result;
}

/// whether this host is the only one of its data centre in every view
bool is_only_host_of_data_centre(const std::vector<host_view>& views)
{
    const auto has_other_host = [](const host_view& view)
    {
        return std::any_of(view.hosts().begin(), view.hosts().end(),
                           [&view](const listed_host& other) {
                               return other != view.self() &&
                                      other.data_centre() == view.self().data_centre();
                           });
    };
    return !views.empty() && std::none_of(views.begin(), views.end(), has_other_host);
}

/// time from which another host may own the cold-start requests that the views give to this host
time_point views_valid_until(const std::vector<host_view>& views, const limit_fraction& divided)
{
    // without the platform, no other host can join the data centre unnoticed by its only host
    return is_only_host_of_data_centre(views) ? std::max(divided.m_fraction_until, divided.m_reserved_until)
                                              : divided.m_fraction_until;
}

} // namespace

fleet_agent::fleet_agent(const node_settings& settings, const monotonic_clock& clock,
                         current_revision& revisions, upstream_table& upstreams, hedge_policy& hedging,
                         quarantine& crash_quarantine, decision_log& log)
    : m_self(settings.m_peer_listen, settings.m_data_centre), m_incarnation(make_incarnation()),
      m_clock(clock), m_revisions(revisions), m_upstreams(upstreams), m_hedging(hedging), m_log(log),
      m_link(make_zmq_peer_link(settings.m_peer_listen, m_incarnation, settings.m_fleet_key)),
      m_membership(m_self, m_incarnation, membership_settings_of(settings)),
      m_relay(revisions, m_self, relay_settings{}, random_source{m_incarnation}, clock.now()),
      m_limiter(m_self, make_limit_policy(settings.m_limits), m_incarnation),
      m_exchange(upstreams, crash_quarantine, m_incarnation),
      m_host_list_poll_timeout(settings.m_list_freshness / host_list_polls_per_freshness),
      m_gate(relay_settings{}.m_stall_limit),
      m_services_reader(settings.m_platform, services_path, clock,
                        [this](const platform_read_result& result) { on_services_read(result); }),
      m_host_list_reader(settings.m_platform, hosts_path, clock,
                         [this](const platform_read_result& result) { on_host_list_read(result); }),
      m_thread([this] { run(); })
{
}

fleet_agent::~fleet_agent()
{
    m_stopping = true;
    m_link->wake();
    m_thread.join();
}

admission fleet_agent::try_admit(const std::string& client_account)
{
    const std::scoped_lock lock{m_mutex};
    const admission result = m_limiter.try_admit(client_account, m_clock.now());
    if (m_limiter.wants_tick())
    {
        m_link->wake();
    }
    return result;
}

void fleet_agent::leave()
{
    const std::scoped_lock lock{m_mutex};
    m_leaving = true;
    m_membership.hello_now();
    m_link->wake();
}

bool fleet_agent::is_ready() const
{
    const std::scoped_lock lock{m_mutex};
    const bool has_share = m_clock.now() >= m_ready_from;
    return !m_leaving && has_share && admission_allowed() != admission_state::not_serving;
}

fleet_status fleet_agent::status() const
{
    fleet_status result;
    result.m_ready = is_ready();
    const std::scoped_lock lock{m_mutex};
    result.m_revision = m_revisions.get()->number();
    result.m_revision_age = m_clock.now() - m_relay.last_confirmed();
    result.m_rejection = m_relay.rejection();
    result.m_peers = m_membership.peers();
    result.m_leaving = m_leaving;
    result.m_is_platform_reader = m_relay.is_reader();
    result.m_platform_reads = m_relay.platform_reads();
    result.m_dropped_messages = m_link->dropped();
    return result;
}

void fleet_agent::apply_division(time_point now)
{
    m_limiter.on_limit_fraction(m_membership.current_limit_fraction(now), now);
}

void fleet_agent::apply_views(time_point now)
{
    const std::vector<host_view> views = m_membership.views(now);
    const time_point until = views_valid_until(views, m_membership.current_limit_fraction(now));
    const bool is_new = m_membership.version() != m_views_version;
    if (!is_new && until - m_views_valid_until <= min_views_extension)
    {
        return;
    }
    m_upstreams.set_views(views, until);
    m_views_valid_until = until;
    if (!is_new)
    {
        return;
    }
    m_limiter.on_views(views, now);
    m_views_version = m_membership.version();
    if (!views.empty() && m_ready_from == time_point::max())
    {
        m_ready_from = now + ready_delay;
    }
    const std::uint64_t hosts = views.empty() ? 0 : views.front().hosts().size();
    m_log.write(log_level::info, "placement", {{"version", m_views_version}, {"hosts", hosts}});
}

void fleet_agent::run()
{
    while (!m_stopping)
    {
        const std::vector<peer_message> messages = m_link->receive(tick_period);
        std::vector<outgoing_message> outgoing;
        {
            const std::scoped_lock lock{m_mutex};
            const time_point now = m_clock.now();
            for (const peer_message& message : messages)
            {
                handle_message(message, now, outgoing);
            }
            tick(now, outgoing);
            outgoing.insert(outgoing.end(), std::make_move_iterator(m_outbox.begin()),
                            std::make_move_iterator(m_outbox.end()));
            m_outbox.clear();
        }
        call_handlers();
        disconnect_unlisted_peers();
        for (const outgoing_message& message : outgoing)
        {
            m_link->send(message);
        }
    }
}

void fleet_agent::handle_message(const peer_message& message, time_point now,
                                 std::vector<outgoing_message>& outgoing)
{
    const endpoint& sender = message.m_sender;
    const auto add = [&outgoing](std::vector<outgoing_message> more)
    {
        outgoing.insert(outgoing.end(), std::make_move_iterator(more.begin()),
                        std::make_move_iterator(more.end()));
    };
    const auto to_limiter = [&](const auto& content)
    {
        add(m_limiter.on_message(sender, content, now));
    };
    std::visit(
        overloaded{[&](const hello& content)
                   {
                       m_membership.on_hello(sender, message.m_incarnation, content, now);
                       apply_division(now);
                       add(m_relay.on_announcement(sender, content.m_revision, now));
                   },
                   [&](const revision_request& content) { add(m_relay.on_request(sender, content, now)); },
                   [&](const revision_reply& content) { (void)m_relay.on_reply(sender, content, now); },
                   [&](const share_request& content) { to_limiter(content); },
                   [&](const share_grant& content) { to_limiter(content); },
                   [&](const share_return& content) { to_limiter(content); },
                   [&](const spare_shares& content) { to_limiter(content); },
                   [&](const auto& content)
                   {
                       m_exchange.on_message(sender, content, now, outgoing);
                   }},
        message.m_content);
}

void fleet_agent::tick(time_point now, std::vector<outgoing_message>& outgoing)
{
    const auto add = [&outgoing](std::vector<outgoing_message> more)
    {
        outgoing.insert(outgoing.end(), std::make_move_iterator(more.begin()),
                        std::make_move_iterator(more.end()));
    };
    add(m_relay.on_tick(m_membership.peers(), now));
    start_platform_reads(now);
    if (m_revisions.get()->number() != m_applied_revision)
    {
        on_revision_in_force(now);
    }
    m_gate.update(m_relay.may_serve(now), m_relay.needs_recheck(now), now);
    const node_status status{m_revisions.get()->number(), m_relay.may_serve(now) && !m_leaving, m_leaving,
                             m_limiter.data_centre_fraction()};
    add(m_membership.on_tick(status, now));
    apply_division(now);
    apply_views(now);
    add(m_limiter.on_tick(now));
    m_exchange.tick(m_membership.peers(), now, outgoing);
    log_relay_records();
}

void fleet_agent::call_handlers()
{
    std::vector<forwarded_request> forwarded;
    std::vector<forward_outcome> replies;
    forwarded_handler on_forwarded;
    {
        const std::scoped_lock lock{m_mutex};
        forwarded = m_exchange.take_forwarded();
        replies = m_exchange.take_replies();
        on_forwarded = m_on_forwarded;
    }
    for (const forward_outcome& outcome : replies)
    {
        outcome.m_handler(outcome.m_reply);
    }
    for (const forwarded_request& request : forwarded)
    {
        if (on_forwarded)
        {
            on_forwarded(request);
        }
    }
}

void fleet_agent::on_forwarded(forwarded_handler handler)
{
    const std::scoped_lock lock{m_mutex};
    m_on_forwarded = std::move(handler);
}

std::uint64_t fleet_agent::forward(const endpoint& issuing_host, forward_request request,
                                   forward_handler on_reply)
{
    const std::scoped_lock lock{m_mutex};
    outgoing_message message = m_exchange.forward(issuing_host, std::move(request), std::move(on_reply));
    const std::uint64_t correlation = std::get<forward_request>(message.m_content).m_correlation;
    m_outbox.push_back(std::move(message));
    m_link->wake();
    return correlation;
}

void fleet_agent::cancel_forward(std::uint64_t correlation)
{
    const std::scoped_lock lock{m_mutex};
    m_exchange.cancel_forward(correlation);
}

void fleet_agent::reply(const endpoint& peer, const forward_reply& answer)
{
    const std::scoped_lock lock{m_mutex};
    m_outbox.push_back({peer, answer});
    m_link->wake();
}

} // namespace teasellead
