#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

#include "upstream_fixture.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::fixture;

constexpr upstream_incarnation first_run = 71;
constexpr upstream_incarnation second_run = 72;
constexpr std::uint32_t enough_replies = 40;

/// events at a host, and the requests that it may have in flight afterwards
struct trust_case
{
    std::string m_name;
    bool m_owner;
    std::function<void(table_under_test&)> m_events;
    std::uint32_t m_allowed;
};

void hear(table_under_test& host, upstream_incarnation incarnation, bool warm)
{
    host.table().on_peer_evidence({first_upstream, incarnation, warm}, host.clock().now());
}

void borrow(table_under_test& host)
{
    const time_point now = host.clock().now();
    host.table().accept_cold_lease(first_upstream, 1, now + milliseconds{100}, now + milliseconds{180});
}

/// a host that isn't the owner becomes sure of the first run
void prove_elsewhere(table_under_test& host)
{
    hear(host, first_run, true);
    borrow(host);
    CPPUNIT_ASSERT(host.serve(1, first_run));
    host.clock().advance(milliseconds{200});
}

void fail(table_under_test& host, attempt_failure failure)
{
    host.table().on_failure(first_upstream, failure, milliseconds{5}, host.clock().now());
}

// three hosts, four slots: the share of a warm upstream is two requests
const std::vector<trust_case>& trust_cases()
{
    static const std::vector<trust_case> cases{
        {"owner, nothing known", true, [](table_under_test&) {}, 1},
        {"other host, nothing known", false, [](table_under_test&) {}, 0},
        {"owner, all good", true, [](table_under_test& host) { host.serve(enough_replies, first_run); }, 2},
        {"owner, no incarnation", true, [](table_under_test& host) { host.serve(enough_replies, 0); }, 4},
        {"other host, evidence only", false, [](table_under_test& host) { hear(host, first_run, true); }, 0},
        {"other host, evidence and own reply", false, prove_elsewhere, 2},
        {"other host, own reply only", false,
         [](table_under_test& host)
         {
             borrow(host);
             host.serve(enough_replies, first_run);
             host.clock().advance(milliseconds{200});
         },
         0},
        {"evidence after own reply", false,
         [](table_under_test& host)
         {
             borrow(host);
             host.serve(1, first_run);
             host.clock().advance(milliseconds{200});
             hear(host, first_run, true);
         },
         2},
        {"evidence of another run", false,
         [](table_under_test& host)
         {
             borrow(host);
             host.serve(1, second_run);
             host.clock().advance(milliseconds{200});
             hear(host, first_run, true);
         },
         0},
        {"evidence without an incarnation", false,
         [](table_under_test& host)
         {
             borrow(host);
             host.serve(1, 0);
             host.clock().advance(milliseconds{200});
             hear(host, 0, true);
         },
         0},
        {"restart heard", false,
         [](table_under_test& host)
         {
             prove_elsewhere(host);
             hear(host, first_run, false);
         },
         0},
        {"old evidence repeated after a restart was heard", false,
         [](table_under_test& host)
         {
             prove_elsewhere(host);
             hear(host, first_run, false);
             hear(host, first_run, true);
         },
         0},
        {"restart of another run heard", false,
         [](table_under_test& host)
         {
             prove_elsewhere(host);
             hear(host, second_run, false);
         },
         2},
        {"disconnected", false,
         [](table_under_test& host)
         {
             prove_elsewhere(host);
             host.table().on_disconnected(first_upstream);
         },
         0},
        {"disconnected, evidence repeated", false,
         [](table_under_test& host)
         {
             prove_elsewhere(host);
             host.table().on_disconnected(first_upstream);
             hear(host, first_run, true);
         },
         0},
        {"disconnected, late reply", false,
         [](table_under_test& host)
         {
             prove_elsewhere(host);
             CPPUNIT_ASSERT(std::holds_alternative<chosen_replica>(host.select()));
             host.table().on_disconnected(first_upstream);
             host.clock().advance(milliseconds{5});
             host.reply(first_run);
         },
         0},
        {"reconnected to the same run", false,
         [](table_under_test& host)
         {
             prove_elsewhere(host);
             host.table().on_disconnected(first_upstream);
             host.clock().advance(milliseconds{1});
             borrow(host);
             host.serve(1, first_run);
             host.clock().advance(milliseconds{200});
         },
         2},
        {"reconnected to another run", false,
         [](table_under_test& host)
         {
             prove_elsewhere(host);
             host.table().on_disconnected(first_upstream);
             host.clock().advance(milliseconds{1});
             borrow(host);
             host.serve(1, second_run);
             host.clock().advance(milliseconds{200});
         },
         0},
        {"owner, another run on an open connection", true,
         [](table_under_test& host)
         {
             host.serve(enough_replies, first_run);
             host.serve(1, second_run);
         },
         1},
        {"owner, connection broke under a request", true,
         [](table_under_test& host)
         {
             host.serve(enough_replies, first_run);
             (void)host.select();
             fail(host, attempt_failure::lost);
         },
         1},
        {"shed once", false,
         [](table_under_test& host)
         {
             prove_elsewhere(host);
             (void)host.select();
             fail(host, attempt_failure::shed);
         },
         1},
        {"shed twice", false,
         [](table_under_test& host)
         {
             prove_elsewhere(host);
             (void)host.select();
             fail(host, attempt_failure::shed);
             (void)host.select();
             fail(host, attempt_failure::shed);
         },
         0},
        {"borrowed", false, borrow, 1},
        {"borrowed, term over", false,
         [](table_under_test& host)
         {
             borrow(host);
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
             prove_elsewhere(host);
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
             prove_elsewhere(host);
             host.table().on_health(first_upstream, false, host.clock().now());
             host.serve(enough_replies, first_run);
         },
         2},
    };
    return cases;
}

class upstream_trust_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_trust_test);
    CPPUNIT_TEST(trusts_what_it_has_evidence_for);
    CPPUNIT_TEST_SUITE_END();

  public:
    void trusts_what_it_has_evidence_for()
    {
        const auto hosts = host_numbers(3);
        for (const trust_case& tested : trust_cases())
        {
            table_under_test host{tested.m_owner ? owner_among(hosts) : other_among(hosts), hosts};
            tested.m_events(host);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(tested.m_name, tested.m_allowed, host.start_all());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_trust_test);

} // namespace
