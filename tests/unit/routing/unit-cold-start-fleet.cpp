#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <iostream>
#include <string>

#include "fleet_simulation.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::simulation;

/// a failure that is caused while a fleet is under load
struct failure_case
{
    std::string m_name;
    fleet_settings m_settings;
    std::function<void(fleet_simulation&)> m_cause;
    std::uint64_t m_seeds;
};

endpoint any_upstream(fleet_simulation& fleet, const fleet_settings& settings)
{
    return upstream_address(static_cast<std::uint32_t>(fleet.random().below(settings.m_shards)),
                            static_cast<std::uint32_t>(fleet.random().below(settings.m_data_centres)));
}

simulated_host& any_host(fleet_simulation& fleet)
{
    return *fleet.hosts()[fleet.random().below(fleet.hosts().size())];
}

/// the host that owns an upstream's cold-start allowance according to the current host list
simulated_host& owner_of(fleet_simulation& fleet, const endpoint& upstream)
{
    const host_view view{1, fleet.listed().front(), fleet.listed()};
    const listed_host owner = cold_owner_of(replica{data_centre_of(upstream), upstream, false}, view);
    const auto is_owner = [&owner](const std::unique_ptr<simulated_host>& host)
    {
        return host->alive() && host->self() == owner;
    };
    const auto found = std::find_if(fleet.hosts().begin(), fleet.hosts().end(), is_owner);
    return found == fleet.hosts().end() ? any_host(fleet) : **found;
}

void restart_some(fleet_simulation& fleet)
{
    for (int round = 0; round < 8; ++round)
    {
        fleet.run_for(fleet.delay(milliseconds{20}, milliseconds{400}));
        fleet.restart(any_upstream(fleet, fleet_settings{}));
    }
    fleet.run_for(seconds{1});
}

void restart_all(fleet_simulation& fleet)
{
    fleet.run_for(milliseconds{500});
    for (auto& [address, target] : fleet.upstreams())
    {
        fleet.restart(address);
    }
    fleet.run_for(seconds{2});
}

/// the upstreams of a data centre restart, or lose their caches, while it is out of service
void return_data_centre(fleet_simulation& fleet)
{
    const fleet_settings settings;
    const bool restarts = fleet.random().below(2) == 0;
    fleet.run_for(milliseconds{500});
    fleet.configure(make_configuration(settings, 1, false));
    fleet.run_for(settings.m_list_lag + answer_time + milliseconds{100});
    for (std::uint32_t number = 0; number < settings.m_shards; ++number)
    {
        const endpoint address = upstream_address(number, 1);
        if (restarts)
        {
            fleet.restart(address);
        }
        fleet.upstream(address).turn_cold();
    }
    fleet.run_for(milliseconds{500});
    fleet.configure(make_configuration(settings, -1, false));
    fleet.run_for(seconds{3});
}

void report_misleading_health(fleet_simulation& fleet)
{
    for (int round = 0; round < 100; ++round)
    {
        fleet.run_for(milliseconds{25});
        if (round % 20 == 0)
        {
            fleet.restart(any_upstream(fleet, fleet_settings{}));
        }
        for (auto& [address, target] : fleet.upstreams())
        {
            any_host(fleet).table().on_health(address, !target.warm(), fleet.events().now());
        }
    }
}

/// hosts join and leave, and each host receives the changed list at a different time
void change_lists(fleet_simulation& fleet)
{
    const fleet_settings settings;
    const auto all = fleet.listed();
    for (std::uint32_t round = 0; round < 4; ++round)
    {
        auto fewer = all;
        const std::size_t removed = fleet.random().below(fewer.size());
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(removed));
        fleet.list(round % 2 == 0 ? fewer : all);
        for (int restarts = 0; restarts < 3; ++restarts)
        {
            fleet.run_for(fleet.delay(milliseconds{50}, milliseconds{300}));
            fleet.restart(any_upstream(fleet, settings));
        }
        fleet.run_for(settings.m_list_lag);
    }
    fleet.run_for(seconds{1});
}

