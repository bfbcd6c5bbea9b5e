#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <variant>
#include <vector>

#include "relay_fixture.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

class revision_check_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(revision_check_test);
    CPPUNIT_TEST(serves_only_at_the_highest_known_revision);
    CPPUNIT_TEST(serves_after_the_limit_without_peers);
    CPPUNIT_TEST(rechecks_after_a_stall);
    CPPUNIT_TEST(ends_the_recheck_without_replies);
    CPPUNIT_TEST(ignores_replies_to_requests_before_the_stall);
    CPPUNIT_TEST(awaits_only_the_last_read);
    CPPUNIT_TEST(needs_a_confirmed_reply);
    CPPUNIT_TEST(starts_with_the_revision_before_a_rejected_one);
    CPPUNIT_TEST(reply_is_unconfirmed_during_a_recheck);
    CPPUNIT_TEST_SUITE_END();

  public:
    void serves_only_at_the_highest_known_revision()
    {
        relay_fixture node;
        (void)node.m_relay.on_announcement(first_peer, 7, node.now());
        node.m_relay.on_text(6, text_of(6), node.now());
        node.pass(60s);
        CPPUNIT_ASSERT(!node.m_relay.may_serve(node.now()));
        CPPUNIT_ASSERT(node.m_relay.on_reply(first_peer, full_reply(7), node.now()));
        CPPUNIT_ASSERT(node.m_relay.may_serve(node.now()));
        // a node that serves goes on serving while it fetches a newer revision
        (void)node.m_relay.on_announcement(first_peer, 8, node.now());
        CPPUNIT_ASSERT(node.m_relay.may_serve(node.now()));
    }

    void serves_after_the_limit_without_peers()
    {
        relay_fixture node;
        CPPUNIT_ASSERT(node.m_relay.on_text(1, text_of(1), node.now()));
        CPPUNIT_ASSERT(!node.m_relay.may_serve(node.now()));
        node.pass(2900ms);
        CPPUNIT_ASSERT(!node.m_relay.may_serve(node.now()));
        node.pass(200ms);
        CPPUNIT_ASSERT(node.m_relay.may_serve(node.now()));
    }

    void rechecks_after_a_stall()
    {
        relay_fixture node;
        node.serve(1);
        node.m_clock.advance(900ms);
        CPPUNIT_ASSERT(!node.m_relay.needs_recheck(node.now()));
        node.pass(50ms);
        node.m_clock.advance(5s);
        // the stall is detected even before the first tick after it
        CPPUNIT_ASSERT(node.m_relay.needs_recheck(node.now()));
        const auto requests = node.m_relay.on_tick(peers_at(node.now()), node.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests.size());
        CPPUNIT_ASSERT_EQUAL(std::chrono::milliseconds{0},
                             node.m_relay.next_platform_read(node.now())->m_wait);
        const std::uint64_t check = std::get<revision_request>(requests.front().m_content).m_check;
        const revision_reply newer{2, 0, {}, {}, {}, check, true};
        (void)node.m_relay.on_reply(first_peer, newer, node.now());
        (void)node.m_relay.on_reply(second_peer, newer, node.now());
        CPPUNIT_ASSERT(node.m_relay.needs_recheck(node.now()));
        CPPUNIT_ASSERT(node.m_relay.on_reply(first_peer, full_reply(2), node.now()));
        CPPUNIT_ASSERT(!node.m_relay.needs_recheck(node.now()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, node.m_relay.counters().m_stalls);
    }

    void ends_the_recheck_without_replies()
    {
        struct row
        {
            bool m_has_heard_of_newer;
            duration m_blocked;
            duration m_open;
        };
        const row rows[] = {{false, 1900ms, 2100ms}, {true, 4900ms, 5100ms}};
        for (const row& each : rows)
        {
            relay_fixture node;
            node.serve(1);
            node.m_clock.advance(10s);
            node.pass(50ms);
            if (each.m_has_heard_of_newer)
            {
                (void)node.m_relay.on_announcement(first_peer, 2, node.now());
            }
            node.pass(each.m_blocked - 50ms);
            CPPUNIT_ASSERT(node.m_relay.needs_recheck(node.now()));
            node.pass(each.m_open - each.m_blocked);
            CPPUNIT_ASSERT(!node.m_relay.needs_recheck(node.now()));
            CPPUNIT_ASSERT(node.m_relay.may_serve(node.now()));
        }
    }

    void ignores_replies_to_requests_before_the_stall()
    {
        relay_fixture node;
        node.serve(1);
        (void)node.m_relay.next_platform_read(node.now());
        node.m_clock.advance(10s);
        node.m_relay.on_platform_current(node.now());
        (void)node.m_relay.on_announcement(first_peer, 1, node.now());
        node.pass(50ms);
        // late replies that belong to another check are ignored
        (void)node.m_relay.on_reply(first_peer, revision_reply{1, 0, {}, {}, {}, 77, true}, node.now());
        (void)node.m_relay.on_reply(second_peer, revision_reply{1, 0, {}, {}, {}, 77, true}, node.now());
        node.pass(1s);
        CPPUNIT_ASSERT(node.m_relay.needs_recheck(node.now()));
        (void)node.m_relay.next_platform_read(node.now());
        node.m_relay.on_platform_current(node.now());
        CPPUNIT_ASSERT(!node.m_relay.needs_recheck(node.now()));
    }

    void awaits_only_the_last_read()
    {
        relay_fixture node;
        node.serve(1);
        const auto before = node.m_relay.next_platform_read(node.now());
        CPPUNIT_ASSERT(node.m_relay.is_running(before->m_id));
        node.m_clock.advance(10s);
        (void)node.m_relay.on_tick({}, node.now());
        // the read that began before the stall is superseded as soon as the stall is detected
        CPPUNIT_ASSERT(!node.m_relay.is_running(before->m_id));
        const auto after = node.m_relay.next_platform_read(node.now());
        CPPUNIT_ASSERT(!node.m_relay.is_running(before->m_id));
        CPPUNIT_ASSERT(node.m_relay.is_running(after->m_id));
        node.m_relay.on_platform_current(node.now());
        CPPUNIT_ASSERT(!node.m_relay.is_running(after->m_id));
    }

    void needs_a_confirmed_reply()
    {
        for (const bool is_confirmed : {false, true})
        {
            relay_fixture node;
            node.serve(1);
            node.m_clock.advance(10s);
            const auto requests = node.m_relay.on_tick(peers_at(node.now()), node.now());
            const std::uint64_t check = std::get<revision_request>(requests.front().m_content).m_check;
            // all peers get a request; replies of peers that stalled too are unconfirmed
            (void)node.m_relay.on_reply(first_peer, {1, 0, {}, {}, {}, check, false}, node.now());
            (void)node.m_relay.on_reply(second_peer, {1, 0, {}, {}, {}, check, is_confirmed}, node.now());
            CPPUNIT_ASSERT_EQUAL(!is_confirmed, node.m_relay.needs_recheck(node.now()));
        }
    }

    void starts_with_the_revision_before_a_rejected_one()
    {
        relay_fixture node;
        CPPUNIT_ASSERT(!node.m_relay.on_text(2, invalid_text, node.now()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, node.m_relay.on_announcement(first_peer, 1, node.now()).size());
        CPPUNIT_ASSERT(node.m_relay.on_reply(first_peer, full_reply(1), node.now()));
        node.pass(4s);
        CPPUNIT_ASSERT(node.m_relay.may_serve(node.now()));
    }

    void reply_is_unconfirmed_during_a_recheck()
    {
        relay_fixture node;
        const auto reply_is_confirmed = [&node]
        {
            const auto replies =
                node.m_relay.on_request(first_peer, revision_request{number_only, 9}, node.now());
            const auto& reply = std::get<revision_reply>(replies.front().m_content);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, reply.m_check);
            CPPUNIT_ASSERT(reply.m_digest.empty());
            return reply.m_is_confirmed;
        };
        CPPUNIT_ASSERT(!reply_is_confirmed());
        node.serve(1);
        CPPUNIT_ASSERT(reply_is_confirmed());
        node.m_clock.advance(3s);
        CPPUNIT_ASSERT(!reply_is_confirmed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(revision_check_test);

} // namespace
