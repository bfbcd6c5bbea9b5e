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

/// events at a host, and the number of requests that it may have in flight afterwards
struct warm_up_case
{
    std::string m_name;
    bool m_owner;
    std::function<void(table_under_test&)> m_events;
    std::uint32_t m_allowed;
};

void receive_evidence(table_under_test& host, upstream_incarnation incarnation, bool warm)
{
    host.table().on_peer_evidence({first_upstream, incarnation, warm}, host.clock().now());
}

void accept_lease(table_under_test& host)
{
    const time_point now = host.clock().now();
    host.table().accept_cold_lease(first_upstream, 1, now + milliseconds{100}, now + milliseconds{180});
}

/// a host that isn't the owner confirms that the first incarnation is warm: by a peer's evidence and
/// by a reply of its own
void confirm_first_incarnation(table_under_test& host)
{
    receive_evidence(host, first_incarnation, true);
    accept_lease(host);
    CPPUNIT_ASSERT(host.serve(1, first_incarnation));
    host.clock().advance(milliseconds{200});
}

void fail(table_under_test& host, attempt_failure failure)
{
    host.table().on_failure(first_upstream, failure, milliseconds{5}, host.clock().now());
}

// three hosts, four slots: the share of a warm upstream is two requests
const std::vector<warm_up_case>& warm_up_cases()
{
    static const std::vector<warm_up_case> cases{
        {"owner, no evidence", true, [](table_under_test&) {}, 1},
        {"other host, no evidence", false, [](table_under_test&) {}, 0},
        {"owner, all good", true,
         [](table_under_test& host) { host.serve(enough_replies, first_incarnation); }, 2},
        {"owner, no incarnation", true, [](table_under_test& host) { host.serve(enough_replies, 0); }, 4},
        {"other host, evidence only", false,
         [](table_under_test& host) { receive_evidence(host, first_incarnation, true); }, 0},
        {"other host, evidence and own reply", false, confirm_first_incarnation, 2},
        {"other host, own reply only", false,
         [](table_under_test& host)
         {
             accept_lease(host);
             host.serve(enough_replies, first_incarnation);
             host.clock().advance(milliseconds{200});
         },
         0},
        {"evidence after own reply", false,
         [](table_under_test& host)
         {
             accept_lease(host);
             host.serve(1, first_incarnation);
             host.clock().advance(milliseconds{200});
             receive_evidence(host, first_incarnation, true);
         },
         2},
        {"evidence of another incarnation", false,
         [](table_under_test& host)
         {
             accept_lease(host);
             host.serve(1, second_incarnation);
             host.clock().advance(milliseconds{200});
             receive_evidence(host, first_incarnation, true);
         },
         0},
        {"evidence without an incarnation", false,
         [](table_under_test& host)
         {
             accept_lease(host);
             host.serve(1, 0);
             host.clock().advance(milliseconds{200});
             receive_evidence(host, 0, true);
         },
         0},
        {"restart reported", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             receive_evidence(host, first_incarnation, false);
         },
         0},
        {"old evidence repeated after a restart was reported", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             receive_evidence(host, first_incarnation, false);
             receive_evidence(host, first_incarnation, true);
         },
         0},
        {"restart of another incarnation reported", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             receive_evidence(host, second_incarnation, false);
         },
         2},
        {"disconnected", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             host.table().on_disconnected(first_upstream);
         },
         0},
        {"disconnected, evidence repeated", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             host.table().on_disconnected(first_upstream);
             receive_evidence(host, first_incarnation, true);
         },
         0},
        {"disconnected, late reply", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             CPPUNIT_ASSERT(std::holds_alternative<chosen_replica>(host.select()));
             host.table().on_disconnected(first_upstream);
             host.clock().advance(milliseconds{5});
             host.reply(first_incarnation);
         },
         0},
        {"reconnected to the same incarnation", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             host.table().on_disconnected(first_upstream);
             host.clock().advance(milliseconds{1});
             accept_lease(host);
             host.serve(1, first_incarnation);
             host.clock().advance(milliseconds{200});
         },
         2},
        {"reconnected to another incarnation", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             host.table().on_disconnected(first_upstream);
             host.clock().advance(milliseconds{1});
             accept_lease(host);
             host.serve(1, second_incarnation);
             host.clock().advance(milliseconds{200});
         },
         0},
        {"owner, another incarnation on an open connection", true,
         [](table_under_test& host)
         {
             host.serve(enough_replies, first_incarnation);
             host.serve(1, second_incarnation);
         },
         1},
        {"owner, connection broke under a request", true,
         [](table_under_test& host)
         {
             host.serve(enough_replies, first_incarnation);
             (void)host.select();
             fail(host, attempt_failure::lost);
         },
         1},
        {"shed once", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             (void)host.select();
             fail(host, attempt_failure::shed);
         },
         1},
        {"shed twice", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             (void)host.select();
             fail(host, attempt_failure::shed);
             (void)host.select();
             fail(host, attempt_failure::shed);
         },
         0},
        {"borrowed", false, accept_lease, 1},
        {"lease accepted, term over", false,
         [](table_under_test& host)
         {
             accept_lease(host);
             host.clock().advance(milliseconds{100});
         },
         0},
        {"owner, views too old", true,
         [](table_under_test& host)
         {
             const auto hosts = host_numbers(3);
             host.table().set_views({host_view{1, owner_among(hosts), hosts}}, host.clock().now());
         },
         0},
        {"owner in one of two views", true,
         [](table_under_test& host)
         {
             const auto hosts = host_numbers(3);
             const listed_host self = owner_among(hosts);
             auto more = hosts;
             for (std::uint32_t number = 3; owner_among(more) == self; ++number)
             {
                 more.push_back(host_number(number));
             }
             host.table().set_views({host_view{1, self, hosts}, host_view{2, self, more}});
         },
         0},
        {"healthy but cold", false,
         [](table_under_test& host) { host.table().on_health(first_upstream, true, host.clock().now()); }, 0},
        {"unhealthy but warm", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             for (int round = 0; round < 10; ++round)
             {
                 host.table().on_health(first_upstream, false, host.clock().now());
                 host.clock().advance(seconds{2});
             }
         },
         1},
        {"unhealthy, then good replies", false,
         [](table_under_test& host)
         {
             confirm_first_incarnation(host);
             host.table().on_health(first_upstream, false, host.clock().now());
             host.serve(enough_replies, first_incarnation);
         },
         2},
    };
    return cases;
}

class upstream_trust_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_trust_test);
    CPPUNIT_TEST(treats_an_upstream_as_warm_only_with_evidence);
    CPPUNIT_TEST_SUITE_END();

  public:
    void treats_an_upstream_as_warm_only_with_evidence()
    {
        const auto hosts = host_numbers(3);
        for (const warm_up_case& tested : warm_up_cases())
        {
            table_under_test host{tested.m_owner ? owner_among(hosts) : other_among(hosts), hosts};
            tested.m_events(host);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(tested.m_name, tested.m_allowed, host.start_all());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_trust_test);

} // namespace
