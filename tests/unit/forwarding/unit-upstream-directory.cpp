#include <cppunit/extensions/HelperMacros.h>

#include "dispatch_fixture.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::forwarding;
using namespace teasellead::test;

constexpr time_point start = dispatch_start;

bool operator==(const std::variant<shared_upstream, no_upstream>& lhs, no_upstream rhs)
{
    return std::holds_alternative<no_upstream>(lhs) && std::get<no_upstream>(lhs) == rhs;
}

class upstream_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_directory_test);
    CPPUNIT_TEST(draining_upstream_receives_nothing);
    CPPUNIT_TEST(older_report_of_a_process_is_ignored);
    CPPUNIT_TEST(older_report_after_the_end_brings_nothing_back);
    CPPUNIT_TEST(restart_under_the_same_instance_is_a_new_upstream);
    CPPUNIT_TEST(unusable_entry_names_no_upstream);
    CPPUNIT_TEST(lapsed_entries_are_kept_until_the_grace_ends);
    CPPUNIT_TEST(leaving_upstream_never_counts_as_lapsed);
    CPPUNIT_TEST(evacuated_data_centre_receives_nothing);
    CPPUNIT_TEST(upstream_that_says_that_it_leaves_receives_nothing);
    CPPUNIT_TEST(upstream_that_asks_for_a_pause_is_left_alone);
    CPPUNIT_TEST(upstream_comes_back_gradually_after_a_pause);
    CPPUNIT_TEST(says_which_processes_have_ended);
    CPPUNIT_TEST(says_why_there_is_none);
    CPPUNIT_TEST(ejected_upstream_gets_one_trial);
    CPPUNIT_TEST(silent_upstream_is_avoided);
    CPPUNIT_TEST_SUITE_END();

  public:
    void draining_upstream_receives_nothing()
    {
        upstream_entry entry = entry_of("a", 0);
        change(entry);
        CPPUNIT_ASSERT(is_chosen("a"));
        entry.m_is_draining = true;
        ++entry.m_sequence;
        change(entry);
        CPPUNIT_ASSERT(!is_chosen("a"));
    }

    void older_report_of_a_process_is_ignored()
    {
        upstream_entry entry = entry_of("a", 0);
        entry.m_sequence = 10;
        entry.m_is_draining = true;
        change(entry);
        entry.m_sequence = 9;
        entry.m_is_draining = false;
        change(entry);
        CPPUNIT_ASSERT(!is_chosen("a"));
    }

    void older_report_after_the_end_brings_nothing_back()
    {
        upstream_entry entry = entry_of("a", 0);
        entry.m_sequence = 10;
        change(entry);
        m_directory.on_removed("a-0", false);
        entry.m_sequence = 9;
        change(entry);
        CPPUNIT_ASSERT(!is_chosen("a"));
    }

    void restart_under_the_same_instance_is_a_new_upstream()
    {
        upstream_entry entry = entry_of("a", 0);
        entry.m_sequence = 10;
        entry.m_is_draining = true;
        change(entry);
        entry.m_incarnation = 2;
        entry.m_sequence = 1;
        entry.m_is_draining = false;
        change(entry);
        CPPUNIT_ASSERT(is_chosen("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
    }

    void unusable_entry_names_no_upstream()
    {
        change(entry_of("a", 0));
        m_directory.on_change({"a-1", std::nullopt}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
        m_directory.on_change({"a-0", std::nullopt}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

    void lapsed_entries_are_kept_until_the_grace_ends()
    {
        change(entry_of("a", 0));
        change(entry_of("a", 1));
        m_directory.on_removed("a-0", true);
        m_directory.on_removed("a-1", true);
        CPPUNIT_ASSERT(is_chosen("a"));
        upstream_entry back = entry_of("a", 1);
        back.m_sequence = 3;
        change(back);
        m_directory.remove_expired();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
        CPPUNIT_ASSERT(is_chosen("a"));
    }

    void leaving_upstream_never_counts_as_lapsed()
    {
        upstream_entry entry = entry_of("a", 0);
        entry.m_is_draining = true;
        change(entry);
        m_directory.on_removed("a-0", true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

    void evacuated_data_centre_receives_nothing()
    {
        change(entry_of("a", 0));
        m_directory.set_evacuated({"north"});
        CPPUNIT_ASSERT(!is_chosen("a"));
        CPPUNIT_ASSERT(!m_directory.has_candidates("a", start));
        m_directory.set_evacuated({});
        CPPUNIT_ASSERT(is_chosen("a"));
    }

    // guards against requests to an upstream that has said in a response that it leaves
    void upstream_that_says_that_it_leaves_receives_nothing()
    {
        change(entry_of("a", 0));
        m_directory.on_notice(*std::get<shared_upstream>(choose("a")), {true, std::nullopt}, m_now);
        CPPUNIT_ASSERT(!is_chosen("a"));
        // neither a report that is late nor an entry that lapsed and came back changes that
        change(entry_of("a", 0));
        CPPUNIT_ASSERT(!is_chosen("a"));
        m_directory.on_removed("a-0", true);
        m_directory.remove_expired();
        change(entry_of("a", 0));
        CPPUNIT_ASSERT(!is_chosen("a"));
        // another process of the name starts afresh
        upstream_entry next = entry_of("a", 0);
        next.m_incarnation += 1;
        change(next);
        CPPUNIT_ASSERT(is_chosen("a"));
    }

    // guards against requests to an upstream that has asked for a pause
    void upstream_that_asks_for_a_pause_is_left_alone()
    {
        struct row
        {
            std::chrono::milliseconds m_asked;
            std::chrono::milliseconds m_kept;
        };
        for (const row& each :
             {row{0ms, 0ms}, row{1500ms, 1500ms}, row{1h, upstream_directory::longest_pause}})
        {
            m_directory = upstream_directory{"north"};
            m_now = start;
            change(entry_of("a", 0));
            m_directory.on_notice(*std::get<shared_upstream>(choose("a")), {false, each.m_asked}, m_now);
            if (each.m_kept > 0ms)
            {
                CPPUNIT_ASSERT(choose("a") == no_upstream::all_paused);
                CPPUNIT_ASSERT(!m_directory.has_candidates("a", m_now));
                CPPUNIT_ASSERT(m_directory.end_of_pause("a", m_now) == start + each.m_kept);
                m_now = start + each.m_kept - 1ms;
                CPPUNIT_ASSERT(!is_chosen("a"));
            }
            m_now = start + each.m_kept;
            CPPUNIT_ASSERT(is_chosen("a"));
            CPPUNIT_ASSERT(!m_directory.end_of_pause("a", m_now));
        }
    }

    void upstream_comes_back_gradually_after_a_pause()
    {
        change(entry_of("a", 0));
        const shared_upstream only = std::get<shared_upstream>(choose("a"));
        m_directory.on_notice(*only, {false, 1s}, m_now);
        struct row
        {
            std::chrono::milliseconds m_after;
            std::size_t m_in_flight;
        };
        for (const row& each : {row{0ms, 1}, row{250ms, 2}, row{500ms, 4}, row{1000ms, 16}})
        {
            m_now = start + 1s + each.m_after;
            while (is_chosen("a"))
            {
                only->on_start(m_now);
                CPPUNIT_ASSERT(only->in_flight() <= each.m_in_flight);
            }
            CPPUNIT_ASSERT_EQUAL(each.m_in_flight, static_cast<std::size_t>(only->in_flight()));
        }
        m_now = start + 3s;
        CPPUNIT_ASSERT(is_chosen("a"));
    }

    void says_which_processes_have_ended()
    {
        change(entry_of("a", 0));
        change(entry_of("a", 1));
        upstream_entry leaving = entry_of("a", 2);
        leaving.m_is_draining = true;
        change(leaving);
        m_directory.on_removed("a-2", false);
        CPPUNIT_ASSERT(m_directory.take_ended().empty());
        m_directory.on_removed("a-0", false);
        CPPUNIT_ASSERT((m_directory.take_ended() == std::vector<ended_upstream>{{{"a-0", 1}, "a"}}));
        // another process at the address, which is listed before the old entry goes
        upstream_entry next = entry_of("a", 3);
        next.m_address = entry_of("a", 1).m_address;
        next.m_incarnation = 2;
        change(next);
        CPPUNIT_ASSERT((m_directory.take_ended() == std::vector<ended_upstream>{{{"a-1", 1}, "a"}}));
        CPPUNIT_ASSERT(m_directory.take_ended().empty());
    }

    void says_why_there_is_none()
    {
        CPPUNIT_ASSERT(choose("a") == no_upstream::none_known);
        change(entry_of("a", 0));
        m_has_room = false;
        CPPUNIT_ASSERT(choose("a") == no_upstream::all_busy);
        m_has_room = true;
        const shared_upstream only = std::get<shared_upstream>(choose("a"));
        CPPUNIT_ASSERT(choose("a", {only}) == no_upstream::all_tried);
    }

    void ejected_upstream_gets_one_trial()
    {
        change(entry_of("a", 0));
        const shared_upstream only = std::get<shared_upstream>(choose("a"));
        only->on_start(start);
        only->on_failure(start, attempt_failure::not_connected, start);
        CPPUNIT_ASSERT(choose("a") == no_upstream::none_known);
        m_now = start + 300ms;
        CPPUNIT_ASSERT(is_chosen("a"));
        only->on_start(m_now);
        CPPUNIT_ASSERT(!is_chosen("a"));
        only->on_reply(m_now, std::nullopt, m_now + 5ms);
        CPPUNIT_ASSERT(is_chosen("a"));
    }

    void silent_upstream_is_avoided()
    {
        change(entry_of("a", 0));
        change(entry_of("a", 1));
        const shared_upstream silent = std::get<shared_upstream>(choose("a"));
        silent->on_start(start);
        m_now = start + 100ms;
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(std::get<shared_upstream>(choose("a")) != silent);
        }
    }

  private:
    void change(const upstream_entry& entry)
    {
        m_directory.on_change({entry.m_instance, entry}, m_now);
    }

    std::variant<shared_upstream, no_upstream> choose(const std::string& service,
                                                      const std::vector<shared_upstream>& tried = {})
    {
        return m_directory.choose(
            service, tried, [this](const upstream&) { return m_has_room; }, m_random, m_now);
    }

    bool is_chosen(const std::string& service)
    {
        return std::holds_alternative<shared_upstream>(choose(service));
    }

    upstream_directory m_directory{"north"};
    random_source m_random{3};
    bool m_has_room{true};
    time_point m_now{start};
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_directory_test);

} // namespace
