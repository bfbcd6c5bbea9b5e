#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "fleet_simulation.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::simulation;

/// upstreams that start cold while the rest of the fleet stays warm
struct recovery_case
{
    std::string m_name;
    std::function<bool(std::uint32_t shard, std::uint32_t data_centre)> m_restarts;
};

/// measurements over all seeds of a case
struct recovery
{
    std::uint64_t m_overloads{0};
    double m_answered_first_second{0.0};
    double m_answered_all{0.0};
    milliseconds m_full_share_median{0};
    milliseconds m_full_share_p95{0};
};

constexpr std::uint64_t seeds = 20;
constexpr milliseconds step{10};
constexpr seconds observed{5};
constexpr double tolerance = 0.01; // fraction of the requests

/// policy for requests to cold upstreams
struct policy
{
    std::string m_name;
    bool m_cold_start_limit;
    bool m_wait_when_cold;
};

const policy limited{"limited", true, false};
const policy limited_and_waiting{"limited, requests wait", true, true};
const policy unlimited{"unlimited", false, false};

fleet_settings settings_of(const policy& tested)
{
    fleet_settings settings;
    settings.m_hosts_per_data_centre = 3;
    settings.m_limits = upstream_limits{3, 30, 1};
    settings.m_start_warm = true;
    settings.m_cold_start_limit = tested.m_cold_start_limit;
    settings.m_wait_when_cold = tested.m_wait_when_cold;
    return settings;
}

double answered_fraction(const fleet_counts& before, const fleet_counts& after)
{
    return static_cast<double>(after.m_answered - before.m_answered) /
           static_cast<double>(after.m_requests - before.m_requests);
}

/// whether every restarted upstream is warm and accepts the full share of each host
bool has_recovered(fleet_simulation& fleet, const std::vector<endpoint>& restarted, bool cold_start_limit)
{
    const auto accepts_full_share = [&](const endpoint& address)
    {
        const simulated_upstream& target = fleet.upstream(address);
        const bool is_warm = target.process() != 0 && target.warm();
        return is_warm && (!cold_start_limit || fleet.known_warm(address) == 1.0);
    };
    return std::all_of(restarted.begin(), restarted.end(), accepts_full_share);
}

recovery measure(const recovery_case& tested, const policy& used)
{
    const fleet_settings settings = settings_of(used);
    recovery result;
    std::vector<milliseconds> times;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        fleet_simulation fleet{settings, seed};
        fleet.run_for(seconds{4});
        const std::size_t overloads_before = fleet.overloads().size();
        const fleet_counts before = fleet.counts();
        std::vector<endpoint> restarted;
        for (auto& [address, target] : fleet.upstreams())
        {
            const std::uint32_t offset = address.address() - upstream_address(0, 0).address();
            if (tested.m_restarts(offset >> 8U, offset & 0xFFU))
            {
                restarted.push_back(address);
                fleet.restart(address);
            }
        }
        milliseconds full_share = std::chrono::duration_cast<milliseconds>(observed);
        for (milliseconds passed = step; passed <= observed; passed += step)
        {
            fleet.run_for(step);
            if (passed == seconds{1})
            {
                result.m_answered_first_second += answered_fraction(before, fleet.counts()) / seeds;
            }
            const bool is_first = full_share == observed;
            if (is_first && has_recovered(fleet, restarted, used.m_cold_start_limit))
            {
                full_share = passed;
            }
        }
        result.m_answered_all += answered_fraction(before, fleet.counts()) / seeds;
        result.m_overloads += fleet.overloads().size() - overloads_before;
        times.push_back(full_share);
    }
    std::sort(times.begin(), times.end());
    result.m_full_share_median = times[times.size() / 2];
    result.m_full_share_p95 = times[times.size() * 19 / 20];
    return result;
}

void print(const std::string& name, const std::string& policy, const recovery& measured)
{
    std::cout << name << " | " << policy << " | overloads " << measured.m_overloads << " | full share after "
              << measured.m_full_share_median.count() << " ms, p95 " << measured.m_full_share_p95.count()
              << " ms | answered in 1 s " << measured.m_answered_first_second << ", in 5 s "
              << measured.m_answered_all << '\n';
}

const std::vector<recovery_case>& recovery_cases()
{
    static const std::vector<recovery_case> cases{
        {"one replica",
         [](std::uint32_t shard, std::uint32_t centre)
         {
             return shard == 0 && centre == 0;
         }},
        {"a data centre",
         [](std::uint32_t, std::uint32_t centre)
         {
             return centre == 0;
         }},
        {"all replicas of a shard",
         [](std::uint32_t shard, std::uint32_t)
         {
             return shard == 0;
         }},
        {"all upstreams",
         [](std::uint32_t, std::uint32_t)
         {
             return true;
         }},
    };
    return cases;
}

class cold_start_time_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_start_time_test);
    CPPUNIT_TEST(recovers_without_overload);
    CPPUNIT_TEST_SUITE_END();

  public:
    void recovers_without_overload()
    {
        for (const recovery_case& tested : recovery_cases())
        {
            const recovery base = measure(tested, unlimited);
            print(tested.m_name, unlimited.m_name, base);
            for (const policy& used : {limited, limited_and_waiting})
            {
                const recovery measured = measure(tested, used);
                print(tested.m_name, used.m_name, measured);
                const std::string message = tested.m_name + ", " + used.m_name;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::uint64_t{0}, measured.m_overloads);
                CPPUNIT_ASSERT_MESSAGE(message, measured.m_full_share_median < observed);
                CPPUNIT_ASSERT_MESSAGE(message, measured.m_answered_all >= base.m_answered_all - tolerance);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_start_time_test);

} // namespace
