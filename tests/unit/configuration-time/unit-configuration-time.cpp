#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>
#include <vector>

#include "lag_meter.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

constexpr std::uint64_t seeds = 40;

/// a size of fleet and the time in which each of its nodes must use a change
struct fleet_case
{
    std::size_t m_nodes;
    duration m_bound;
};

constexpr std::array<fleet_case, 7> fleet_cases{
    {{2, 3s}, {3, 3s}, {8, 3s}, {3, 5s}, {31, 5s}, {88, 5s}, {42, 6s}}};

class configuration_time_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_time_test);
    CPPUNIT_TEST(change_is_used_in_time_while_readers_are_blind);
    CPPUNIT_TEST(change_is_used_in_time_although_first_calls_to_the_source_are_lost);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against followers that rely for too long on readers that have just lost the source
    void change_is_used_in_time_while_readers_are_blind()
    {
        for (const fleet_case& each : fleet_cases)
        {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                check_lag(name_of(each, seed), lag_with_blind_readers(each, seed, false), each.m_bound);
            }
        }
    }

    // guards against followers that go to the source so late that no time is left to repeat a lost call
    void change_is_used_in_time_although_first_calls_to_the_source_are_lost()
    {
        for (const fleet_case& each : fleet_cases)
        {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            {
                check_lag(name_of(each, seed), lag_with_blind_readers(each, seed, true), each.m_bound);
            }
        }
    }

  private:
    static std::string name_of(const fleet_case& each, std::uint64_t seed)
    {
        return std::to_string(each.m_nodes) + " nodes, seed " + std::to_string(seed);
    }

    /// one or two first ranked readers lose the source silently or are refused, while changes are published
    static duration lag_with_blind_readers(const fleet_case& each, std::uint64_t seed, bool loses_calls)
    {
        publication_fleet_settings settings;
        settings.m_nodes = each.m_nodes;
        settings.m_text_bytes = 8'000;
        settings.m_entries = 50;
        settings.m_bytes_per_second = 125'000'000;
        settings.m_follower = follower_settings::for_bounds(key_freshness, each.m_bound);
        publication_fleet fleet{settings, seed};
        random_source random{seed};
        const auto up_to_ms = [&random](std::uint64_t most)
        {
            return std::chrono::milliseconds{random.below(most)};
        };
        lag_meter meter{fleet, each.m_nodes};
        fleet.run_for(6s + up_to_ms(1300));
        for (std::uint64_t earlier = random.below(3); earlier > 0; --earlier)
        {
            fleet.publish();
            meter.run_for(up_to_ms(400));
        }
        const std::vector<std::size_t> ranking = fleet.ranking();
        const std::size_t troubled = std::min<std::size_t>(1 + random.below(2), each.m_nodes - 1);
        for (std::size_t rank = 0; rank < troubled; ++rank)
        {
            fleet.set_source_fault(ranking[rank],
                                   random.below(3) > 0 ? source_fault::silent : source_fault::refused);
            meter.excuse(ranking[rank]);
            meter.run_for(up_to_ms(random.below(3) == 0 ? 700 : 20));
        }
        for (std::size_t rank = troubled; loses_calls && rank < each.m_nodes; ++rank)
        {
            fleet.lose_next_call(ranking[rank]);
        }
        for (std::uint64_t later = 1 + random.below(4); later > 0; --later)
        {
            fleet.publish();
            meter.run_for(100ms + up_to_ms(1200));
        }
        meter.run_for(8s);
        return meter.longest();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_time_test);

} // namespace
