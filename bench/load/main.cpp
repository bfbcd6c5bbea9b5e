// end-to-end load test: platform, upstreams and nodes as processes on loopback, open-loop callers
#include <chrono>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <thread>

#include "deployment.hpp"
#include "load_report.hpp"
#include "open_loop.hpp"
#include "process_fleet.hpp"
#include "teasellead/entry/http_client.hpp"

namespace
{

using namespace bench;
using namespace std::chrono_literals;
using test_support::process_fleet;

constexpr unsigned first_net = 60;
constexpr auto warm_up = 4s;

/// settings of one run
struct run_settings
{
    std::string m_deployment;
    std::string m_label;
    std::vector<std::string> m_node_flags;
    std::string m_scenario;
    unsigned m_nodes{0};
    std::size_t m_callers{0};
    std::string m_delay_ms;
    std::string m_spread;
    std::string m_slow_fraction;
    traffic m_traffic;
};

std::vector<std::string> baseline_flags(const std::string& baseline)
{
    if (baseline == "no-hedging")
    {
        return {"--hedging", "none"};
    }
    if (baseline == "random-replica")
    {
        return {"--replica-selector", "random"};
    }
    if (baseline == "no-cold-start")
    {
        return {"--cold-start-limit", "off"};
    }
    if (baseline == "static-split")
    {
        return {"--limits", "static-split"};
    }
    throw std::runtime_error("unknown baseline \"" + baseline + "\"");
}

void start_fleet(process_fleet& fleet, const deployment& target, const run_settings& settings)
{
    std::uint64_t seed = settings.m_traffic.m_seed;
    for (const upstream_group& group : target.m_upstreams)
    {
        fleet.start_upstreams(group.m_name, group.m_addresses,
                              {settings.m_delay_ms, settings.m_spread, settings.m_slow_fraction,
                               std::to_string(++seed), std::to_string(group.m_slots)},
                              false);
    }
    std::vector<unsigned> numbers;
    for (unsigned number = 1; number <= settings.m_nodes; ++number)
    {
        const auto& centre = target.m_data_centres[(number - 1) % target.m_data_centres.size()];
        std::vector<std::string> flags = settings.m_node_flags;
        flags.insert(flags.end(), {"--log-level", "warning"});
        fleet.start_node(number, centre, flags);
        numbers.push_back(number);
    }
    fleet.publish_hosts(numbers);
    for (const unsigned number : numbers)
    {
        fleet.wait_until_ready(number);
    }
}

std::vector<teasellead::endpoint> caller_addresses(const process_fleet& fleet, unsigned nodes)
{
    std::vector<teasellead::endpoint> result;
    for (unsigned number = 1; number <= nodes; ++number)
    {
        result.push_back(
            teasellead::endpoint::parse(fleet.resolve("NET." + std::to_string(number) + ".10:8080")));
    }
    return result;
}

std::uint64_t received(process_fleet& fleet, const deployment& target)
{
    std::uint64_t total = 0;
    for (const upstream_group& group : target.m_upstreams)
    {
        for (const std::string& address : group.m_addresses)
        {
            total += fleet.seen_by(address).at("count").get<std::uint64_t>();
        }
    }
    return total;
}

node_usage usage_of_all(process_fleet& fleet, unsigned nodes)
{
    node_usage total;
    for (unsigned number = 1; number <= nodes; ++number)
    {
        total = total + usage_of(fleet.process("node-" + std::to_string(number)).id());
    }
    return total;
}

/// triggers the events of a scenario while the callers send
void play_scenario(process_fleet& fleet, const deployment& target, const run_settings& settings)
{
    if (settings.m_scenario == "steady")
    {
        return;
    }
    if (settings.m_scenario != "data-centre-move")
    {
        throw std::runtime_error("unknown scenario \"" + settings.m_scenario + "\"");
    }
    const auto third = std::chrono::milliseconds{settings.m_traffic.m_duration} / 3;
    std::this_thread::sleep_for(third);
    fleet.publish_services(take_out(target.m_text, target.m_data_centres.front()));
    std::this_thread::sleep_for(third);
    fleet.publish_services(target.m_text);
}

run_result run(const deployment& target, const run_settings& settings, unsigned net)
{
    process_fleet fleet{net, target.m_text};
    start_fleet(fleet, target, settings);
    const auto nodes = caller_addresses(fleet, settings.m_nodes);
    traffic warming = settings.m_traffic;
    warming.m_duration = warm_up;
    (void)run_open_loop(make_arrivals(target, warming), target, nodes, settings.m_callers);
    const std::uint64_t before = received(fleet, target);
    const node_usage usage_before = usage_of_all(fleet, settings.m_nodes);
    std::thread scenario{[&]
                         {
                             play_scenario(fleet, target, settings);
                         }};
    run_result result;
    result.m_label = settings.m_label;
    result.m_samples =
        run_open_loop(make_arrivals(target, settings.m_traffic), target, nodes, settings.m_callers);
    scenario.join();
    result.m_nodes = settings.m_nodes;
    result.m_usage = usage_of_all(fleet, settings.m_nodes);
    result.m_usage.m_processor_time -= usage_before.m_processor_time;
    result.m_sub_requests = received(fleet, target) - before;
    for (const sample& current : result.m_samples)
    {
        result.m_first_sub_requests += current.m_status == 200 ? target.m_fan_out[current.m_path] : 0;
    }
    return result;
}

/// latencies of calls sent directly to one upstream
void print_floor(const run_settings& settings, unsigned net)
{
    constexpr int calls = 2000;
    process_fleet fleet{net, make_deployment("wide").m_text};
    fleet.start_upstreams("floor", {"1.1:9000"}, {settings.m_delay_ms, settings.m_spread, "0"}, false);
    teasellead::http_client client{teasellead::endpoint::parse(fleet.resolve("NET.1.1:9000"))};
    std::vector<double> latencies;
    for (int call = 0; call < calls; ++call)
    {
        const auto begin = std::chrono::steady_clock::now();
        (void)client.call("POST", "/query", {}, "{}", 5s);
        latencies.push_back(
            std::chrono::duration<double, std::milli>{std::chrono::steady_clock::now() - begin}.count());
    }
    std::sort(latencies.begin(), latencies.end());
    std::cout << "floor (one upstream, called directly): p50 " << latencies[calls / 2] << " ms, p99 "
              << latencies[calls * 99 / 100] << " ms\n";
}

cxxopts::Options make_options()
{
    cxxopts::Options options{"teasellead-load", "End-to-end load test on loopback"};
    auto add = options.add_options();
    add("deployment", "nets-office, consortium or wide",
        cxxopts::value<std::string>()->default_value("wide"));
    add("baseline", "also without a mechanism: no-hedging, random-replica, no-cold-start, static-split",
        cxxopts::value<std::string>()->default_value(""));
    add("scenario", "steady or data-centre-move", cxxopts::value<std::string>()->default_value("steady"));
    add("nodes", "number of nodes", cxxopts::value<unsigned>()->default_value("3"));
    add("callers", "number of threads that send", cxxopts::value<std::size_t>()->default_value("64"));
    add("seconds", "length of the run", cxxopts::value<unsigned>()->default_value("10"));
    add("rate", "fraction of each account's rate that is sent",
        cxxopts::value<double>()->default_value("0.5"));
    add("noisy", "how many times its rate the first account sends",
        cxxopts::value<double>()->default_value("1"));
    add("skew", "weight of the first third of the nodes in the balancer",
        cxxopts::value<double>()->default_value("1"));
    add("delay-ms", "median processing time of an upstream in ms",
        cxxopts::value<std::string>()->default_value("5"));
    add("spread", "sigma of the log-normal processing time",
        cxxopts::value<std::string>()->default_value("0.3"));
    add("slow-fraction", "fraction of the sub-requests that are ten times slower",
        cxxopts::value<std::string>()->default_value("0"));
    add("seed", "seed of arrivals and upstreams", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("json", "file for the summary", cxxopts::value<std::string>()->default_value(""));
    add("help", "print this text");
    return options;
}

run_settings read_settings(const cxxopts::ParseResult& flags)
{
    run_settings settings;
    settings.m_deployment = flags["deployment"].as<std::string>();
    settings.m_label = "teasellead";
    settings.m_scenario = flags["scenario"].as<std::string>();
    settings.m_nodes = flags["nodes"].as<unsigned>();
    settings.m_callers = flags["callers"].as<std::size_t>();
    settings.m_delay_ms = flags["delay-ms"].as<std::string>();
    settings.m_spread = flags["spread"].as<std::string>();
    settings.m_slow_fraction = flags["slow-fraction"].as<std::string>();
    settings.m_traffic.m_duration = std::chrono::seconds{flags["seconds"].as<unsigned>()};
    settings.m_traffic.m_rate_factor = flags["rate"].as<double>();
    settings.m_traffic.m_noisy_factor = flags["noisy"].as<double>();
    settings.m_traffic.m_seed = flags["seed"].as<std::uint64_t>();
    for (unsigned node = 0; node < settings.m_nodes; ++node)
    {
        const bool is_preferred = node < settings.m_nodes / 3;
        settings.m_traffic.m_node_weights.push_back(is_preferred ? flags["skew"].as<double>() : 1.0);
    }
    return settings;
}

int measure(const cxxopts::ParseResult& flags)
{
    run_settings settings = read_settings(flags);
    const deployment target = make_deployment(settings.m_deployment);
    unsigned net = first_net;
    print_floor(settings, net++);
    nlohmann::ordered_json summaries = nlohmann::ordered_json::array();
    summaries.push_back(summarise(target, run(target, settings, net++)));
    std::cout << to_text(summaries.back());
    if (const auto baseline = flags["baseline"].as<std::string>(); !baseline.empty())
    {
        settings.m_label = "baseline " + baseline;
        settings.m_node_flags = baseline_flags(baseline);
        summaries.push_back(summarise(target, run(target, settings, net++)));
        std::cout << to_text(summaries.back());
    }
    if (const auto file = flags["json"].as<std::string>(); !file.empty())
    {
        std::ofstream{file} << summaries.dump(2) << '\n';
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options options = make_options();
        const auto flags = options.parse(argc, argv);
        if (flags.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        return measure(flags);
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
