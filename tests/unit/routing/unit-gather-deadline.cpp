#include <cppunit/extensions/HelperMacros.h>

#include "search_fixture.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::testing;
using std::chrono::milliseconds;

class gather_deadline_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gather_deadline_test);
    CPPUNIT_TEST(send_nothing_if_the_deadline_has_passed_at_the_start);
    CPPUNIT_TEST(end_with_the_first_event_after_the_deadline);
    CPPUNIT_TEST(end_partial_at_the_deadline);
    CPPUNIT_TEST(free_all_slots_when_the_caller_disconnects);
    CPPUNIT_TEST_SUITE_END();

  public:
    void send_nothing_if_the_deadline_has_passed_at_the_start()
    {
        search_fixture search{{}};
        const auto actions = search.m_gather.start(search.current(), search.m_start + search.time_limit);
        CPPUNIT_ASSERT(actions.empty());
        CPPUNIT_ASSERT(search.m_gather.finished());
        check_missing(search, missing_reason::deadline, 3);
        CPPUNIT_ASSERT(search.m_gather.result().verdict() == verdict::not_run);
    }

    void end_with_the_first_event_after_the_deadline()
    {
        for (const bool is_reply : {true, false})
        {
            search_fixture search{{}};
            (void)search.m_gather.start(search.current(), search.m_start);
            const time_point late = search.m_start + search.time_limit + milliseconds{1};
            const auto actions =
                is_reply ? search.m_gather.on_reply(0, search.reply_for(0), search.current(), late)
                         : search.m_gather.on_failure(0, attempt_failure::draining, search.current(), late);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.size());
            CPPUNIT_ASSERT(search.m_gather.finished());
            CPPUNIT_ASSERT_EQUAL(0U, search.in_flight());
        }
    }

    void end_partial_at_the_deadline()
    {
        search_fixture search{{}};
        (void)search.m_gather.start(search.current(), search.m_start);
        (void)search.m_gather.on_reply(0, search.reply_for(0), search.current(),
                                       search.m_start + milliseconds{5});
        const auto actions = search.m_gather.on_timer(search.current(), search.m_start + search.time_limit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.size());
        check_missing(search, missing_reason::deadline, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, search.m_gather.result().bodies().size());
        CPPUNIT_ASSERT_EQUAL(0U, search.in_flight());
    }

    void free_all_slots_when_the_caller_disconnects()
    {
        search_fixture search{{}};
        (void)search.m_gather.start(search.current(), search.m_start);
        (void)search.m_gather.on_reply(1, search.reply_for(1), search.current(),
                                       search.m_start + milliseconds{5});
        const auto actions = search.m_gather.cancel(search.m_start + milliseconds{6});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.size());
        CPPUNIT_ASSERT(search.m_gather.finished());
        CPPUNIT_ASSERT_EQUAL(0U, search.in_flight());
        CPPUNIT_ASSERT(search.m_gather.cancel(search.m_start + milliseconds{7}).empty());
    }

  private:
    static void check_missing(const search_fixture& search, missing_reason reason, std::size_t shards)
    {
        const gather_result result = search.m_gather.result();
        CPPUNIT_ASSERT_EQUAL(shards, result.coverage().missing().size());
        for (const missing_shard& missing : result.coverage().missing())
        {
            CPPUNIT_ASSERT(missing.reason() == reason);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gather_deadline_test);

} // namespace
