#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "platform_fleet.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace test_support;
using clock_type = std::chrono::steady_clock;

constexpr unsigned net = 95;
// time after the store's return from which it counts as stable, and bound of a change, as on the platform
constexpr auto contact_time = 4500ms;
constexpr auto drain_bound = 3s;
constexpr auto watched_time = 3s;
constexpr auto request_pause = 15ms;

/// what happens before an upstream leaves, and how it leaves
struct recovery_case
{
    const char* m_name;
    int m_lost_reports; ///< changes of each upstream's entry that the store loses with each return
    int m_returns;      ///< how often the store comes back from a copy
    bool m_is_removed;  ///< whether the entry is removed; otherwise it says `draining`
};

class store_recovery_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_recovery_test);
    CPPUNIT_TEST(leaving_upstream_gets_no_request_after_the_store_went_back);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against requests at upstreams that leave after the store came back from a copy: nodes passed the
    // entry over because they knew a higher revision from before
    void leaving_upstream_gets_no_request_after_the_store_went_back()
    {
        const std::vector<recovery_case> cases{{"draining, no return", 8, 0, false},
                                               {"draining, many lost", 8, 1, false},
                                               {"draining, few lost", 2, 1, false},
                                               {"removed, few lost", 2, 1, true},
                                               {"removed, three returns", 2, 3, true}};
        std::string late;
        for (const recovery_case& each : cases)
        {
            late += late_requests(each);
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, late);
    }

  private:
    /// numbers of requests that both nodes sent to an upstream too long after it left; empty if none
    static std::string late_requests(const recovery_case& each)
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        fleet.start_node(2);
        std::uint64_t sequence = 1;
        for (int count = 0; count < each.m_returns; ++count)
        {
            const standin_store::backup copy = fleet.store().back_up();
            report(fleet, each.m_lost_reports, sequence);
            std::this_thread::sleep_for(1s);
            go_back(fleet, copy);
            report(fleet, 1, sequence);
        }
        std::this_thread::sleep_for(each.m_returns > 0 ? contact_time : 1s);

        const standin_upstream& leaving = *fleet.single_upstreams().front();
        const std::string key = "servers/" + leaving.instance();
        if (each.m_is_removed)
        {
            fleet.store().remove(key);
        }
        else
        {
            fleet.store().put(key, leaving.entry("draining", ++sequence));
        }
        std::this_thread::sleep_for(drain_bound);
        const std::size_t first = count_late(fleet, 1, leaving);
        const std::size_t second = count_late(fleet, 2, leaving);
        return first + second == 0 ? ""
                                   : std::string{each.m_name} + ": " + std::to_string(first) +
                                         " of node 1, " + std::to_string(second) + " of node 2; ";
    }

    /// each upstream writes its entry again a number of times
    static void report(platform_fleet& fleet, int times, std::uint64_t& sequence)
    {
        for (int count = 0; count < times; ++count)
        {
            ++sequence;
            for (const auto& upstream : fleet.upstreams())
            {
                fleet.store().put("servers/" + upstream->instance(), upstream->entry("ready", sequence));
            }
        }
    }

    /// the store is away for a moment and comes back from a copy
    static void go_back(platform_fleet& fleet, const standin_store::backup& copy)
    {
        fleet.store().set_mode(store_mode::silent);
        std::this_thread::sleep_for(1s);
        fleet.store().restore(copy);
        fleet.store().set_mode(store_mode::up);
    }

    /// number of requests of a node that reach an upstream
    static std::size_t count_late(const platform_fleet& fleet, unsigned node, const standin_upstream& leaving)
    {
        const std::size_t before = leaving.arrivals().size();
        plain_caller caller{fleet.callers_of(node)};
        const auto end = clock_type::now() + watched_time;
        for (int number = 0; clock_type::now() < end; ++number)
        {
            const std::string id = std::to_string(node) + "-" + std::to_string(number);
            (void)caller.call("GET", "/read/x", id, "key-1");
            std::this_thread::sleep_for(request_pause);
        }
        return leaving.arrivals().size() - before;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_recovery_test);

} // namespace
