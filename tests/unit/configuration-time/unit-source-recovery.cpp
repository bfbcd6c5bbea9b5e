#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <vector>

#include "publication_fleet.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

// time after the source's return from which bounds hold
constexpr duration settling_time = 4s;
constexpr std::uint64_t default_seeds = 60;

/// a size of fleet and the time in which each of its nodes must use a change
struct fleet_case
{
    std::size_t m_nodes;
    duration m_bound;
};

constexpr std::array<fleet_case, 4> fleet_cases{{{2, 3s}, {9, 3s}, {30, 5s}, {90, 6s}}};

/// number of seeds to play for each size; more by hand
std::uint64_t seeds()
{
    const char* const given = std::getenv("FLEET_SEEDS");
    return given == nullptr ? default_seeds : std::stoull(given);
}

class source_recovery_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(source_recovery_test);
    CPPUNIT_TEST(change_is_used_in_time_after_the_source_went_back);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against nodes that pass over changes, and count as current all the same, since they know higher
    // revisions from before the source's return from a backup
    void change_is_used_in_time_after_the_source_went_back()
    {
        for (const fleet_case& each : fleet_cases)
        {
            for (std::uint64_t seed = 1; seed <= seeds(); ++seed)
            {
                const std::string wrong = nodes_with_wrong_items(each, seed);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(each.m_nodes) + " nodes, seed " +
                                                 std::to_string(seed),
                                             std::string{}, wrong);
            }
        }
    }

  private:
    class recovery
    {
      public:
        recovery(const fleet_case& size, std::uint64_t seed)
            : m_size(size), m_random(seed), m_fleet(settings_of(size), seed), m_excused(size.m_nodes),
              m_epochs(size.m_nodes)
        {
        }

        void run_for(duration length)
        {
            constexpr duration step = 100ms;
            for (duration passed{}; passed < length; passed += step)
            {
                m_fleet.run_for(step);
                check_epochs();
            }
        }

        /// changes are published, the source goes away and comes back without them
        void go_back()
        {
            const publication_fleet::backup earlier = m_fleet.back_up();
            publish(m_random.below(60));
            run_for(up_to(3000));
            m_fleet.take_source_away();
            run_for(up_to(2500));
            m_fleet.restore(earlier);
            if (m_random.below(3) == 0)
            {
                lose_a_reader();
            }
            publish(m_random.below(30));
        }

        /// one change, and the nodes that don't use it in time
        std::string change()
        {
            m_fleet.publish_entry(m_random.below(20), "leaving " + std::to_string(m_random.below(1000)));
            run_for(m_size.m_bound);
            std::string result = m_failed;
            for (std::size_t node = 0; node < m_size.m_nodes; ++node)
            {
                if (!m_excused[node] && m_fleet.wrong_items(node) > 0)
                {
                    result += "node " + std::to_string(node) + ": " +
                              std::to_string(m_fleet.wrong_items(node)) + " wrong; ";
                }
            }
            return result;
        }

        [[nodiscard]] duration up_to(std::uint64_t milliseconds)
        {
            return std::chrono::milliseconds{m_random.below(milliseconds)};
        }

        [[nodiscard]] std::uint64_t below(std::uint64_t most)
        {
            return m_random.below(most);
        }

      private:
        static publication_fleet_settings settings_of(const fleet_case& size)
        {
            publication_fleet_settings settings;
            settings.m_nodes = size.m_nodes;
            settings.m_text_bytes = 4'000;
            settings.m_entries = 20;
            settings.m_bytes_per_second = 125'000'000;
            settings.m_follower = follower_settings::for_bounds(key_freshness, size.m_bound);
            return settings;
        }

        void publish(std::uint64_t changes)
        {
            for (std::uint64_t count = 0; count < changes; ++count)
            {
                m_fleet.publish_entry(m_random.below(20), std::to_string(m_random.below(1000)));
            }
        }

        /// the first node that reads the source doesn't reach it any more
        void lose_a_reader()
        {
            const std::size_t reader = m_fleet.ranking().front();
            m_fleet.set_source_fault(reader, source_fault::silent);
            m_excused[reader] = true;
        }

        /// no node goes back to an older epoch
        void check_epochs()
        {
            for (std::size_t node = 0; node < m_size.m_nodes; ++node)
            {
                const std::uint64_t epoch = m_fleet.position_of(node).epoch();
                if (epoch < m_epochs[node])
                {
                    m_failed += "node " + std::to_string(node) + " went back; ";
                }
                m_epochs[node] = epoch;
            }
        }

        static constexpr duration key_freshness = 5s;

        fleet_case m_size;
        random_source m_random;
        publication_fleet m_fleet;
        std::vector<bool> m_excused;
        std::vector<std::uint64_t> m_epochs;
        std::string m_failed;
    };

    static std::string nodes_with_wrong_items(const fleet_case& size, std::uint64_t seed)
    {
        recovery fleet{size, seed};
        fleet.run_for(5s + fleet.up_to(1300));
        for (std::uint64_t returns = 1 + fleet.below(3); returns > 0; --returns)
        {
            fleet.go_back();
            fleet.run_for(fleet.up_to(2000));
        }
        fleet.run_for(settling_time);
        return fleet.change();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(source_recovery_test);

} // namespace
