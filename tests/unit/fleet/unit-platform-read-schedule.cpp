#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "relay_fixture.hpp"
#include "teasellead/fleet/admission_gate.hpp"
#include "teasellead/fleet/platform_read_schedule.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

std::vector<listed_host> hosts_of(std::size_t count, const std::string& data_centre)
{
    std::vector<listed_host> hosts;
    for (std::uint32_t number = 0; number < count; ++number)
    {
        hosts.emplace_back(endpoint{0x7F000100U + number, 7001}, data_centre);
    }
    return hosts;
}

std::vector<listed_host> readers_of(const std::vector<listed_host>& hosts, std::size_t readers)
{
    std::vector<listed_host> result;
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(result),
                 [&](const listed_host& host) { return is_platform_reader(host, hosts, readers); });
    return result;
}

class platform_read_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_read_schedule_test);
    CPPUNIT_TEST(chooses_few_readers);
    CPPUNIT_TEST(replaces_only_readers_that_were_removed);
    CPPUNIT_TEST(takes_over_from_unresponsive_readers);
    CPPUNIT_TEST(long_polls_as_reader);
    CPPUNIT_TEST(bounds_the_polls_of_a_data_centre);
    CPPUNIT_TEST(backs_off_after_failures);
    CPPUNIT_TEST(times_out_a_lost_read);
    CPPUNIT_TEST(closes_admission_gate_when_updates_are_late);
    CPPUNIT_TEST_SUITE_END();

  public:
    void chooses_few_readers()
    {
        struct row
        {
            std::size_t m_hosts;
            std::size_t m_readers;
            std::size_t m_expected;
        };
        const row rows[] = {{1, 2, 1}, {2, 2, 2}, {3, 2, 2}, {309, 2, 2}, {309, 5, 5}, {5, 0, 0}};
        for (const row& each : rows)
        {
            const std::vector<listed_host> hosts = hosts_of(each.m_hosts, "north");
            CPPUNIT_ASSERT_EQUAL(each.m_expected, readers_of(hosts, each.m_readers).size());
        }
        // hosts of other data centres are ignored
        std::vector<listed_host> hosts = hosts_of(9, "south");
        const listed_host self{endpoint{1, 1}, "north"};
        CPPUNIT_ASSERT(is_platform_reader(self, hosts, 1));
    }

    void replaces_only_readers_that_were_removed()
    {
        const std::vector<listed_host> hosts = hosts_of(20, "north");
        const std::vector<listed_host> before = readers_of(hosts, 2);
        for (const listed_host& removed : hosts)
        {
            std::vector<listed_host> left = hosts;
            std::erase(left, removed);
            const std::vector<listed_host> after = readers_of(left, 2);
            for (const listed_host& reader : before)
            {
                const bool is_still_reader = std::find(after.begin(), after.end(), reader) != after.end();
                CPPUNIT_ASSERT_EQUAL(reader != removed, is_still_reader);
            }
        }
    }

    void takes_over_from_unresponsive_readers()
    {
        relay_settings settings;
        settings.m_reads.m_readers = 1;
        std::size_t readers = 0;
        for (std::uint32_t self = 1; self <= 3; ++self)
        {
            current_revision cell;
            manual_clock clock;
            const listed_host own{endpoint{0x7F000000U + self, 7001}, "north"};
            configuration_relay relay{cell, own, settings, random_source{1}, clock.now()};
            std::vector<peer_status> peers;
            for (std::uint32_t other = 1; other <= 3; ++other)
            {
                if (other != self)
                {
                    peers.push_back({listed_host{endpoint{0x7F000000U + other, 7001}, "north"}, 1, 0, true,
                                     false, clock.now()});
                }
            }
            (void)relay.on_tick(peers, clock.now());
            readers += relay.is_reader() ? 1 : 0;
            clock.advance(2050ms);
            (void)relay.on_tick(peers, clock.now());
            CPPUNIT_ASSERT(relay.is_reader());
            for (peer_status& peer : peers)
            {
                peer.m_last_hello = clock.now();
                peer.m_leaving = true;
            }
            (void)relay.on_tick(peers, clock.now());
            CPPUNIT_ASSERT(relay.is_reader());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readers);
    }

    void long_polls_as_reader()
    {
        manual_clock clock;
        random_source random{1};
        platform_read_schedule schedule{{}, clock.now()};
        CPPUNIT_ASSERT(schedule.set_role(true, 3, clock.now(), random));
        CPPUNIT_ASSERT(schedule.next(0, clock.now(), random) == (platform_read{1, 0, 0ms}));
        CPPUNIT_ASSERT(!schedule.next(0, clock.now(), random));
        schedule.on_newer(clock.now(), random);
        CPPUNIT_ASSERT(schedule.next(5, clock.now(), random) == (platform_read{2, 5, 10s}));
        clock.advance(10s);
        schedule.on_unchanged(clock.now(), random);
        CPPUNIT_ASSERT(schedule.next(5, clock.now(), random) == (platform_read{3, 5, 10s}));
        // a platform that replies without waiting isn't polled again immediately
        schedule.on_unchanged(clock.now(), random);
        CPPUNIT_ASSERT(!schedule.next(5, clock.now(), random));
        clock.advance(1500ms);
        CPPUNIT_ASSERT(schedule.next(5, clock.now(), random).has_value());
        // an immediate read starts even while a long poll is in progress
        schedule.read_now(clock.now());
        CPPUNIT_ASSERT(schedule.next(5, clock.now(), random) == (platform_read{5, 5, 0ms}));
    }

    void bounds_the_polls_of_a_data_centre()
    {
        struct row
        {
            std::size_t m_hosts;
            double m_max_rate; ///< polls per second by all hosts together
        };
        const row rows[] = {{1, 0.75}, {3, 2.0}, {30, 2.5}, {309, 2.5}, {1'000, 2.5}};
        for (const row& each : rows)
        {
            manual_clock clock;
            random_source random{1};
            platform_read_schedule schedule{{}, clock.now()};
            (void)schedule.set_role(false, each.m_hosts, clock.now(), random);
            const time_point begin = clock.now();
            constexpr int polls = 200;
            for (int count = 0; count < polls; ++count)
            {
                while (!schedule.next(1, clock.now(), random))
                {
                    clock.advance(50ms);
                }
                schedule.on_unchanged(clock.now(), random);
            }
            const double seconds = std::chrono::duration<double>(clock.now() - begin).count();
            CPPUNIT_ASSERT(static_cast<double>(each.m_hosts) * polls / seconds <= each.m_max_rate);
        }
    }

    void backs_off_after_failures()
    {
        manual_clock clock;
        random_source random{1};
        platform_read_schedule schedule{{}, clock.now()};
        (void)schedule.set_role(true, 3, clock.now(), random);
        const std::chrono::milliseconds pauses[] = {250ms, 500ms, 1000ms, 2000ms, 4000ms, 4000ms};
        for (const std::chrono::milliseconds pause : pauses)
        {
            CPPUNIT_ASSERT(schedule.next(1, clock.now(), random).has_value());
            schedule.on_failure(clock.now(), random);
            clock.advance(pause / 2 - 1ms);
            CPPUNIT_ASSERT(!schedule.next(1, clock.now(), random));
            clock.advance(pause + 1ms);
        }
    }

    void times_out_a_lost_read()
    {
        manual_clock clock;
        random_source random{1};
        platform_read_schedule schedule{{}, clock.now()};
        (void)schedule.set_role(true, 3, clock.now(), random);
        CPPUNIT_ASSERT(schedule.next(1, clock.now(), random).has_value());
        clock.advance(1900ms);
        CPPUNIT_ASSERT(!schedule.next(1, clock.now(), random));
        clock.advance(600ms);
        (void)schedule.next(1, clock.now(), random);
        clock.advance(400ms);
        CPPUNIT_ASSERT(schedule.next(1, clock.now(), random).has_value());
    }

    void closes_admission_gate_when_updates_are_late()
    {
        struct row
        {
            bool m_may_serve;
            bool m_needs_recheck;
            duration m_age;
            admission_state m_expected;
        };
        const row rows[] = {
            {true, false, 0ms, admission_state::open},
            {true, false, 1s, admission_state::open},
            {true, false, 1001ms, admission_state::recheck},
            {true, true, 0ms, admission_state::recheck},
            {false, false, 0ms, admission_state::not_serving},
            {false, true, 10s, admission_state::not_serving},
        };
        for (const row& each : rows)
        {
            manual_clock clock;
            admission_gate gate{1s};
            CPPUNIT_ASSERT(gate.state(clock.now()) == admission_state::not_serving);
            gate.update(each.m_may_serve, each.m_needs_recheck, clock.now());
            clock.advance(each.m_age);
            CPPUNIT_ASSERT(gate.state(clock.now()) == each.m_expected);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_read_schedule_test);

} // namespace
