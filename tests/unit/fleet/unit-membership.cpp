#include <cppunit/extensions/HelperMacros.h>

#include "membership_fleet.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using teasellead::testing::membership_fleet;

constexpr double tolerance = 1e-9;
const membership_settings settings;

/// returns a fleet of three hosts that started together and already use their limit fractions
membership_fleet three_hosts()
{
    membership_fleet fleet{settings};
    fleet.list({0, 1, 2});
    for (const std::size_t position : {0, 1, 2})
    {
        fleet.start(position);
    }
    fleet.run(3s);
    return fleet;
}

class membership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(fleet_that_starts_as_a_whole_is_ready_quickly);
    CPPUNIT_TEST(uses_no_share_before_it_is_counted);
    CPPUNIT_TEST(joining_host_gets_its_share_when_all_have_acknowledged);
    CPPUNIT_TEST(joining_host_waits_for_an_unresponsive_peer);
    CPPUNIT_TEST(share_of_a_killed_host_grows_back_after_the_takeover_time);
    CPPUNIT_TEST(share_of_a_leaving_host_moves_at_once);
    CPPUNIT_TEST(stale_list_doesnt_let_a_share_grow);
    CPPUNIT_TEST(confirmed_hosts_keep_their_shares_without_the_platform);
    CPPUNIT_TEST(partitioned_host_falls_to_its_reserved_fraction);
    CPPUNIT_TEST(stalled_host_keeps_only_its_unexpired_fraction);
    CPPUNIT_TEST(new_incarnation_starts_empty);
    CPPUNIT_TEST(acknowledgements_of_an_earlier_incarnation_are_ignored);
    CPPUNIT_TEST(late_message_of_an_ended_process_changes_nothing);
    CPPUNIT_TEST(revision_is_adopted_only_when_every_data_centre_reports_it);
    CPPUNIT_TEST(fractions_stay_within_the_limit_with_different_lists);
    CPPUNIT_TEST(older_list_is_ignored);
    CPPUNIT_TEST(duplicated_and_reordered_hellos_change_nothing);
    CPPUNIT_TEST(views_keep_earlier_hosts_until_no_other_host_uses_them);
    CPPUNIT_TEST(sends_hellos_to_few_hosts_of_other_data_centres);
    CPPUNIT_TEST(hello_rate_is_bounded_in_a_large_data_centre);
    CPPUNIT_TEST_SUITE_END();

  public:
    void fleet_that_starts_as_a_whole_is_ready_quickly()
    {
        for (const std::size_t hosts : {2U, 3U, 9U, 40U})
        {
            membership_fleet fleet{settings};
            std::vector<std::size_t> positions;
            for (std::size_t position = 0; position < hosts; ++position)
            {
                positions.push_back(position);
                fleet.start(position);
            }
            fleet.list(positions);
            fleet.run(3s);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, fleet.parts(), tolerance);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / static_cast<double>(hosts), fleet.part(0), tolerance);
        }
    }

    void uses_no_share_before_it_is_counted()
    {
        membership_fleet fleet{settings};
        fleet.start(0);
        fleet.start(1);
        fleet.list({0, 1});
        fleet.run(300ms);
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.parts());
        CPPUNIT_ASSERT(fleet.at(0).m_membership->views(fleet.now()).empty());
    }

    void joining_host_gets_its_share_when_all_have_acknowledged()
    {
        membership_fleet fleet = three_hosts();
        fleet.start(3);
        fleet.list({0, 1, 2, 3});
        for (int step = 0; step < 60; ++step)
        {
            fleet.run(50ms);
            CPPUNIT_ASSERT(fleet.parts() <= 1.0 + tolerance);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, fleet.part(3), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, fleet.part(0), tolerance);
    }

    void joining_host_waits_for_an_unresponsive_peer()
    {
        membership_fleet fleet = three_hosts();
        fleet.m_connected = [](std::size_t from, std::size_t to)
        {
            return !(from == 3 && to == 0) && !(from == 0 && to == 3);
        };
        fleet.start(3);
        fleet.list({0, 1, 2, 3});
        fleet.run(settings.evidence_validity());
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.part(3));
        fleet.run(5s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, fleet.part(3), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, fleet.parts(), tolerance);
    }

    void share_of_a_killed_host_grows_back_after_the_takeover_time()
    {
        membership_fleet fleet = three_hosts();
        fleet.at(2).m_running = false;
        fleet.list({0, 1});
        fleet.run(settings.takeover_time() - 1s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, fleet.part(0), tolerance);
        fleet.run(settings.evidence_validity() + 2s);
        const double reserved = settings.m_reserved_fraction / 3;
        CPPUNIT_ASSERT_DOUBLES_EQUAL((1.0 - reserved) / 2, fleet.part(0), tolerance);
        fleet.run(settings.m_isolation_window + settings.takeover_time());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, fleet.part(0), tolerance);
    }

    void share_of_a_leaving_host_moves_at_once()
    {
        membership_fleet fleet = three_hosts();
        fleet.at(2).m_status.m_leaving = true;
        fleet.run(2s);
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.part(2));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, fleet.part(0), tolerance);
        fleet.at(2).m_running = false;
        fleet.list({0, 1});
        fleet.run(1min);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, fleet.part(0), tolerance);
    }

    void stale_list_doesnt_let_a_share_grow()
    {
        membership_fleet fleet = three_hosts();
        fleet.list({0, 1});
        fleet.at(2).m_running = false;
        fleet.run(1s);
        fleet.at(0).m_reads_list = false;
        fleet.run(10min);
        CPPUNIT_ASSERT(fleet.part(0) <= 1.0 / 3 + tolerance);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.at(0).m_membership->views(fleet.now())[0].hosts().size());
    }

    void confirmed_hosts_keep_their_shares_without_the_platform()
    {
        membership_fleet fleet = three_hosts();
        for (const std::size_t position : {0, 1, 2})
        {
            fleet.at(position).m_reads_list = false;
        }
        fleet.run(2h);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, fleet.parts(), tolerance);
    }

    void partitioned_host_falls_to_its_reserved_fraction()
    {
        membership_fleet fleet = three_hosts();
        fleet.m_connected = [](std::size_t from, std::size_t to)
        {
            return from != 2 && to != 2;
        };
        fleet.at(2).m_reads_list = false;
        fleet.list({0, 1});
        const double reserved = settings.m_reserved_fraction / 3;
        for (int step = 0; step < 600; ++step)
        {
            fleet.run(100ms);
            CPPUNIT_ASSERT(fleet.parts() <= 1.0 + tolerance);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(reserved, fleet.part(2), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, fleet.parts(), tolerance);
        fleet.run(settings.m_isolation_window);
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.part(2));
        fleet.run(2 * settings.takeover_time());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, fleet.parts(), tolerance);
    }

    void stalled_host_keeps_only_its_unexpired_fraction()
    {
        membership_fleet fleet = three_hosts();
        fleet.at(2).m_running = false;
        fleet.list({0, 1});
        fleet.run(1min);
        // the fraction is checked before the resumed process has read a message or a host list
        CPPUNIT_ASSERT_DOUBLES_EQUAL(settings.m_reserved_fraction / 3, fleet.part(2), tolerance);
        fleet.at(2).m_running = true;
        for (int step = 0; step < 600; ++step)
        {
            fleet.run(100ms);
            CPPUNIT_ASSERT(fleet.parts() <= 1.0 + tolerance);
        }
        fleet.list({0, 1, 2});
        for (int step = 0; step < 600; ++step)
        {
            fleet.run(100ms);
            CPPUNIT_ASSERT(fleet.parts() <= 1.0 + tolerance);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, fleet.part(2), tolerance);
    }

    void new_incarnation_starts_empty()
    {
        membership_fleet fleet = three_hosts();
        fleet.start(2);
        fleet.run(2 * settings.m_lease_term - 50ms);
        CPPUNIT_ASSERT_EQUAL(0.0, fleet.part(2));
        fleet.run(2s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, fleet.part(2), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, fleet.parts(), tolerance);
    }

    void acknowledgements_of_an_earlier_incarnation_are_ignored()
    {
        membership fresh{membership_fleet::host_at(0), 7, settings};
        const time_point start{1h};
        fresh.on_list({1, {{membership_fleet::host_at(0), false}, {membership_fleet::host_at(1), false}}},
                      start);
        (void)fresh.on_tick({}, start);
        const time_point later = start + 2s;
        hello reply;
        reply.m_sequence = 1;
        reply.m_data_centre = "north";
        reply.m_acked_incarnation = 6;
        reply.m_acked_sequence = 1'000'000;
        reply.m_counted = true;
        fresh.on_hello(membership_fleet::host_at(1).peer(), 1, reply, later);
        (void)fresh.on_tick({}, later);
        (void)fresh.on_tick({}, later + 3s);
        CPPUNIT_ASSERT_EQUAL(0.0, fresh.current_limit_fraction(later + 3s).fraction_at(later + 3s));
    }

    void late_message_of_an_ended_process_changes_nothing()
    {
        membership_fleet fleet = three_hosts();
        const node_incarnation ended = fleet.at(2).m_incarnation;
        fleet.start(2);
        fleet.run(3s);
        hello late;
        late.m_sequence = 60'000'000;
        late.m_data_centre = "north";
        late.m_leaving = true;
        membership& node = *fleet.at(0).m_membership;
        node.on_hello(membership_fleet::host_at(2).peer(), ended, late, fleet.now());
        fleet.run(5s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, fleet.part(0), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, fleet.part(2), tolerance);
    }

    void revision_is_adopted_only_when_every_data_centre_reports_it()
    {
        membership_fleet fleet = three_hosts();
        membership& node = *fleet.at(0).m_membership;
        CPPUNIT_ASSERT_EQUAL(revision_number{1}, node.current_limit_fraction(fleet.now()).m_min_revision);
        fleet.at(1).m_status.m_revision = 2;
        fleet.at(0).m_status.m_revision = 2;
        fleet.run(1s);
        CPPUNIT_ASSERT_EQUAL(revision_number{1}, node.current_limit_fraction(fleet.now()).m_min_revision);
        fleet.at(2).m_status.m_revision = 2;
        fleet.run(1s);
        CPPUNIT_ASSERT_EQUAL(revision_number{2}, node.current_limit_fraction(fleet.now()).m_min_revision);
        node.on_data_centres({{"south", data_centre_state::live, 1}}, fleet.now());
        CPPUNIT_ASSERT_EQUAL(revision_number{0}, node.current_limit_fraction(fleet.now()).m_min_revision);
    }

    void fractions_stay_within_the_limit_with_different_lists()
    {
        membership_fleet fleet = three_hosts();
        const host_list old = fleet.m_list;
        fleet.start(3);
        fleet.list({0, 1, 3});
        fleet.at(0).m_list = old;
        for (int step = 0; step < 600; ++step)
        {
            fleet.run(100ms);
            CPPUNIT_ASSERT(fleet.parts() <= 1.0 + tolerance);
        }
    }

    void older_list_is_ignored()
    {
        membership_fleet fleet = three_hosts();
        const host_list old{0, {{membership_fleet::host_at(0), false}}};
        fleet.at(0).m_list = old;
        fleet.run(1min);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, fleet.part(0), tolerance);
    }

    void duplicated_and_reordered_hellos_change_nothing()
    {
        membership_fleet fleet = three_hosts();
        membership& node = *fleet.at(0).m_membership;
        const std::uint64_t version = node.version();
        const auto before = node.peers();
        hello late;
        late.m_sequence = 1;
        late.m_data_centre = "north";
        late.m_claimed_fraction = 1.0;
        late.m_leaving = true;
        node.on_hello(membership_fleet::host_at(1).peer(), fleet.at(1).m_incarnation, late, fleet.now());
        CPPUNIT_ASSERT(before == node.peers());
        (void)node.on_tick({1, true, false}, fleet.now());
        CPPUNIT_ASSERT_EQUAL(version, node.version());
    }

    void views_keep_earlier_hosts_until_no_other_host_uses_them()
    {
        membership_fleet fleet = three_hosts();
        fleet.run(1min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.at(0).m_membership->views(fleet.now()).size());
        fleet.at(2).m_status.m_leaving = true;
        fleet.run(2s);
        const auto views = fleet.at(0).m_membership->views(fleet.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, views.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, views[0].hosts().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, views[1].hosts().size());
    }

    void sends_hellos_to_few_hosts_of_other_data_centres()
    {
        membership node{membership_fleet::host_at(0), 1, settings};
        host_list list{1, {{membership_fleet::host_at(0), false}}};
        for (std::size_t position = 1; position < 61; ++position)
        {
            list.m_hosts.push_back(
                {membership_fleet::host_at(position, position % 2 ? "east" : "west"), false});
        }
        const time_point start{1h};
        node.on_list(list, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, node.on_tick({}, start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{60}, node.peers().size());
    }

    void hello_rate_is_bounded_in_a_large_data_centre()
    {
        membership node{membership_fleet::host_at(0), 1, settings};
        host_list list{1, {{membership_fleet::host_at(0), false}}};
        for (std::size_t position = 1; position < 309; ++position)
        {
            list.m_hosts.push_back({membership_fleet::host_at(position), false});
        }
        time_point now{1h};
        node.on_list(list, now);
        (void)node.on_tick({}, now);
        std::size_t messages = 0;
        for (int step = 0; step < 1200; ++step)
        {
            now += 50ms;
            messages += node.on_tick({}, now).size();
        }
        CPPUNIT_ASSERT(messages <= 60 * 80);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace
