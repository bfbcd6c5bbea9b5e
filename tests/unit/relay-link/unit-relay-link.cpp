#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "lag_meter.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

constexpr duration bound = 5s;
// a quarter of a link of 20 Mbit/s
constexpr double relay_bytes_per_second = 625'000;

class relay_link_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_link_test);
    CPPUNIT_TEST(reader_on_a_slow_link_uses_large_changes_in_time);
    CPPUNIT_TEST(reader_on_a_slow_link_uses_changes_in_time_after_lost_history);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against a reader whose own calls wait behind the copies that it sends to its followers
    void reader_on_a_slow_link_uses_large_changes_in_time()
    {
        for (const std::size_t text_bytes : {30'000U, 60'000U, 200'000U})
        {
            for (const duration gap : {330ms, 1000ms})
            {
                publication_fleet_settings settings = slow_fleet();
                settings.m_text_bytes = text_bytes;
                publication_fleet fleet{settings, 1};
                fleet.run_for(8s);
                lag_meter meter{fleet, settings.m_nodes};
                for (int change = 0; change < 12; ++change)
                {
                    fleet.publish();
                    meter.run_for(gap);
                }
                meter.run_for(12s);
                check_lag(std::to_string(text_bytes) + " bytes", meter.longest(), bound);
                check_sent_bytes(fleet, 2 * text_bytes);
            }
        }
    }

    // guards against a reader whose link is full of whole listings, which all followers need at the same time
    // because the source dropped its history
    void reader_on_a_slow_link_uses_changes_in_time_after_lost_history()
    {
        for (const std::size_t entries : {380U, 1600U})
        {
            publication_fleet_settings settings = slow_fleet();
            settings.m_entries = entries;
            publication_fleet fleet{settings, 1};
            fleet.run_for(8s);
            lag_meter meter{fleet, settings.m_nodes};
            for (int change = 0; change < 6; ++change)
            {
                fleet.publish();
                fleet.drop_history();
                meter.run_for(1s);
            }
            meter.run_for(12s);
            check_lag(std::to_string(entries) + " entries", meter.longest(), bound);
            check_sent_bytes(fleet, 2 * entries * settings.m_entry_bytes);
        }
    }

  private:
    /// the reader's replies with and without items keep to the rate, but for the last ones
    static void check_sent_bytes(const publication_fleet& fleet, std::size_t allowance)
    {
        constexpr double empty_replies_per_second = 31.0 / 0.35;
        constexpr double empty_reply_bytes = 60.0;
        const double rate = relay_bytes_per_second + empty_replies_per_second * empty_reply_bytes;
        const double seconds = std::chrono::duration<double>{fleet.now() - fleet.started_at()}.count();
        const auto sent = static_cast<double>(fleet.sent_bytes(fleet.ranking().front()));
        CPPUNIT_ASSERT(sent < rate * seconds + static_cast<double>(allowance));
    }

    static publication_fleet_settings slow_fleet()
    {
        publication_fleet_settings settings;
        settings.m_nodes = 31;
        // what requests leave of a link of 20 Mbit/s
        settings.m_bytes_per_second = 1'000'000;
        settings.m_follower = follower_settings::for_bounds(key_freshness, bound);
        settings.m_follower.m_relay_bytes_per_second = relay_bytes_per_second;
        return settings;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_link_test);

} // namespace
