#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <variant>
#include <vector>

#include "teasellead/fleet/publication_follower.hpp"
#include "teasellead/fleet/publication_log.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;

constexpr time_point start{1h};
constexpr endpoint peer_address{2, 7000};

using items = std::vector<published_item>;

class publication_epochs_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publication_epochs_test);
    CPPUNIT_TEST(listing_of_a_newer_epoch_replaces_all);
    CPPUNIT_TEST(updates_of_another_epoch_change_nothing);
    CPPUNIT_TEST(node_of_another_epoch_gets_all_items);
    CPPUNIT_TEST(items_beyond_the_position_of_a_listing_are_passed_on);
    CPPUNIT_TEST(reply_of_an_older_epoch_confirms_nothing);
    CPPUNIT_TEST(reply_of_a_newer_epoch_replaces_all);
    CPPUNIT_TEST(node_of_the_version_before_gets_changes_by_revision);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        m_log.on_listing({{"a", "1", 40}, {"b", "1", 90}, {"c", "1", 95}}, {1, 100});
    }

    // guards against changes that are passed over because their revisions were given out before
    void listing_of_a_newer_epoch_replaces_all()
    {
        const items changes = m_log.on_listing({{"a", "1", 40}, {"b", "0", 20}}, {2, 50});
        CPPUNIT_ASSERT((changes == items{{"b", "0", 20}, {"c", std::nullopt, 50}}));
        CPPUNIT_ASSERT((m_log.as_of() == publication_position{2, 50}));
        CPPUNIT_ASSERT((m_log.on_changes({{"b", "2", 51}}, {2, 51}) == items{{"b", "2", 51}}));
        CPPUNIT_ASSERT((m_log.on_changes({{"c", "2", 52}}, {2, 52}) == items{{"c", "2", 52}}));
        CPPUNIT_ASSERT((m_log.since({2, 51}).m_items == items{{"c", "2", 52}}));
    }

    void updates_of_another_epoch_change_nothing()
    {
        m_log.on_listing({{"a", "1", 40}}, {2, 50});
        CPPUNIT_ASSERT(m_log.on_listing({{"a", "9", 99}}, {1, 120}).empty());
        for (const std::uint64_t epoch : {1U, 3U})
        {
            CPPUNIT_ASSERT(m_log.on_changes({{"a", "9", 60}}, {epoch, 60}).empty());
        }
        CPPUNIT_ASSERT((m_log.as_of() == publication_position{2, 50}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_log.take_outdated().m_listings);
    }

    void node_of_another_epoch_gets_all_items()
    {
        m_log.on_listing({{"a", "1", 40}}, {2, 50});
        const publication_delta delta = m_log.since({1, 100});
        CPPUNIT_ASSERT(delta.m_is_full);
        CPPUNIT_ASSERT((delta.m_items == items{{"a", "1", 40}}));
        CPPUNIT_ASSERT(delta.m_unchanged.empty());
        CPPUNIT_ASSERT((m_log.since({3, 1}) == publication_delta{{}, {}, {2, 50}, false}));
    }

    /// the pages of a listing aren't a snapshot
    void items_beyond_the_position_of_a_listing_are_passed_on()
    {
        m_log.on_listing({{"a", "1", 40}, {"d", "1", 53}}, {2, 50});
        CPPUNIT_ASSERT(m_log.on_changes({{"d", "1", 53}}, {2, 53}).empty());
        CPPUNIT_ASSERT((m_log.since({2, 50}).m_items == items{{"d", "1", 53}}));
    }

    // guards against followers that count as current since a reader on the lost history answers them
    void reply_of_an_older_epoch_confirms_nothing()
    {
        m_log.on_listing({{"a", "1", 40}}, {2, 50});
        const auto updates = receive({{1, 100}, false, {{"a", "9", 99}}});
        CPPUNIT_ASSERT(updates && updates->m_items.empty() && !updates->m_confirmed_at);
        CPPUNIT_ASSERT(updates->m_expiry_grace_end == time_point{});
        CPPUNIT_ASSERT((m_log.as_of() == publication_position{2, 50}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_asking.counts().m_from_older_epochs);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_asking.counts().m_from_readers);
    }

    void reply_of_a_newer_epoch_replaces_all()
    {
        struct row
        {
            bool m_is_full;
            std::vector<std::string> m_unchanged; ///< can't be told from a node with other items
            bool m_is_taken;
        };
        for (const row& each : std::vector<row>{{false, {}, false}, {true, {"b"}, false}, {true, {}, true}})
        {
            setUp();
            const auto updates = receive({{2, 50}, each.m_is_full, {{"a", "0", 20}}, each.m_unchanged});
            CPPUNIT_ASSERT_EQUAL(each.m_is_taken, updates->m_confirmed_at.has_value());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{each.m_is_taken ? 2U : 1U}, m_log.as_of().epoch());
        }
    }

    /// such a node asks with a revision alone and reads no epoch
    void node_of_the_version_before_gets_changes_by_revision()
    {
        m_log.on_changes({{"a", "2", 101}}, {1, 101});
        const auto message = m_asking.answer(peer_address, {7, {0, 100}, false}, m_log, 0ms, start);
        const auto& reply = std::get<publication_reply>(message.m_content);
        CPPUNIT_ASSERT(!reply.m_is_full);
        CPPUNIT_ASSERT((reply.m_items == items{{"a", "2", 101}}));
        CPPUNIT_ASSERT((reply.m_as_of == publication_position{1, 101}));
    }

  private:
    /// what varies in a reply
    struct reply_content
    {
        publication_position m_as_of;
        bool m_is_full{false};
        items m_items;
        std::vector<std::string> m_unchanged{};
    };

    /// the reply of a reader to the request of a follower
    std::optional<peer_updates> receive(const reply_content& content)
    {
        m_now += 1s;
        m_asking.on_members({peer_address}, {});
        m_asking.on_source(false, m_now);
        m_asking.on_confirmation({m_now, m_now});
        const std::vector<outgoing_message> sent = m_asking.on_tick(m_log.as_of(), m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        publication_reply reply;
        reply.m_call = std::get<publication_request>(sent.front().m_content).m_call;
        reply.m_as_of = content.m_as_of;
        reply.m_is_full = content.m_is_full;
        reply.m_items = content.m_items;
        reply.m_unchanged = content.m_unchanged;
        reply.m_confirmation_age = 10ms;
        reply.m_staleness = 10ms;
        reply.m_expiry_grace = 500ms;
        reply.m_is_reader = true;
        return m_asking.on_reply(peer_address, reply, m_log);
    }

    time_point m_now{start};
    publication_log m_log;
    publication_follower m_asking{endpoint{1, 7000}, follower_settings{}, 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(publication_epochs_test);

} // namespace
