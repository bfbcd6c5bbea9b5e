#include <benchmark/benchmark.h>
#include <string>
#include <vector>

#include "simulated_node.hpp"
#include "teasellead/fleet/configuration_relay.hpp"
#include "teasellead/kernel/configuration_parser.hpp"
#include "teasellead/kernel/hashing.hpp"

namespace
{

using namespace teasellead;
using teasellead::testing::services_text;

void tick_with_peers(benchmark::State& state)
{
    current_revision cell;
    manual_clock clock;
    configuration_relay relay{cell, listed_host{endpoint{1, 1}, "north"}, {}, random_source{1}, clock.now()};
    std::vector<peer_status> peers;
    for (std::uint32_t number = 0; number < static_cast<std::uint32_t>(state.range(0)); ++number)
    {
        peers.push_back({listed_host{endpoint{2 + number, 1}, "north"}, 1, 1, true, false, clock.now()});
    }
    relay.on_text(1, services_text(1, 3), clock.now());
    for ([[maybe_unused]] const auto iteration : state)
    {
        clock.advance(std::chrono::microseconds{1});
        benchmark::DoNotOptimize(relay.on_tick(peers, clock.now()));
    }
}

void hear_of_the_revision_in_force(benchmark::State& state)
{
    current_revision cell;
    manual_clock clock;
    configuration_relay relay{cell, listed_host{endpoint{1, 1}, "north"}, {}, random_source{1}, clock.now()};
    relay.on_text(1, services_text(1, 3), clock.now());
    for ([[maybe_unused]] const auto iteration : state)
    {
        benchmark::DoNotOptimize(relay.on_announcement(endpoint{2, 1}, 1, clock.now()));
    }
}

void parse_text(benchmark::State& state)
{
    const std::string text = services_text(1, static_cast<std::size_t>(state.range(0)));
    for ([[maybe_unused]] const auto iteration : state)
    {
        benchmark::DoNotOptimize(parse_configuration(text));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

void make_and_apply_delta(benchmark::State& state)
{
    const std::string base = services_text(1, static_cast<std::size_t>(state.range(0)));
    const std::string target = services_text(2, static_cast<std::size_t>(state.range(0)));
    std::size_t bytes = 0;
    for ([[maybe_unused]] const auto iteration : state)
    {
        const std::vector<text_edit> delta = make_delta(base, target);
        bytes = delta_bytes(delta);
        benchmark::DoNotOptimize(digest_hex(apply_delta(base, delta)));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK(tick_with_peers)->Arg(8)->Arg(80)->Arg(308);
BENCHMARK(hear_of_the_revision_in_force);
BENCHMARK(parse_text)->Arg(30)->Arg(1'000)->Arg(16'500)->Unit(benchmark::kMicrosecond);
BENCHMARK(make_and_apply_delta)->Arg(30)->Arg(1'000)->Arg(16'500)->Unit(benchmark::kMicrosecond);

} // namespace