/// a host is stalled and misses restarts, a change of the host list and many messages
void stall_host(fleet_simulation& fleet)
{
    const fleet_settings settings;
    fleet.run_for(milliseconds{600});
    simulated_host& stalled = any_host(fleet);
    stalled.sleep_until(fleet.events().now() + seconds{30});
    auto fewer = fleet.listed();
    std::erase(fewer, stalled.self());
    const auto all = fleet.listed();
    fleet.run_for(milliseconds{100});
    fleet.list(fewer);
    for (int round = 0; round < 3; ++round)
    {
        fleet.run_for(seconds{1});
        fleet.restart(any_upstream(fleet, settings));
    }
    const duration left = stalled.asleep_until() - fleet.events().now();
    fleet.run_for(left - fleet.delay(milliseconds{50}, milliseconds{500}));
    for (auto& [address, target] : fleet.upstreams())
    {
        fleet.restart(address);
    }
    fleet.run_for(seconds{1});
}

/// hosts stall at any time, also between the choice of an upstream and the first byte sent to it
void stall_hosts(fleet_simulation& fleet)
{
    for (int round = 0; round < 12; ++round)
    {
        for (int pauses = 0; pauses < 3; ++pauses)
        {
            fleet.run_for(fleet.delay(duration::zero(), milliseconds{60}));
            const duration length = fleet.delay(milliseconds{20}, milliseconds{900});
            any_host(fleet).sleep_until(fleet.events().now() + length);
        }
        fleet.restart(any_upstream(fleet, fleet_settings{}));
        fleet.restart(any_upstream(fleet, fleet_settings{}));
    }
    fleet.run_for(seconds{1});
}

/// a host is killed; a new incarnation of it starts, or it is removed from the host list
void kill_hosts(fleet_simulation& fleet)
{
    const fleet_settings settings;
    fleet.run_for(milliseconds{500});
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation)
    {
        const endpoint restarted = any_upstream(fleet, settings);
        simulated_host& killed = fleet.random().below(4) == 0 ? any_host(fleet) : owner_of(fleet, restarted);
        if (!killed.alive())
        {
            continue;
        }
        const listed_host listed = killed.self();
        fleet.restart(restarted);
        fleet.run_for(fleet.delay(milliseconds{1}, milliseconds{600}));
        fleet.kill(&killed);
        fleet.run_for(fleet.delay(milliseconds{20}, milliseconds{150}));
        if (fleet.random().below(2) == 0)
        {
            fleet.start_host(listed, incarnation);
        }
        else
        {
            auto fewer = fleet.listed();
            std::erase(fewer, listed);
            fleet.list(fewer);
        }
        fleet.run_for(settings.m_list_lag + milliseconds{500});
    }
    fleet.run_for(seconds{1});
}

/// two shards exchange their upstreams' addresses
void exchange_addresses(fleet_simulation& fleet)
{
    const fleet_settings settings;
    fleet.run_for(milliseconds{500});
    for (int round = 0; round < 2; ++round)
    {
        for (std::uint32_t centre = 0; centre < settings.m_data_centres; ++centre)
        {
            fleet.restart(upstream_address(0, centre));
            fleet.restart(upstream_address(1, centre));
        }
        fleet.configure(make_configuration(settings, -1, round == 0));
        fleet.run_for(seconds{1});
    }
}

void cause_all_failures(fleet_simulation& fleet)
{
    restart_some(fleet);
    change_lists(fleet);
    report_misleading_health(fleet);
    kill_hosts(fleet);
    exchange_addresses(fleet);
}

fleet_settings started_warm()
{
    fleet_settings settings;
    settings.m_start_warm = true;
    return settings;
}

fleet_settings stalled_before_sending()
{
    fleet_settings settings = started_warm();
    settings.m_pause_before_send = 0.005;
    return settings;
}

