#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>
#include <vector>

#include "load_measurement.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// limits that are never reached, so that only the policy under test has an effect
const topology_parameters wide_topology{.m_shards = 63, .m_limits = {1024, 4096, 2}};
const std::vector<std::uint64_t> seeds{1, 2};
constexpr seconds time_limit{5};

void print(const std::string& name, std::uint64_t seed, phase_figures& figures)
{
    std::cout << name << ", seed " << seed << ": " << figures.m_latencies.size() << " answers, p50 "
              << figures.quantile_ms(0.5) << " ms, p99 " << figures.quantile_ms(0.99) << " ms, extra "
              << 100.0 * figures.extra() << " %, missing " << 100.0 * figures.missing() << " %\n";
}

/// replica 0 of five shards is ten times slower than usual
duration time_with_slow_replicas(const sub_request& request, random_source& random)
{
    constexpr std::uint32_t slow_shards = 5;
    constexpr int factor = 10;
    const duration usual = straggling_time(random);
    for (std::uint32_t shard = 0; shard < slow_shards; ++shard)
    {
        if (request.m_upstream == replica_address(shard, 0))
        {
            return usual * factor;
        }
    }
    return usual;
}

class stragglers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stragglers_test);
    CPPUNIT_TEST(reduce_the_tail_latency_of_random_stragglers);
    CPPUNIT_TEST(tolerate_slow_replicas_for_minutes);
    CPPUNIT_TEST(add_no_load_to_overloaded_upstreams);
    CPPUNIT_TEST(add_no_load_while_every_replica_is_slow);
    CPPUNIT_TEST_SUITE_END();

  public:
    void reduce_the_tail_latency_of_random_stragglers()
    {
        const std::vector<arrival_phase> phases{{seconds{5}, milliseconds{5}},
                                                {seconds{30}, milliseconds{5}}};
        for (const std::uint64_t seed : seeds)
        {
            phase_figures baseline = run({"random", "none"}, phases, seed, false).back();
            phase_figures hedged = run({}, phases, seed, false).back();
            print("stragglers, baseline", seed, baseline);
            print("stragglers, hedged", seed, hedged);
            CPPUNIT_ASSERT(hedged.quantile_ms(0.99) <= 0.25 * baseline.quantile_ms(0.99));
            CPPUNIT_ASSERT(hedged.extra() <= 0.02);
        }
    }

    void tolerate_slow_replicas_for_minutes()
    {
        const std::vector<arrival_phase> phases{{seconds{5}, milliseconds{10}},
                                                {seconds{120}, milliseconds{25}}};
        for (const std::uint64_t seed : seeds)
        {
            phase_figures usual = run({}, phases, seed, false).back();
            phase_figures slow = run({}, phases, seed, true).back();
            print("slow replicas, none", seed, usual);
            print("slow replicas, five", seed, slow);
            CPPUNIT_ASSERT(slow.quantile_ms(0.99) <= 1.5 * usual.quantile_ms(0.99));
            CPPUNIT_ASSERT(slow.extra() <= 0.03);
        }
    }

    void add_no_load_to_overloaded_upstreams()
    {
        const topology_parameters topology{.m_shards = 16, .m_limits = {64, 4096, 2}};
        // three replicas with four processors each sustain a query every 0.46 ms
        const std::vector<arrival_phase> phases{{seconds{5}, std::chrono::microseconds{900}},
                                                {seconds{3}, std::chrono::microseconds{320}},
                                                {seconds{4}, std::chrono::microseconds{320}},
                                                {seconds{6}, std::chrono::microseconds{900}}};
        for (const std::uint64_t seed : seeds)
        {
            random_source random{seed};
            const auto time = [](const sub_request&, random_source& source)
            {
                return straggling_time(source);
            };
            auto figures =
                measure({}, topology, phases, milliseconds{200}, random, queueing_upstreams{time, random});
            print("overload, before", seed, figures[0]);
            print("overload, first seconds", seed, figures[1]);
            print("overload, then", seed, figures[2]);
            print("overload, after", seed, figures[3]);
            CPPUNIT_ASSERT(figures[1].extra() <= figures[0].extra());
            CPPUNIT_ASSERT(figures[2].extra() <= 0.05 * figures[0].extra());
            CPPUNIT_ASSERT(figures[3].missing() <= 0.01);
        }
    }

    void add_no_load_while_every_replica_is_slow()
    {
        constexpr int factor = 3;
        const std::vector<arrival_phase> phases{{seconds{10}, milliseconds{10}},
                                                {seconds{10}, milliseconds{10}},
                                                {seconds{60}, milliseconds{25}}};
        for (const std::uint64_t seed : seeds)
        {
            random_source random{seed};
            const time_point slow_from = manual_clock{}.now() + phases.front().m_length;
            const auto time = [slow_from](const sub_request& request, random_source& source)
            {
                return straggling_time(source) * (request.m_arrival >= slow_from ? factor : 1);
            };
            auto figures =
                measure({}, wide_topology, phases, time_limit, random, independent_upstreams{time, random});
            print("all slow, before", seed, figures[0]);
            print("all slow, first seconds", seed, figures[1]);
            print("all slow, then", seed, figures[2]);
            CPPUNIT_ASSERT(figures[1].extra() <= figures[0].extra());
            CPPUNIT_ASSERT(figures[2].extra() <= 0.05 * figures[0].extra());
        }
    }

  private:
    static std::vector<phase_figures> run(const policy_parameters& policy,
                                          const std::vector<arrival_phase>& phases, std::uint64_t seed,
                                          bool with_slow_replicas)
    {
        random_source random{seed};
        const time_point slow_from = manual_clock{}.now() + phases.front().m_length;
        const auto time = [&](const sub_request& request, random_source& source)
        {
            const bool is_slow = with_slow_replicas && request.m_arrival >= slow_from;
            return is_slow ? time_with_slow_replicas(request, source) : straggling_time(source);
        };
        return measure(policy, wide_topology, phases, time_limit, random,
                       independent_upstreams{time, random});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stragglers_test);

} // namespace
