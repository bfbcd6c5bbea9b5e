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

class configuration_relay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_relay_test);
    CPPUNIT_TEST(adopts_only_higher_numbers);
    CPPUNIT_TEST(delays_texts_below_the_highest_known_number);
    CPPUNIT_TEST(keeps_the_current_revision_when_a_text_is_rejected);
    CPPUNIT_TEST(rejects_texts_too_large_to_relay);
    CPPUNIT_TEST(reports_two_texts_under_one_number);
    CPPUNIT_TEST(adopts_two_publications_in_a_row);
    CPPUNIT_TEST(replies_with_deltas);
    CPPUNIT_TEST(requests_the_full_text_after_an_invalid_delta);
    CPPUNIT_TEST(drops_replies_that_dont_match_their_digest);
    CPPUNIT_TEST(bounds_full_texts);
    CPPUNIT_TEST(requests_from_another_peer_without_a_reply);
    CPPUNIT_TEST_SUITE_END();

  public:
    void adopts_only_higher_numbers()
    {
        struct row
        {
            revision_number m_offered;
            revision_number m_in_force;
        };
        const row rows[] = {{3, 3}, {2, 3}, {3, 3}, {0, 3}, {5, 5}, {4, 5}, {6, 6}, {1, 6}};
        relay_fixture node;
        for (const row& each : rows)
        {
            const bool is_new = each.m_in_force == each.m_offered && each.m_offered > node.in_force();
            CPPUNIT_ASSERT_EQUAL(is_new,
                                 node.m_relay.on_text(each.m_offered, text_of(each.m_offered), node.now()));
            CPPUNIT_ASSERT_EQUAL(each.m_in_force, node.in_force());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, node.m_relay.counters().m_outdated);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, node.m_relay.counters().m_conflicting);
    }

    void delays_texts_below_the_highest_known_number()
    {
        relay_fixture node;
        node.serve(1);
        (void)node.m_relay.on_announcement(first_peer, 5, node.now());
        CPPUNIT_ASSERT_EQUAL(revision_number{5}, node.m_relay.highest_known());
        CPPUNIT_ASSERT(!node.m_relay.on_text(3, text_of(3), node.now()));
        CPPUNIT_ASSERT(!node.m_relay.on_text(4, text_of(4), node.now()));
        node.pass(500ms);
        CPPUNIT_ASSERT_EQUAL(revision_number{1}, node.in_force());
        // the peer that announced the newest revision doesn't reply, so the highest received one becomes
        // current
        node.pass(1s);
        CPPUNIT_ASSERT_EQUAL(revision_number{4}, node.in_force());
        CPPUNIT_ASSERT(node.m_relay.on_reply(first_peer, full_reply(5), node.now()));
    }

    void keeps_the_current_revision_when_a_text_is_rejected()
    {
        relay_fixture node;
        node.serve(1);
        CPPUNIT_ASSERT(!node.m_relay.on_text(2, invalid_text, node.now()));
        CPPUNIT_ASSERT(!node.m_relay.on_text(2, invalid_text, node.now()));
        CPPUNIT_ASSERT_EQUAL(revision_number{1}, node.in_force());
        CPPUNIT_ASSERT_EQUAL(revision_number{2}, node.m_relay.rejection()->m_number);
        CPPUNIT_ASSERT(node.m_relay.rejection()->m_reason.find("rate") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, node.m_relay.counters().m_rejected);
        CPPUNIT_ASSERT(node.m_relay.on_announcement(first_peer, 2, node.now()).empty());
        // the next read waits for a revision newer than the rejected one
        CPPUNIT_ASSERT_EQUAL(revision_number{2}, node.m_relay.next_platform_read(node.now())->m_have);
        CPPUNIT_ASSERT(node.m_relay.on_text(3, text_of(3), node.now()));
        CPPUNIT_ASSERT(!node.m_relay.rejection().has_value());
    }

    void rejects_texts_too_large_to_relay()
    {
        relay_fixture node;
        std::string text = text_of(1);
        text.append(max_services_text_bytes - text.size(), '\n');
        CPPUNIT_ASSERT(node.m_relay.on_text(1, text, node.now()));
        CPPUNIT_ASSERT(!node.m_relay.on_text(2, text + "\n", node.now()));
        CPPUNIT_ASSERT(node.m_relay.rejection()->m_reason.find("1048577 bytes") != std::string::npos);
    }

    void reports_two_texts_under_one_number()
    {
        relay_fixture node;
        node.serve(1);
        CPPUNIT_ASSERT(!node.m_relay.on_text(1, text_of(1), node.now()));
        CPPUNIT_ASSERT(!node.m_relay.conflict().has_value());
        CPPUNIT_ASSERT(!node.m_relay.on_text(1, text_of(2), node.now()));
        CPPUNIT_ASSERT_EQUAL(revision_number{1}, node.m_relay.conflict()->m_number);
        CPPUNIT_ASSERT_EQUAL(text_of(1), node.m_cell.get()->text());
        // a text that was truncated in transit is replaced by the complete one and reported as a conflict
        CPPUNIT_ASSERT(!node.m_relay.on_text(2, invalid_text, node.now()));
        CPPUNIT_ASSERT(node.m_relay.on_text(2, text_of(2), node.now()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, node.m_relay.counters().m_conflicting);
    }

    void adopts_two_publications_in_a_row()
    {
        relay_fixture node;
        node.serve(1);
        (void)node.m_relay.on_announcement(first_peer, 2, node.now());
        (void)node.m_relay.on_announcement(second_peer, 3, node.now());
        // the first peer replies after a higher revision number has been announced
        CPPUNIT_ASSERT(!node.m_relay.on_reply(first_peer, full_reply(2), node.now()));
        CPPUNIT_ASSERT(node.m_relay.on_reply(second_peer, full_reply(3), node.now()));
        node.pass(2s);
        CPPUNIT_ASSERT_EQUAL(revision_number{3}, node.in_force());
    }

    void replies_with_deltas()
    {
        relay_fixture node;
        relay_fixture requester;
        node.serve(1);
        requester.serve(1);
        node.m_relay.on_text(2, text_of(2), node.now());
        node.m_relay.on_text(3, text_of(3), node.now());
        const auto requests = requester.m_relay.on_announcement(first_peer, 3, requester.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
        const auto& request = std::get<revision_request>(requests.front().m_content);
        const auto replies = node.m_relay.on_request(second_peer, request, node.now());
        const auto& reply = std::get<revision_reply>(replies.front().m_content);
        CPPUNIT_ASSERT_EQUAL(revision_number{1}, reply.m_base);
        CPPUNIT_ASSERT(reply.m_payload.empty());
        CPPUNIT_ASSERT(requester.m_relay.on_reply(first_peer, reply, requester.now()));
        CPPUNIT_ASSERT_EQUAL(text_of(3), requester.m_cell.get()->text());
    }

    void requests_the_full_text_after_an_invalid_delta()
    {
        const revision_reply rows[] = {
            {2, 1, {}, digest_hex(text_of(2)), {{1'000'000, 1, ""}}, 0, true}, // edit outside the base
            {2, 1, {}, digest_hex(text_of(2)), {{0, 10, "x"}}, 0, true},       // wrong digest
            {2, 99, {}, digest_hex(text_of(2)), {{0, 10, "x"}}, 0, true},      // base not available
        };
        for (const revision_reply& reply : rows)
        {
            relay_fixture node;
            node.serve(1);
            (void)node.m_relay.on_announcement(first_peer, 2, node.now());
            CPPUNIT_ASSERT(!node.m_relay.on_reply(first_peer, reply, node.now()));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, node.m_relay.counters().m_invalid);
            const auto requests = node.m_relay.on_announcement(second_peer, 2, node.now());
            const auto& request = std::get<revision_request>(requests.front().m_content);
            CPPUNIT_ASSERT_EQUAL(revision_number{0}, request.m_have);
            CPPUNIT_ASSERT(node.m_relay.on_reply(second_peer, full_reply(2), node.now()));
        }
    }

    void drops_replies_that_dont_match_their_digest()
    {
        relay_fixture node;
        node.serve(1);
        revision_reply reply = full_reply(2);
        reply.m_payload += "\n";
        CPPUNIT_ASSERT(!node.m_relay.on_reply(first_peer, reply, node.now()));
        reply = full_reply(2);
        reply.m_payload = std::string(max_services_text_bytes + 1, '\n');
        reply.m_digest = digest_hex(reply.m_payload);
        CPPUNIT_ASSERT(!node.m_relay.on_reply(first_peer, reply, node.now()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, node.m_relay.counters().m_invalid);
        CPPUNIT_ASSERT(node.m_relay.on_reply(first_peer, full_reply(2), node.now()));
    }

    void bounds_full_texts()
    {
        relay_settings settings;
        const std::size_t size = text_of(1).size();
        settings.m_max_text_bytes = 2.5 * static_cast<double>(size);
        settings.m_text_bytes_per_second = static_cast<double>(size);
        relay_fixture node{settings};
        node.serve(1);
        const auto has_text = [&node]
        {
            const auto replies = node.m_relay.on_request(first_peer, revision_request{0, 0}, node.now());
            return !std::get<revision_reply>(replies.front().m_content).m_digest.empty();
        };
        const bool expected[] = {true, true, false, false};
        for (const bool each : expected)
        {
            CPPUNIT_ASSERT_EQUAL(each, has_text());
        }
        node.pass(1s);
        CPPUNIT_ASSERT(has_text());
        CPPUNIT_ASSERT(!has_text());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, node.m_relay.counters().m_refused_texts);
    }

    void requests_from_another_peer_without_a_reply()
    {
        relay_fixture node;
        node.serve(1);
        const auto first = node.m_relay.on_announcement(first_peer, 2, node.now());
        CPPUNIT_ASSERT(first.front().m_receiver == first_peer);
        CPPUNIT_ASSERT(node.m_relay.on_announcement(second_peer, 2, node.now()).empty());
        (void)node.m_relay.on_reply(first_peer, revision_reply{2, 0, {}, {}, {}, 0, true}, node.now());
        const auto second = node.m_relay.on_tick(peers_at(node.now()), node.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
        CPPUNIT_ASSERT(second.front().m_receiver == second_peer);
        (void)node.m_relay.on_announcement(first_peer, 2, node.now());
        const auto third = node.pass(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third.size());
        CPPUNIT_ASSERT(third.front().m_receiver == first_peer);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_relay_test);

} // namespace
