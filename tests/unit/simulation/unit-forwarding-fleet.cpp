#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "forwarding/fleet_checks.hpp"
#include "forwarding/forwarding_fleet.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

constexpr duration warm_up = 8s;
constexpr duration fault_period = 24s;
constexpr duration recovery = 15s;
constexpr duration observation_period = 5s;
// fraction of the requests within their limits that must be served after all faults have ended
constexpr double min_served_fraction = 0.9;

/// one kind of injected fault
struct trouble
{
    std::string m_name;
    std::function<void(forwarding_fleet&)> m_begin;
};

std::size_t any_node(forwarding_fleet& fleet)
{
    return fleet.random().below(forwarding_fleet::nodes);
}

std::size_t any_data_centre(forwarding_fleet& fleet)
{
    return fleet.random().below(forwarding_fleet::data_centres);
}

endpoint any_upstream(forwarding_fleet& fleet)
{
    const auto& all = fleet.upstream_addresses();
    return all[fleet.random().below(all.size())];
}

duration between(forwarding_fleet& fleet, std::chrono::milliseconds min_length,
                 std::chrono::milliseconds max_length)
{
    return min_length + std::chrono::milliseconds{fleet.random().below(
                            static_cast<std::uint64_t>((max_length - min_length).count()))};
}

/// starts a process of a service at an address after a delay, unless the address is in use; the service may
/// differ from the one that used the address before
void start_again(forwarding_fleet& fleet, const endpoint& address, const std::string& service, duration delay)
{
    fleet.queue().after(delay,
                        [&fleet, address, service]
                        {
                            if (fleet.upstreams().instance_at(address).empty())
                            {
                                fleet.upstreams().start(
                                    address, service,
                                    forwarding_fleet::name_of(forwarding_fleet::data_centre_of(address)));
                            }
                        });
}

void crash_upstream(forwarding_fleet& fleet)
{
    const endpoint address = any_upstream(fleet);
    if (!fleet.upstreams().instance_at(address).empty())
    {
        const std::string service = fleet.upstreams().service_at(address);
        fleet.upstreams().crash(address);
        start_again(fleet, address, service, between(fleet, 300ms, 4000ms));
    }
}

void drain_upstreams(forwarding_fleet& fleet)
{
    // two processes are drained, and later each address is reused for the service of the other
    const endpoint first = any_upstream(fleet);
    const endpoint second = any_upstream(fleet);
    const bool are_running =
        !fleet.upstreams().instance_at(first).empty() && !fleet.upstreams().instance_at(second).empty();
    if (first == second || !are_running || fleet.upstreams().is_drained(first) ||
        fleet.upstreams().is_drained(second))
    {
        return;
    }
    const std::string first_service = fleet.upstreams().service_at(first);
    const std::string second_service = fleet.upstreams().service_at(second);
    const duration until_end = between(fleet, 1000ms, 6000ms);
    fleet.upstreams().drain(first, until_end);
    fleet.upstreams().drain(second, until_end);
    start_again(fleet, first, second_service, until_end + 2s);
    start_again(fleet, second, first_service, until_end + 2s);
}

void leave_unlisted(forwarding_fleet& fleet)
{
    const endpoint address = any_upstream(fleet);
    if (!fleet.upstreams().instance_at(address).empty())
    {
        const std::string service = fleet.upstreams().service_at(address);
        const duration until_end = between(fleet, 4000ms, 9000ms);
        fleet.upstreams().leave_unlisted(address, until_end);
        start_again(fleet, address, service, until_end + 2s);
    }
}

void harm_upstream(forwarding_fleet& fleet, upstream_fault fault)
{
    const endpoint address = any_upstream(fleet);
    fleet.upstreams().set_fault(address, fault);
    fleet.queue().after(between(fleet, 1000ms, 6000ms),
                        [&fleet, address] { fleet.upstreams().set_fault(address, upstream_fault::none); });
}

/// all upstreams of a service that is chosen at random reply with errors
void harm_service(forwarding_fleet& fleet)
{
    const std::string service = fleet.upstreams().service_at(any_upstream(fleet));
    const duration length = between(fleet, 2000ms, 6000ms);
    for (const endpoint& address : fleet.upstream_addresses())
    {
        if (!service.empty() && fleet.upstreams().service_at(address) == service)
        {
            fleet.upstreams().set_fault(address, upstream_fault::fails);
            fleet.queue().after(length, [&fleet, address]
                                { fleet.upstreams().set_fault(address, upstream_fault::none); });
        }
    }
}