const std::vector<failure_case>& failure_cases()
{
    static const std::vector<failure_case> cases{
        {"start with all cold", fleet_settings{}, [](fleet_simulation& fleet) { fleet.run_for(seconds{2}); },
         100},
        {"restarts under load", started_warm(), restart_some, 300},
        {"all replicas cold at once", started_warm(), restart_all, 100},
        {"data centre returns", started_warm(), return_data_centre, 100},
        {"health misleads", started_warm(), report_misleading_health, 100},
        {"host lists differ", started_warm(), change_lists, 150},
        {"host sleeps 30 s", started_warm(), stall_host, 20},
        {"hosts pause", started_warm(), stall_hosts, 150},
        {"hosts pause before sending", stalled_before_sending(), restart_some, 150},
        {"owner killed", started_warm(), kill_hosts, 150},
        {"address reused", started_warm(), exchange_addresses, 50},
        {"all failures", started_warm(), cause_all_failures, 50},
    };
    return cases;
}

class cold_start_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_start_fleet_test);
    CPPUNIT_TEST(no_upstream_is_overloaded);
    CPPUNIT_TEST(data_centre_out_of_service_gets_no_requests);
    CPPUNIT_TEST(connections_stay_within_the_limit);
    CPPUNIT_TEST_SUITE_END();

  public:
    void no_upstream_is_overloaded()
    {
        for (const failure_case& tested : failure_cases())
        {
            std::uint64_t overloads = 0;
            std::uint64_t first_seed = 0;
            std::uint64_t answered = 0;
            std::uint64_t requests = 0;
            for (std::uint64_t seed = 1; seed <= tested.m_seeds; ++seed)
            {
                fleet_simulation fleet{tested.m_settings, seed};
                tested.m_cause(fleet);
                first_seed = overloads == 0 ? seed : first_seed;
                overloads += fleet.overloads().size();
                answered += fleet.counts().m_answered;
                requests += fleet.counts().m_requests;
            }
            const std::string seen = tested.m_name + ": " + std::to_string(overloads) + " overloads in " +
                                     std::to_string(tested.m_seeds) + " seeds, first in seed " +
                                     std::to_string(first_seed) + ", answered " + std::to_string(answered) +
                                     " of " + std::to_string(requests);
            std::cout << seen << std::endl;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, std::uint64_t{0}, overloads);
        }
    }

    /// requests in flight when a host adopts the configuration end normally; no request starts later
    void data_centre_out_of_service_gets_no_requests()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed)
        {
            const fleet_settings settings = started_warm();
            fleet_simulation fleet{settings, seed};
            fleet.run_for(seconds{1});
            fleet.configure(make_configuration(settings, 1, false));
            fleet.run_for(settings.m_list_lag);
            const std::uint64_t accepted = accepted_by(fleet, settings, 1);
            // sub-requests whose upstream was chosen before the change may still arrive
            fleet.run_for(milliseconds{10});
            const std::uint64_t after_delay = accepted_by(fleet, settings, 1);
            fleet.run_for(seconds{2});
            CPPUNIT_ASSERT(accepted > 0);
            CPPUNIT_ASSERT_EQUAL(after_delay, accepted_by(fleet, settings, 1));
            CPPUNIT_ASSERT(accepted_by(fleet, settings, 0) > after_delay);
        }
    }

    void connections_stay_within_the_limit()
    {
        for (const std::uint32_t limit : {6U, 9U, 20U})
        {
            for (std::uint64_t seed = 1; seed <= 20; ++seed)
            {
                fleet_settings settings = started_warm();
                settings.m_limits = upstream_limits{6, limit, 1};
                settings.m_requests_per_second = 400.0;
                fleet_simulation fleet{settings, seed};
                restart_some(fleet);
                CPPUNIT_ASSERT(fleet.most_connections() > 0);
                CPPUNIT_ASSERT_LESSEQUAL(limit, fleet.most_connections());
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.overloads().size());
            }
        }
    }

  private:
    static std::uint64_t accepted_by(fleet_simulation& fleet, const fleet_settings& settings,
                                     std::uint32_t data_centre)
    {
        std::uint64_t accepted = 0;
        for (std::uint32_t number = 0; number < settings.m_shards; ++number)
        {
            accepted += fleet.upstream(upstream_address(number, data_centre)).accepted();
        }
        return accepted;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_start_fleet_test);

} // namespace
