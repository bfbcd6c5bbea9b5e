#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

#include "upstream_fixture.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::fixture;

constexpr upstream_incarnation first_incarnation = 71;
constexpr upstream_incarnation second_incarnation = 72;
constexpr std::uint32_t enough_replies = 40;

void receive_evidence(table_under_test& host, upstream_incarnation incarnation, bool warm)
{
    host.table().on_peer_evidence({first_upstream, incarnation, warm}, host.clock().now());
}

void fail(table_under_test& host, attempt_failure failure)
{
    host.table().on_failure(first_upstream, failure, milliseconds{5}, host.clock().now());
}

class upstream_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_table_test);
    CPPUNIT_TEST(slow_replies_do_not_count);
    CPPUNIT_TEST(cancelled_requests_keep_their_slot);
    CPPUNIT_TEST(reports_a_warm_upstream_once);
    CPPUNIT_TEST(reports_a_restart);
    CPPUNIT_TEST(owner_without_traffic_grants_leases);
    CPPUNIT_TEST(leased_requests_are_not_used_by_the_owner);
    CPPUNIT_TEST(returned_data_centre_is_cold);
    CPPUNIT_TEST(sends_no_new_requests_to_removed_upstreams);
    CPPUNIT_TEST(draining_upstream_gets_no_requests);
    CPPUNIT_TEST(removes_undeclared_upstreams);
    CPPUNIT_TEST(states_the_connection_and_deadline_for_the_transport);
    CPPUNIT_TEST(demands_leases_only_for_useful_upstreams);
    CPPUNIT_TEST(cold_requests_end_before_another_host_may_own_them);
    CPPUNIT_TEST_SUITE_END();

  public:
    void slow_replies_do_not_count()
    {
        const auto hosts = host_numbers(1);
        table_under_test host{hosts.front(), hosts};
        CPPUNIT_ASSERT(host.serve(enough_replies, first_incarnation));
        CPPUNIT_ASSERT(host.state() == warm_up_state::warm);
        // the new incarnation replies ten times slower than the warm one did
        CPPUNIT_ASSERT(host.serve(enough_replies, second_incarnation, milliseconds{50}));
        CPPUNIT_ASSERT_EQUAL(1U, host.start_all());
    }

    void cancelled_requests_keep_their_slot()
    {
        const auto hosts = host_numbers(1);
        table_under_test host{hosts.front(), hosts};
        CPPUNIT_ASSERT_EQUAL(1U, host.start_all());
        host.clock().advance(milliseconds{5});
        host.table().on_cancelled(first_upstream, milliseconds{5}, host.clock().now());
        CPPUNIT_ASSERT(std::holds_alternative<all_cold>(host.select()));
        host.clock().advance(cold_request_settings{}.m_cancel_delay);
        CPPUNIT_ASSERT_EQUAL(1U, host.start_all());
    }

    void reports_a_warm_upstream_once()
    {
        const auto hosts = host_numbers(3);
        table_under_test host{owner_among(hosts), hosts};
        CPPUNIT_ASSERT(host.serve(enough_replies, first_incarnation));
        const std::vector<upstream_evidence> expected{{first_upstream, first_incarnation, true}};
        CPPUNIT_ASSERT(host.table().take_evidence() == expected);
        CPPUNIT_ASSERT(host.table().take_evidence().empty());
        CPPUNIT_ASSERT(host.table().all_evidence() == expected);
        host.table().on_disconnected(first_upstream);
        CPPUNIT_ASSERT(host.table().all_evidence().empty());
    }

    void reports_a_restart()
    {
        const auto hosts = host_numbers(3);
        table_under_test host{owner_among(hosts), hosts};
        CPPUNIT_ASSERT(host.serve(1, first_incarnation));
        CPPUNIT_ASSERT(host.serve(1, second_incarnation));
        const std::vector<upstream_evidence> expected{{first_upstream, first_incarnation, false}};
        CPPUNIT_ASSERT(host.table().take_evidence() == expected);
    }

    void owner_without_traffic_grants_leases()
    {
        const auto hosts = host_numbers(3);
        table_under_test host{owner_among(hosts), hosts};
        const cold_lease lease{other_among(hosts).peer(), 1, host.clock().now() + milliseconds{200}};
        CPPUNIT_ASSERT(host.table().grant_cold_lease(first_upstream, lease, host.clock().now()));
    }

    void leased_requests_are_not_used_by_the_owner()
    {
        const auto hosts = host_numbers(3);
        table_under_test host{owner_among(hosts), hosts};
        const cold_lease lease{other_among(hosts).peer(), 1, host.clock().now() + milliseconds{200}};
        CPPUNIT_ASSERT(host.table().grant_cold_lease(first_upstream, lease, host.clock().now()));
        CPPUNIT_ASSERT_EQUAL(0U, host.start_all());
        host.clock().advance(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(1U, host.start_all());
    }

    void returned_data_centre_is_cold()
    {
        const auto hosts = host_numbers(1);
        table_under_test host{hosts.front(), hosts};
        CPPUNIT_ASSERT(host.serve(enough_replies, first_incarnation));
        host.declare({first_upstream}, false, data_centre_state::out_of_service);
        CPPUNIT_ASSERT(std::holds_alternative<no_replica>(host.select()));
        host.clock().advance(seconds{1});
        host.declare({first_upstream});
        receive_evidence(host, first_incarnation, true);
        CPPUNIT_ASSERT_EQUAL(1U, host.start_all());
    }

    void sends_no_new_requests_to_removed_upstreams()
    {
        const auto hosts = host_numbers(1);
        const std::vector<std::function<void(table_under_test&)>> changes{
            [](table_under_test& host) { host.declare({first_upstream}, true); },
            [](table_under_test& host) { host.declare({second_upstream}); },
            [](table_under_test& host)
            { host.declare({first_upstream}, false, data_centre_state::out_of_service); },
        };
        for (const auto& change : changes)
        {
            table_under_test host{hosts.front(), hosts};
            CPPUNIT_ASSERT(host.serve(enough_replies, first_incarnation));
            CPPUNIT_ASSERT(std::holds_alternative<chosen_replica>(host.select()));
            change(host);
            // a request that was planned before the change gets no replica
            CPPUNIT_ASSERT(std::holds_alternative<no_replica>(host.select()));
            // the request in flight ends normally
            host.clock().advance(milliseconds{5});
            host.reply(first_incarnation);
            CPPUNIT_ASSERT(std::holds_alternative<no_replica>(host.select()));
        }
    }

    void draining_upstream_gets_no_requests()
    {
        const auto hosts = host_numbers(1);
        table_under_test host{hosts.front(), hosts};
        CPPUNIT_ASSERT(host.serve(enough_replies, first_incarnation));
        (void)host.select();
        (void)host.select();
        fail(host, attempt_failure::draining);
        CPPUNIT_ASSERT(std::holds_alternative<no_replica>(host.select()));
        host.clock().advance(milliseconds{5});
        host.reply(first_incarnation);
        host.clock().advance(seconds{60});
        CPPUNIT_ASSERT(std::holds_alternative<no_replica>(host.select()));
        // the process has ended; another one may serve the address
        host.table().on_disconnected(first_upstream);
        CPPUNIT_ASSERT(host.serve(enough_replies, second_incarnation));
    }

    void removes_undeclared_upstreams()
    {
        const auto hosts = host_numbers(1);
        table_under_test host{hosts.front(), hosts};
        CPPUNIT_ASSERT(host.serve(1, first_incarnation));
        (void)host.select();
        host.declare({second_upstream});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, host.table().size());
        host.clock().advance(milliseconds{5});
        host.reply(first_incarnation);
        receive_evidence(host, first_incarnation, true);
        host.declare({second_upstream});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.table().size());
        receive_evidence(host, first_incarnation, true);
        (void)host.select();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host.table().size());
    }

    void states_the_connection_and_deadline_for_the_transport()
    {
        const auto hosts = host_numbers(1);
        table_under_test host{hosts.front(), hosts};
        const auto first = std::get<chosen_replica>(host.select());
        CPPUNIT_ASSERT(!first.requires_connection());
        CPPUNIT_ASSERT(first.end_by() == host.clock().now() + cold_request_settings{}.m_attempt_limit);
        host.clock().advance(milliseconds{5});
        host.reply(first_incarnation);
        CPPUNIT_ASSERT(host.serve(enough_replies, first_incarnation));
        const auto warm = std::get<chosen_replica>(host.select());
        CPPUNIT_ASSERT(warm.requires_connection());
        CPPUNIT_ASSERT(warm.end_by() == time_point::max());
    }

    void cold_requests_end_before_another_host_may_own_them()
    {
        const auto hosts = host_numbers(3);
        const listed_host self = owner_among(hosts);
        table_under_test host{self, hosts};
        const time_point now = host.clock().now();
        const time_point cold_until = now + milliseconds{100};
        host.table().set_views({host_view{1, self, hosts}}, cold_until);
        const auto grant_until = [&](time_point until)
        {
            const cold_lease lease{other_among(hosts).peer(), 1, until};
            return host.table().grant_cold_lease(first_upstream, lease, now);
        };
        CPPUNIT_ASSERT(!grant_until(cold_until + milliseconds{1}));
        const auto chosen = std::get<chosen_replica>(host.select());
        CPPUNIT_ASSERT(chosen.end_by() == cold_until - cold_request_settings{}.m_cancel_delay);
        host.table().on_failure(first_upstream, attempt_failure::not_connected, milliseconds{0}, now);
        CPPUNIT_ASSERT(grant_until(cold_until));
    }

    void demands_leases_only_for_useful_upstreams()
    {
        struct demand_case
        {
            std::string m_name;
            std::string m_data_centre;
            bool m_other_is_warm;
            std::size_t m_demands;
        };
        const std::vector<demand_case> cases{
            {"local, another is warm", "a", true, 1},
            {"local, all cold", "a", false, 2},
            {"remote, another is warm", "b", true, 0},
            {"remote, all cold", "b", false, 2},
        };
        for (const demand_case& tested : cases)
        {
            auto hosts = host_numbers(3);
            const listed_host self = add_host_that_owns_nothing(hosts, tested.m_data_centre);
            table_under_test host{self, hosts};
            host.declare({first_upstream, second_upstream});
            host.plan_anew();
            if (tested.m_other_is_warm)
            {
                const time_point now = host.clock().now();
                host.table().on_peer_evidence({second_upstream, first_incarnation, true}, now);
                host.table().accept_cold_lease(second_upstream, 1, now + seconds{1}, now + seconds{1});
                CPPUNIT_ASSERT(std::holds_alternative<chosen_replica>(host.select()));
                host.clock().advance(milliseconds{5});
                host.table().on_reply(second_upstream, first_incarnation, milliseconds{5},
                                      host.clock().now());
                (void)host.table().take_cold_demands();
            }
            (void)host.select();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(tested.m_name, tested.m_demands,
                                         host.table().take_cold_demands().size());
        }
    }

  private:
    static listed_host add_host_that_owns_nothing(std::vector<listed_host>& hosts,
                                                  const std::string& data_centre)
    {
        for (std::uint32_t number = 9;; ++number)
        {
            auto all = hosts;
            const listed_host added{host_number(number).peer(), data_centre};
            all.push_back(added);
            const host_view view{1, added, all};
            const bool owns_first = cold_owner_of(replica{"a", first_upstream, false}, view) == added;
            const bool owns_second = cold_owner_of(replica{"a", second_upstream, false}, view) == added;
            if (!owns_first && !owns_second)
            {
                hosts = all;
                return added;
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_table_test);

} // namespace
