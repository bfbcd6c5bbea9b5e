#include "platform_fleet.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace test_support
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr unsigned store_host = 1;
constexpr unsigned upstream_host = 2;
constexpr unsigned first_node_host = 10;
constexpr unsigned callers_port = 8363;
constexpr unsigned readiness_port = 8364;
constexpr unsigned peers_port = 8360;
constexpr unsigned first_internal_port = 7740;
constexpr milliseconds ready_timeout{8000};
constexpr milliseconds ready_check_interval{20};
const std::string single_service = "single";

std::string make_directory()
{
    std::string name = "/tmp/teasellead-platform-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error("can't make a directory for a test");
    }
    return name;
}

/// `shard-a`, `shard-b` and so on, `shard-za` after `shard-z`
std::vector<std::string> shard_names(unsigned count)
{
    constexpr unsigned letters = 26;
    std::vector<std::string> result;
    for (unsigned number = 0; number < count; ++number)
    {
        const std::string prefix(number / letters, 'z');
        result.push_back("shard-" + prefix + static_cast<char>('a' + number % letters));
    }
    return result;
}

json route_of(const std::string& name, const std::string& type, milliseconds timeout)
{
    return {{"name", name},
            {"hostname", "one.example"},
            {"prefix", "/" + name + "/"},
            {"type", type},
            {"timeoutMs", timeout.count()},
            {"targetLatencyMs", 200},
            {"priority", 1},
            {"maxAttempts", 2},
            {"public", false}};
}

} // namespace

platform_fleet::platform_fleet(unsigned net, unsigned shards, std::vector<std::string> launcher)
    : m_net("127." + std::to_string(net)), m_shards(shard_names(shards)), m_launcher(std::move(launcher)),
      m_directory(make_directory())
{
    m_store =
        std::make_unique<standin_store>(m_thread, teasellead::endpoint::parse(address(store_host, 8361)));
    unsigned number = 0;
    for (const std::string& shard : m_shards)
    {
        add_upstream(shard, number++);
        add_upstream(shard, number++);
    }
    add_upstream(single_service, number++);
    add_upstream(single_service, number++);
    publish(1, {"key-1", "key-2"});
}

platform_fleet::~platform_fleet()
{
    m_nodes.clear();
}

void platform_fleet::set_grace_period(std::chrono::seconds grace_period)
{
    m_grace_period = grace_period;
}

void platform_fleet::set_route_timeout(milliseconds timeout)
{
    m_route_timeout = timeout;
}

void platform_fleet::set_limits(unsigned memory_mb, unsigned max_descriptors)
{
    m_memory_mb = memory_mb;
    m_max_descriptors = max_descriptors;
}

std::vector<standin_upstream*> platform_fleet::single_upstreams() const
{
    std::vector<standin_upstream*> result;
    for (const auto& upstream : m_upstreams)
    {
        if (upstream->service() == single_service)
        {
            result.push_back(upstream.get());
        }
    }
    return result;
}

std::size_t platform_fleet::runs_of(const std::string& request_id) const
{
    std::size_t count = 0;
    for (const auto& upstream : m_upstreams)
    {
        const auto runs = upstream->runs();
        count += static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(),
                                                        [&request_id](const upstream_run& run)
                                                        { return run.m_request_id == request_id; }));
    }
    return count;
}

void platform_fleet::calm_upstreams()
{
    for (const auto& upstream : m_upstreams)
    {
        upstream->set_behaviour({});
    }
}

std::string platform_fleet::address(unsigned host, unsigned port) const
{
    return m_net + ".0." + std::to_string(host) + ":" + std::to_string(port);
}

void platform_fleet::add_upstream(const std::string& service, unsigned number)
{
    constexpr unsigned first_port = 9000;
    const auto where = teasellead::endpoint::parse(address(upstream_host, first_port + number));
    m_upstreams.push_back(
        std::make_unique<standin_upstream>(m_thread, where, service + "-" + std::to_string(number), service));
    m_store->put("servers/" + m_upstreams.back()->instance(), m_upstreams.back()->entry("ready", 1));
}