void surge(forwarding_fleet& fleet)
{
    simulated_account& account = fleet.accounts()[fleet.random().below(fleet.accounts().size())];
    account.m_demand = 4.0 * account.m_usual_rate;
    fleet.queue().after(between(fleet, 1000ms, 5000ms),
                        [&account] { account.m_demand = account.usual_demand(); });
}

void change_limit(forwarding_fleet& fleet)
{
    const std::size_t account = fleet.random().below(fleet.accounts().size());
    const double usual = fleet.accounts()[account].m_usual_rate;
    fleet.set_rate(account, usual * (fleet.random().unit() < 0.5 ? 0.5 : 1.5));
    fleet.queue().after(between(fleet, 2000ms, 8000ms),
                        [&fleet, account, usual] { fleet.set_rate(account, usual); });
}

void kill_many(forwarding_fleet& fleet, const std::function<bool(std::size_t)>& is_selected)
{
    for (std::size_t node = 0; node < forwarding_fleet::nodes; ++node)
    {
        if (is_selected(node))
        {
            fleet.kill_node(node, between(fleet, 300ms, 800ms));
        }
    }
}

std::vector<trouble> all_troubles()
{
    return {
        {"node killed",
         [](forwarding_fleet& fleet)
         {
             fleet.kill_node(any_node(fleet), between(fleet, 300ms, 3000ms));
         }},
        {"all nodes killed",
         [](forwarding_fleet& fleet)
         {
             kill_many(fleet, [](std::size_t) { return true; });
         }},
        {"data centre's nodes killed",
         [](forwarding_fleet& fleet)
         {
             const std::size_t centre = any_data_centre(fleet);
             kill_many(fleet, [centre](std::size_t node)
                       { return forwarding_fleet::data_centre_of(node) == centre; });
         }},
        {"node frozen",
         [](forwarding_fleet& fleet)
         {
             fleet.freeze_node(any_node(fleet), between(fleet, 500ms, 9000ms));
         }},
        {"node stops",
         [](forwarding_fleet& fleet)
         {
             fleet.stop_node(any_node(fleet), 4s, between(fleet, 300ms, 2000ms));
         }},
        {"spare node joins",
         [](forwarding_fleet& fleet)
         {
             const std::size_t spare =
                 forwarding_fleet::nodes + fleet.random().below(forwarding_fleet::spares);
             if (fleet.node(spare).process() == nullptr)
             {
                 fleet.start_node(spare);
             }
         }},
        {"data centre cut off",
         [](forwarding_fleet& fleet)
         {
             fleet.cut_data_centre(any_data_centre(fleet), between(fleet, 1000ms, 9000ms));
         }},
        {"store down",
         [](forwarding_fleet& fleet)
         {
             fleet.take_store_down(between(fleet, 500ms, 7000ms));
         }},
        {"messages lost",
         [](forwarding_fleet& fleet)
         {
             fleet.lose_messages(0.4, between(fleet, 500ms, 4000ms));
         }},
        {"data centre evacuated",
         [](forwarding_fleet& fleet)
         {
             fleet.evacuate(any_data_centre(fleet), between(fleet, 4000ms, 9000ms));
         }},
        {"key replaced",
         [](forwarding_fleet& fleet)
         {
             fleet.replace_key(fleet.random().below(fleet.accounts().size()));
         }},
        {"limit changed", change_limit},
        {"shards changed",
         [](forwarding_fleet& fleet)
         {
             fleet.set_shards(2 + fleet.random().below(5));
         }},
        {"declarations in quick succession",
         [](forwarding_fleet& fleet)
         {
             for (int change = 0; change < 10; ++change)
             {
                 fleet.queue().after(between(fleet, 0ms, 1500ms), [&fleet] { fleet.declare(); });
             }
         }},
        {"upstream crashes", crash_upstream},
        {"upstreams leave, addresses used again", drain_upstreams},
        {"upstream loses answers",
         [](forwarding_fleet& fleet)
         {
             harm_upstream(fleet, upstream_fault::loses_answers);
         }},
        {"upstream hangs",
         [](forwarding_fleet& fleet)
         {
             harm_upstream(fleet, upstream_fault::hangs);
         }},
        {"upstream fails",
         [](forwarding_fleet& fleet)
         {
             harm_upstream(fleet, upstream_fault::fails);
         }},
        {"service fails", harm_service},
        {"upstream asks for pauses",
         [](forwarding_fleet& fleet)
         {
             harm_upstream(fleet, upstream_fault::asks_for_a_pause);
         }},
        {"upstream says that it leaves", leave_unlisted},
        {"surge", surge},
    };
}

