#include <cppunit/extensions/HelperMacros.h>

#include "publication_agent_fixture.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

constexpr duration drain_bound = 3s;
// time after trouble of a node's links in which changes may be late
constexpr duration contact_time = 4s;
constexpr const char* instance = "i-1";

class publication_agent_test : public CppUnit::TestFixture, agent_fixture
{
    CPPUNIT_TEST_SUITE(publication_agent_test);
    CPPUNIT_TEST(removed_entry_is_dropped_although_single_calls_fail);
    CPPUNIT_TEST(entry_that_may_have_expired_is_kept_for_a_while);
    CPPUNIT_TEST(removed_entry_is_dropped_although_a_watch_was_cut);
    CPPUNIT_TEST(removed_entry_is_dropped_soon_after_a_silent_watch);
    CPPUNIT_TEST(current_node_does_not_keep_what_a_peer_keeps);
    CPPUNIT_TEST(removed_entry_is_dropped_if_peers_kept_the_node_current);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        m_agent->on_listing({{instance, "ready", 1}}, at(1), now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
    }

    // guards against removed upstreams that stay in use while the source turns single calls away: each such
    // call used to start a time in which nothing is dropped
    void removed_entry_is_dropped_although_single_calls_fail()
    {
        for (int round = 0; round < 3; ++round)
        {
            answer_for(1200ms);
            const time_point failed_call = m_clock.now();
            m_agent->on_source_lost("status 503", failed_call);
            step(150ms);
            m_agent->on_source_regained(failed_call);
            if (round == 0)
            {
                remove();
            }
        }
        CPPUNIT_ASSERT(m_clock.now() > m_removed_at + 2300ms);
        CPPUNIT_ASSERT(m_clock.now() < m_removed_at + drain_bound);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

    void entry_that_may_have_expired_is_kept_for_a_while()
    {
        m_agent->on_source_lost("no answer", m_clock.now());
        step(5s);
        m_agent->on_source_regained(m_clock.now() - 1300ms);
        remove();
        answer_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
        answer_for(400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

    // guards against removed upstreams that stay in use for 2.2 s after each watch that is cut in a calm
    // store
    void removed_entry_is_dropped_although_a_watch_was_cut()
    {
        // the watch that was cut began 1.1 s before, and the one before it 1.2 s earlier
        step(2300ms);
        const time_point cut_at = m_clock.now();
        m_agent->on_source_lost("lost", cut_at);
        step(450ms);
        m_agent->on_source_regained(cut_at - 1100ms);
        remove();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

    // guards against removed upstreams that stay in use beyond the time after which a node whose connections
    // fell silent must be up to date again
    void removed_entry_is_dropped_soon_after_a_silent_watch()
    {
        const time_point silent_since = m_clock.now();
        step(2200ms);
        m_agent->on_source_lost("no answer", silent_since);
        step(600ms);
        m_agent->on_source_regained(silent_since);
        remove();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
        step(silent_since + contact_time - 100ms - m_clock.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

    // guards against a node in touch that keeps removed upstreams since a reader was cut off from the source
    void current_node_does_not_keep_what_a_peer_keeps()
    {
        struct row
        {
            duration m_own_age;  ///< since this node's items were current
            duration m_delay;    ///< of the peer's reply
            std::size_t m_kept;  ///< number of upstreams after the reply
            std::size_t m_later; ///< the same 1.9 s after the request, when the peer keeps nothing any more
        };
        const std::vector<row> rows{
            {1200ms, 50ms, 0, 0}, {5000ms, 50ms, 1, 0}, {5000ms, 1700ms, 1, 0}, {5000ms, 2100ms, 0, 0}};
        for (const row& each : rows)
        {
            ++m_revision;
            m_agent->on_listing({{instance, "ready", m_revision}}, at(m_revision), now());
            m_agent->on_members({peer}, {});
            m_agent->on_source_lost("no answer", m_clock.now());
            m_clock.advance(each.m_own_age);
            const std::vector<outgoing_message> sent = m_agent->on_tick();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
            publication_reply reply;
            reply.m_call = std::get<publication_request>(sent.front().m_content).m_call;
            reply.m_as_of = at(++m_revision);
            reply.m_items = {{instance, std::nullopt, m_revision}};
            reply.m_expiry_grace = 1800ms;
            m_clock.advance(each.m_delay);
            m_agent->on_reply(peer, reply);
            CPPUNIT_ASSERT_EQUAL(each.m_kept, m_directory.size());
            step(std::max<duration>(1900ms - each.m_delay, 0ms));
            CPPUNIT_ASSERT_EQUAL(each.m_later, m_directory.size());
            step(10s);
        }
    }

    // guards against removed upstreams that stay in use since a node was cut off alone
    void removed_entry_is_dropped_if_peers_kept_the_node_current()
    {
        m_agent->on_members({peer}, {});
        m_agent->on_source_lost("no answer", m_clock.now());
        m_clock.advance(5s);
        const std::vector<outgoing_message> sent = m_agent->on_tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        publication_reply reply;
        reply.m_call = std::get<publication_request>(sent.front().m_content).m_call;
        reply.m_as_of = at(m_revision);
        reply.m_confirmation_age = 100ms;
        reply.m_staleness = 100ms;
        m_agent->on_reply(peer, reply);
        m_clock.advance(500ms);
        m_agent->on_source_regained(m_clock.now() - 300ms);
        remove();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

  private:
    static constexpr endpoint peer{2, 7000};

    static publication_position at(std::uint64_t revision)
    {
        return {1, revision};
    }

    /// the source answers calls for some time, without changes
    void answer_for(duration length)
    {
        constexpr duration period = 200ms;
        for (duration passed{}; passed < length; passed += period)
        {
            step(period);
            m_agent->on_changes({}, at(m_revision), now());
        }
    }

    void remove()
    {
        ++m_revision;
        m_agent->on_changes({{instance, std::nullopt, m_revision}}, at(m_revision), now());
        m_removed_at = m_clock.now();
    }

    std::uint64_t m_revision{1};
    time_point m_removed_at{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(publication_agent_test);

} // namespace
