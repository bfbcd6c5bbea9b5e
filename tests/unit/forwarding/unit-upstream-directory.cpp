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
        m_directory.drop_lapsed();
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
