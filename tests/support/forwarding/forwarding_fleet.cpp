#include "forwarding_fleet.hpp"

namespace teasellead::testing
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds search_timeout{1200};
constexpr milliseconds read_timeout{2000};
constexpr milliseconds order_timeout{3000};
constexpr std::size_t replicas = 3;
// fraction of the callers that use the previous key
constexpr double old_key_fraction = 0.1;

forwarding::route route_of(const std::string& name, forwarding::repeatability kind, milliseconds timeout,
                           forwarding::route_target target)
{
    forwarding::route result;
    result.m_name = name;
    result.m_hostname = "callers";
    result.m_prefix = "/" + name + "/";
    result.m_repeatability = kind;
    result.m_timeout = timeout;
    result.m_objective = timeout / 8;
    result.m_max_attempts = 3;
    result.m_target = std::move(target);
    return result;
}

std::string shard_name(std::size_t shard)
{
    return "shard-" + std::to_string(shard);
}

} // namespace

void forwarding_fleet::start_upstreams()
{
    std::vector<std::string> services{"read", "order"};
    for (std::size_t shard = 0; shard < most_shards; ++shard)
    {
        services.push_back(shard_name(shard));
    }
    for (const std::string& service : services)
    {
        for (std::size_t replica = 0; replica < replicas; ++replica)
        {
            const auto number = static_cast<std::uint32_t>(2000 + m_upstream_addresses.size());
            const endpoint address{number, 80};
            m_upstream_addresses.push_back(address);
            m_upstreams.start(address, service, name_of(data_centre_of(address)));
        }
    }
}

void forwarding_fleet::declare()
{
    forwarding::declarations next;
    next.m_version = ++m_version;
    forwarding::scatter scatter;
    scatter.m_max_records = 5;
    scatter.m_min_coverage = 0.5;
    for (std::size_t shard = 0; shard < m_shards; ++shard)
    {
        scatter.m_shards.push_back(shard_name(shard));
    }
    using forwarding::repeatability;
    next.m_routes = {
        route_of("search", repeatability::idempotent, search_timeout, scatter),
        route_of("read", repeatability::idempotent, read_timeout, forwarding::one_service{"read"}),
        route_of("order", repeatability::non_idempotent, order_timeout, forwarding::one_service{"order"})};
    next.m_services = {{"read", 100, cold_rate}, {"order", 100, cold_rate}};
    for (std::size_t shard = 0; shard < most_shards; ++shard)
    {
        next.m_services.push_back({shard_name(shard), 100, cold_rate});
    }
    for (const simulated_account& each : m_accounts)
    {
        next.m_accounts.push_back({each.m_name, each.m_rate, burst, {each.m_key}});
        auto& rates = m_events.m_rates[each.m_name];
        if (rates.empty() || rates.back().second != each.m_rate)
        {
            rates.emplace_back(m_queue.now(), each.m_rate);
        }
    }
    m_events.m_versions[m_version] = m_queue.now();
    m_events.m_shards[m_version] = scatter.m_shards;
    m_store.publish(declarations_key, std::move(next));
}

std::unique_ptr<simulated_fleet_node> forwarding_fleet::make_node(std::size_t number)
{
    runtime::forwarding_settings settings;
    settings.m_name = "node-" + std::to_string(number);
    settings.m_data_centre = name_of(data_centre_of(number));
    settings.m_peer_address = peer_address(number);
    settings.m_seeds = {peer_address(0), peer_address(3), peer_address(5)};
    settings.m_max_configuration_age = milliseconds{4500};
    settings.m_attempt_budget.m_slack = retry_slack;
    settings.m_account_bound = {std::chrono::seconds{5}, 0.25, 20.0};
    // the store is reachable unless the data centre is partitioned
    return std::make_unique<simulated_fleet_node>(m_world, number, std::move(settings),
                                                  [this, centre = data_centre_of(number)]
                                                  { return m_cuts[centre] == 0; });
}