void platform_fleet::publish(std::uint64_t version, const std::vector<std::string>& keys)
{
    json scatter = route_of("all", "idempotent", m_route_timeout);
    scatter["fanoutServices"] = m_shards;
    scatter["topK"] = 10;
    scatter["minCoverage"] = 0.6;
    json read = route_of("read", "idempotent", m_route_timeout);
    read["service"] = single_service;
    json book = route_of("book", "non_idempotent", m_route_timeout);
    book["service"] = single_service;
    json services = json::array({{{"name", single_service}}});
    for (const std::string& shard : m_shards)
    {
        services.push_back({{"name", shard}});
    }
    const json configuration{
        {"version", version},
        {"routes", {scatter, read, book}},
        {"services", services},
        {"limits", {{"idleTimeoutMs", 8000}}},
        {"tenants",
         {{{"name", "school"}, {"apiKeys", keys}, {"requestsPerS", 500}, {"burstSize", 500}},
          {{"name", "club"}, {"apiKeys", {"key-club"}}, {"requestsPerS", 2}, {"burstSize", 2}}}}};
    m_store->put("op/config", configuration.dump());
}

std::string platform_fleet::settings_of(unsigned number) const
{
    const unsigned host = first_node_host + number;
    return json{
        {"nodeName", "node-" + std::to_string(number)},
        {"zone", "north"},
        {"bindAddresses",
         {{"front", address(host, callers_port)},
          {"readiness", address(host, readiness_port)},
          {"control", address(host, peers_port)}}},
        {"internalPorts", {first_internal_port, first_internal_port + 15}},
        {"seeds", {address(first_node_host + 1, peers_port), address(first_node_host + 2, peers_port)}},
        {"bounds",
         {{"strictRevocation", true},
          {"revokeTimeoutMs", revocation_bound.count()},
          {"gracePeriodS", m_grace_period.count()},
          {"retryBudgetRatio", 0.2},
          {"retryBudgetSlack", 56},
          {"retryWindowS", 10},
          {"quotaWindowS", 5},
          {"quotaOverage", 0.25},
          {"quotaSlack", 5}}},
        {"limits", {{"memoryMb", m_memory_mb}, {"maxFds", m_max_descriptors}}},
        {"platform", {{"address", address(store_host, 8361)}}}}
        .dump();
}

std::string platform_fleet::settings_path(unsigned number) const
{
    return m_directory + "/node-" + std::to_string(number) + ".json";
}

void platform_fleet::write_seeds(unsigned number, const std::vector<std::string>& seeds) const
{
    json settings = json::parse(settings_of(number));
    settings["seeds"] = seeds;
    std::ofstream{settings_path(number)} << settings.dump();
}

void platform_fleet::break_settings(unsigned number) const
{
    std::ofstream{settings_path(number)} << "{";
}

teasellead::endpoint platform_fleet::metrics_of(unsigned number) const
{
    return teasellead::endpoint::parse(address(first_node_host + number, first_internal_port + 1));
}

void platform_fleet::launch_node(unsigned number, const std::string& output)
{
    const std::string log = m_directory + "/node-" + std::to_string(number) + ".log";
    std::ofstream{settings_path(number)} << settings_of(number);
    std::vector<std::string> command = m_launcher;
    command.push_back(std::string{TEASELLEAD_BIN_DIR} + "/teasellead");
    m_nodes.emplace(number, child_process{std::move(command),
                                          {"TEASELLEAD_SETTINGS=" + settings_path(number)},
                                          output.empty() ? log : output});
}

void platform_fleet::start_node(unsigned number)
{
    launch_node(number);
    wait_until_ready(number);
}

void platform_fleet::wait_until_ready(unsigned number)
{
    const auto readiness = teasellead::endpoint::parse(address(first_node_host + number, readiness_port));
    const auto end = std::chrono::steady_clock::now() + ready_timeout;
    while (std::chrono::steady_clock::now() < end)
    {
        if (plain_caller{readiness}.call("GET", "/api/readyz", "probe", "").m_status == 200)
        {
            return;
        }
        std::this_thread::sleep_for(ready_check_interval);
    }
    throw std::runtime_error("node " + std::to_string(number) + " didn't become ready: " + output_of(number));
}

child_process& platform_fleet::node(unsigned number)
{
    return m_nodes.at(number);
}

void platform_fleet::forget_node(unsigned number)
{
    m_nodes.erase(number);
}

teasellead::endpoint platform_fleet::callers_of(unsigned number) const
{
    return teasellead::endpoint::parse(address(first_node_host + number, callers_port));
}

std::string platform_fleet::output_of(unsigned number) const
{
    std::ifstream file{m_directory + "/node-" + std::to_string(number) + ".log"};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace test_support