class forwarding_fleet_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(forwarding_fleet_test);
    CPPUNIT_TEST(fleet_without_faults_serves_nearly_all);
    CPPUNIT_TEST(guarantees_hold_under_each_fault);
    CPPUNIT_TEST(guarantees_hold_under_all_faults_at_once);
    CPPUNIT_TEST_SUITE_END();

  public:
    void fleet_without_faults_serves_nearly_all()
    {
        forwarding_fleet fleet{1};
        fleet.run_for(warm_up + observation_period);
        check("no faults", fleet);
        CPPUNIT_ASSERT_MESSAGE(summary(fleet), served_part(fleet) > 0.99);
    }

    void guarantees_hold_under_each_fault()
    {
        constexpr std::uint64_t seeds = 5;
        for (const trouble& each : all_troubles())
        {
            for (std::uint64_t seed = 0; seed < seeds; ++seed)
            {
                play(each.m_name + ", seed " + std::to_string(seed), seed, {each}, 3);
            }
        }
    }

    void guarantees_hold_under_all_faults_at_once()
    {
        const char* const first = std::getenv("FLEET_FIRST_SEED");
        const char* const count = std::getenv("FLEET_SEEDS");
        constexpr std::uint64_t default_seeds = 200;
        constexpr std::size_t faults_at_once = 24;
        const std::uint64_t from = first == nullptr ? 1000 : std::strtoull(first, nullptr, 10);
        const std::uint64_t seeds = count == nullptr ? default_seeds : std::strtoull(count, nullptr, 10);
        for (std::uint64_t seed = from; seed < from + seeds; ++seed)
        {
            play("all, seed " + std::to_string(seed), seed, all_troubles(), faults_at_once);
        }
    }

  private:
    static void play(const std::string& name, std::uint64_t seed, const std::vector<trouble>& troubles,
                     std::size_t times)
    {
        forwarding_fleet fleet{seed};
        fleet.run_for(warm_up);
        std::string played;
        for (std::size_t time = 0; time < times; ++time)
        {
            const trouble& chosen = troubles[fleet.random().below(troubles.size())];
            const duration at =
                between(fleet, 0ms, std::chrono::duration_cast<std::chrono::milliseconds>(fault_period));
            played += "\n  " + chosen.m_name + " at " +
                      std::to_string(std::chrono::duration<double>(warm_up + at).count());
            fleet.queue().after(at, [&fleet, chosen] { chosen.m_begin(fleet); });
        }
        // the longest fault lasts for nine seconds
        fleet.run_for(fault_period + 9s + recovery + observation_period);
        check(name + played, fleet);
        CPPUNIT_ASSERT_MESSAGE(name + played + "\n" + summary(fleet),
                               served_part(fleet) >= min_served_fraction);
    }

    static void check(const std::string& name, forwarding_fleet& fleet)
    {
        fleet.stop_callers();
        fleet.run_for(5s);
        fleet_bounds bounds;
        bounds.m_burst = forwarding_fleet::burst;
        bounds.m_cold_rate = forwarding_fleet::cold_rate;
        bounds.m_retry_slack = forwarding_fleet::retry_slack;
        std::string text;
        for (const std::string& each : fleet_checks{fleet.events(), bounds}.find())
        {
            text += "\n" + each;
        }
        CPPUNIT_ASSERT_MESSAGE(name + text, text.empty());
    }

    /// number of requests by outcome
    static std::string summary(forwarding_fleet& fleet)
    {
        std::map<std::string, std::size_t> reasons;
        for (const request_event& each : fleet.events().m_requests)
        {
            ++reasons[each.m_end == request_end::served ? "served" : each.m_reason];
        }
        std::string text = "served " + std::to_string(served_part(fleet)) + " in the end; in all";
        for (const auto& [reason, count] : reasons)
        {
            text += " " + (reason.empty() ? "unanswered" : reason) + " " + std::to_string(count);
        }
        return text;
    }

    /// fraction of the requests of the observation period that were served; no request exceeded its limit
    static double served_part(forwarding_fleet& fleet)
    {
        const time_point end = fleet.queue().now() - 5s;
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const request_event& each : fleet.events().m_requests)
        {
            const bool is_withdrawn = fleet.events().m_withdrawn_keys.count(each.m_key) > 0;
            if (each.m_sent >= end - observation_period && each.m_sent < end && !is_withdrawn)
            {
                ++sent;
                served += each.m_end == request_end::served ? 1 : 0;
            }
        }
        return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(sent, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(forwarding_fleet_test);

} // namespace