void forwarding_fleet::send(std::size_t node, const std::vector<outgoing_message>& messages)
{
    for (const outgoing_message& each : messages)
    {
        const std::size_t target = each.m_receiver.address() - peer_address(0).address();
        const bool is_lost = m_random.unit() < m_loss;
        if (is_lost || target >= m_nodes.size() || !reaches(data_centre_of(node), data_centre_of(target)))
        {
            continue;
        }
        const std::uint64_t incarnation = m_nodes[node]->life();
        m_queue.after(std::chrono::microseconds{300 + m_random.below(3000)},
                      [this, node, target, incarnation, content = each.m_content]
                      {
                          m_nodes[target]->for_process(
                              [node, incarnation, content](simulated_process& process) {
                                  process.on_message({peer_address(node), incarnation, content});
                              });
                      });
    }
}

void forwarding_fleet::call_later(std::size_t account)
{
    const double demand = std::max(m_accounts[account].m_demand, 0.01);
    std::exponential_distribution<double> gap{demand};
    const auto delay = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::min(gap(m_random.engine()), 1.0)});
    m_queue.after(delay,
                  [this, account]
                  {
                      if (!m_are_callers_stopped)
                      {
                          call(m_accounts[account]);
                          call_later(account);
                      }
                  });
}

std::size_t forwarding_fleet::choose_node()
{
    constexpr int tries = 6;
    std::size_t chosen = 0;
    for (int attempt = 0; attempt < tries; ++attempt)
    {
        chosen = m_random.below(m_nodes.size());
        simulated_fleet_node& candidate = *m_nodes[chosen];
        // a balancer detects a stalled node only after a delay
        if (candidate.process() != nullptr && candidate.process()->takes_callers())
        {
            return chosen;
        }
    }
    return chosen;
}

void forwarding_fleet::call(const simulated_account& from)
{
    const double kind = m_random.unit();
    const std::string route = kind < 0.5 ? "search" : (kind > 0.8 ? "order" : "read");
    request_event event;
    event.m_account = from.m_name;
    const bool is_old_key = !from.m_old_key.empty() && m_random.unit() < old_key_fraction;
    event.m_key = is_old_key ? from.m_old_key : from.m_key;
    call(std::move(event), route, "/" + route + "/");
}

void forwarding_fleet::call(request_event event, const std::string& route, const std::string& target)
{
    event.m_id = "q" + std::to_string(++m_last_request);
    event.m_is_idempotent = route != "order";
    event.m_node = choose_node();
    event.m_sent = m_queue.now();
    event.m_timeout = route == "search" ? search_timeout : (route == "order" ? order_timeout : read_timeout);
    const simulated_request request{m_events.m_requests.size(), target};
    const std::size_t node = event.m_node;
    m_events.m_requests.push_back(std::move(event));
    m_queue.after(
        milliseconds{2}, [this, node, request]
        { m_nodes[node]->for_process([request](simulated_process& process) { process.take(request); }); });
}

void forwarding_fleet::crash_upstream(const endpoint& address, duration pause)
{
    const std::string service = m_upstreams.service_at(address);
    if (service.empty())
    {
        return;
    }
    m_upstreams.crash(address);
    m_queue.after(pause,
                  [this, address, service]
                  {
                      if (m_upstreams.instance_at(address).empty())
                      {
                          m_upstreams.start(address, service, name_of(data_centre_of(address)));
                      }
                  });
}

void forwarding_fleet::crash_upstreams(std::size_t account, const std::string& route, duration pause)
{
    if (m_are_callers_stopped)
    {
        return;
    }
    request_event event;
    event.m_account = m_accounts[account].m_name;
    event.m_key = m_accounts[account].m_key;
    event.m_crashes_upstreams = true;
    call(std::move(event), route, "/" + route + "/crash");
    const auto next = std::chrono::duration_cast<duration>(pause * (0.5 + m_random.unit()));
    m_queue.after(next, [this, account, route, pause] { crash_upstreams(account, route, pause); });
}

} // namespace teasellead::testing
