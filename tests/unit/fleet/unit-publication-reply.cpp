#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/fleet/publication_follower.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;

constexpr time_point start{1h};

/// a position in the only epoch
publication_position at(std::uint64_t revision)
{
    return {1, revision};
}

published_item text_of(std::size_t bytes, std::uint64_t revision)
{
    return {"text", std::string(bytes, 't'), revision};
}

class publication_reply_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publication_reply_test);
    CPPUNIT_TEST(late_reply_brings_changes);
    CPPUNIT_TEST(node_without_items_uses_only_a_listing_with_all_values);
    CPPUNIT_TEST(large_items_are_sent_once_while_they_may_be_on_their_way);
    CPPUNIT_TEST(replies_beyond_the_rate_have_no_items);
    CPPUNIT_TEST(listing_for_a_node_with_older_items_has_only_what_changed);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        m_asking.on_members({m_reader_address}, {});
        m_known.on_listing({text_of(20, 5)}, at(5));
    }

    // guards against replies that come too late because the link is slow, and are asked for again
    void late_reply_brings_changes()
    {
        const publication_request request = ask(5, start);
        (void)m_asking.on_tick(at(5), start + 300ms);
        publication_reply reply{request.m_call, at(7), false, {text_of(30, 7)}, 10ms, {}, 0ms, true, {}};
        const auto updates = m_asking.on_reply(m_reader_address, reply, m_known);
        CPPUNIT_ASSERT(updates && updates->m_items.size() == 1);
        CPPUNIT_ASSERT(updates->m_confirmed_at == start - 10ms);
        CPPUNIT_ASSERT(m_known.as_of() == at(7));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_asking.counts().m_late);
        CPPUNIT_ASSERT(!m_asking.on_reply(m_reader_address, reply, m_known));
    }

    // guards against a reply to an earlier process at the same address, whose request had the same number
    void node_without_items_uses_only_a_listing_with_all_values()
    {
        struct reply_case
        {
            bool m_is_full;
            std::vector<std::string> m_unchanged;
            std::uint64_t m_as_of_after;
        };
        const std::array<reply_case, 3> cases{{{false, {}, 0}, {true, {"other"}, 0}, {true, {}, 7}}};
        time_point now = start;
        for (const reply_case& each : cases)
        {
            now += 1s;
            publication_log empty;
            const publication_request request = ask(0, now);
            const publication_reply reply{
                request.m_call, at(7),           each.m_is_full, {text_of(30, 7)}, 10ms, {}, 0ms,
                true,           each.m_unchanged};
            const auto updates = m_asking.on_reply(m_reader_address, reply, empty);
            CPPUNIT_ASSERT_EQUAL(each.m_as_of_after, empty.as_of().revision());
            CPPUNIT_ASSERT_EQUAL(each.m_as_of_after > 0, updates->m_confirmed_at.has_value());
        }
    }

    void large_items_are_sent_once_while_they_may_be_on_their_way()
    {
        publication_follower reader = reader_with_rate(1e9);
        m_known.on_changes({text_of(100'000, 6)}, at(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, items_for(reader, 5, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, items_for(reader, 5, start + 350ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, items_for(reader, 5, start + 1000ms));
        // a small change isn't held back
        m_known.on_changes({text_of(100, 7)}, at(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, items_for(reader, 6, start + 1010ms));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, reader.counts().m_deferred);
    }

    void replies_beyond_the_rate_have_no_items()
    {
        publication_follower reader = reader_with_rate(100'000.0);
        reader.on_confirmation({start, start});
        m_known.on_changes({text_of(50'000, 6)}, at(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, items_for(reader, 5, start));
        // 50,000 bytes take 500 ms, of which 100 ms were saved
        const auto deferred = std::get<publication_reply>(
            reader.answer(endpoint{3, 7000}, {1, at(5)}, m_known, 0ms, start + 390ms).m_content);
        CPPUNIT_ASSERT(deferred.m_items.empty());
        CPPUNIT_ASSERT(deferred.m_as_of == at(5));
        CPPUNIT_ASSERT(!deferred.m_confirmation_age);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, items_for(reader, 5, start + 1500ms));
    }

    void listing_for_a_node_with_older_items_has_only_what_changed()
    {
        publication_log other;
        other.on_listing({{"a", "1", 1}, {"b", "1", 2}, {"gone", "1", 3}}, at(3));
        publication_log listed;
        listed.on_listing({{"a", "1", 1}, {"b", "2", 8}}, at(9));
        const publication_delta delta = listed.since(at(3));
        CPPUNIT_ASSERT(delta.m_is_full);
        CPPUNIT_ASSERT((delta.m_items == std::vector<published_item>{{"b", "2", 8}}));
        CPPUNIT_ASSERT((delta.m_unchanged == std::vector<std::string>{"a"}));
        const auto changes = other.on_listing(delta.m_items, delta.m_unchanged, delta.m_as_of);
        const std::vector<published_item> expected{{"b", "2", 8}, {"gone", std::nullopt, 9}};
        CPPUNIT_ASSERT(changes == expected);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, other.size());
    }

  private:
    /// the request of a follower whose items were current until now
    publication_request ask(std::uint64_t have, time_point now)
    {
        m_asking.on_confirmation({now, now});
        const std::vector<outgoing_message> sent = m_asking.on_tick(at(have), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        return std::get<publication_request>(sent.front().m_content);
    }

    static publication_follower reader_with_rate(double bytes_per_second)
    {
        follower_settings settings;
        settings.m_relay_bytes_per_second = bytes_per_second;
        return {endpoint{1, 7000}, settings, 1};
    }

    /// number of items in a reader's reply
    std::size_t items_for(publication_follower& reader, std::uint64_t have, time_point now)
    {
        const auto reply = std::get<publication_reply>(
            reader.answer(endpoint{2, 7000}, {1, at(have)}, m_known, 0ms, now).m_content);
        return reply.m_items.size();
    }

    endpoint m_reader_address{first_ranked()};
    publication_follower m_asking{endpoint{first_ranked() == endpoint{1, 7000} ? 2U : 1U, 7000},
                                  follower_settings{}, 1};
    publication_log m_known;

    static endpoint first_ranked()
    {
        const endpoint first{1, 7000};
        const endpoint second{2, 7000};
        return publication_follower::comes_before(first, second) ? first : second;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(publication_reply_test);

} // namespace
