#include <cppunit/extensions/HelperMacros.h>

#include <array>

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
    CPPUNIT_TEST(older_report_after_removal_is_ignored);
    CPPUNIT_TEST(restart_under_the_same_instance_is_a_new_upstream);
    CPPUNIT_TEST(unusable_entry_yields_no_upstream);
    CPPUNIT_TEST(expired_entries_are_kept_until_the_grace_period_ends);
    CPPUNIT_TEST(draining_upstream_never_counts_as_expired);
    CPPUNIT_TEST(evacuated_data_centre_receives_nothing);
    CPPUNIT_TEST(upstream_that_announces_leaving_receives_nothing);
    CPPUNIT_TEST(paused_upstream_receives_nothing);
    CPPUNIT_TEST(ramp_up_limit_grows_after_a_pause);
    CPPUNIT_TEST(reports_ended_processes);
    CPPUNIT_TEST(reports_why_no_upstream_is_chosen);
    CPPUNIT_TEST(ejected_upstream_gets_one_trial);
    CPPUNIT_TEST(overdue_upstream_is_avoided);
    CPPUNIT_TEST(share_of_an_upstream_depends_on_its_expected_completion);
    CPPUNIT_TEST(expected_wait_is_that_of_the_best_upstream);
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
        CPPUNIT_ASSERT(m_directory.on_change({entry.m_instance, entry}, start) == entry_outcome::outdated);
        CPPUNIT_ASSERT(!is_chosen("a"));
    }

    void older_report_after_removal_is_ignored()
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

    void unusable_entry_yields_no_upstream()
    {
        change(entry_of("a", 0));
        m_directory.on_change({"a-1", std::nullopt}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
        m_directory.on_change({"a-0", std::nullopt}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

    void expired_entries_are_kept_until_the_grace_period_ends()
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

    void draining_upstream_never_counts_as_expired()
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

    // guards against requests to an upstream that has announced in a response that it is leaving
    void upstream_that_announces_leaving_receives_nothing()
    {
        change(entry_of("a", 0));
        m_directory.on_notice(*std::get<shared_upstream>(choose("a")), {true, std::nullopt}, m_now);
        CPPUNIT_ASSERT(!is_chosen("a"));
        // neither a late report nor an entry that expired and was listed again cancels the notice
        change(entry_of("a", 0));
        CPPUNIT_ASSERT(!is_chosen("a"));
        m_directory.on_removed("a-0", true);
        m_directory.remove_expired();
        change(entry_of("a", 0));
        CPPUNIT_ASSERT(!is_chosen("a"));
        // the notice doesn't apply to another process with the same instance name
        upstream_entry next = entry_of("a", 0);
        next.m_incarnation += 1;
        change(next);
        CPPUNIT_ASSERT(is_chosen("a"));
    }

    // guards against requests to an upstream that has requested a pause
    void paused_upstream_receives_nothing()
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

    void ramp_up_limit_grows_after_a_pause()
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

    void reports_ended_processes()
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
        // another process at the address is listed before the old entry is removed
        upstream_entry next = entry_of("a", 3);
        next.m_address = entry_of("a", 1).m_address;
        next.m_incarnation = 2;
        change(next);
        CPPUNIT_ASSERT((m_directory.take_ended() == std::vector<ended_upstream>{{{"a-1", 1}, "a"}}));
        CPPUNIT_ASSERT(m_directory.take_ended().empty());
    }

    void reports_why_no_upstream_is_chosen()
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
        only->on_reply(m_now, m_now + 5ms);
        CPPUNIT_ASSERT(is_chosen("a"));
    }

    void overdue_upstream_is_avoided()
    {
        change(entry_of("a", 0));
        change(entry_of("a", 1));
        const shared_upstream overdue = std::get<shared_upstream>(choose("a"));
        overdue->on_start(start);
        m_now = start + 100ms;
        for (int i = 0; i < 20; ++i)
        {
            CPPUNIT_ASSERT(std::get<shared_upstream>(choose("a")) != overdue);
        }
    }

    /// the first of three upstreams differs from the others
    void share_of_an_upstream_depends_on_its_expected_completion()
    {
        struct row
        {
            const char* m_name;
            std::function<void(upstream&)> m_prepare;
            int m_min; ///< number of 300 choices that the first upstream gets
            int m_max;
        };
        const auto report = [](double factor)
        {
            return [factor](upstream& each)
            {
                each.on_start(start - 15ms);
                each.on_load(reported_load{1, 0, 3, factor}, start);
                each.on_reply(start - 15ms, start);
            };
        };
        const std::array<row, 5> rows{{
            {"equal", [](upstream&) {}, 60, 140},
            {"runs an expensive request",
             [](upstream& each) {
                 each.on_start(start, {120ms, 300ms});
             },
             0, 0},
            {"runs a cheap request",
             [](upstream& each) {
                 each.on_start(start, {2ms, 6ms});
             },
             50, 140},
            {"slow host", report(3.0), 0, 0},
            {"work factor 0", report(0.0), 60, 140},
        }};
        for (const row& each : rows)
        {
            upstream_directory directory{"north"};
            for (int i = 0; i < 3; ++i)
            {
                directory.on_change({"a-" + std::to_string(i), entry_of("a", i)}, start);
            }
            std::array<shared_upstream, 3> upstreams;
            for (shared_upstream& found : upstreams)
            {
                const std::vector<shared_upstream> tried{upstreams.begin(), upstreams.end()};
                found = std::get<upstream_choice>(choose_from(directory, tried)).m_upstream;
            }
            each.m_prepare(*upstreams[0]);
            int chosen = 0;
            for (int i = 0; i < 300; ++i)
            {
                const auto choice = std::get<upstream_choice>(choose_from(directory, {}));
                chosen += choice.m_upstream == upstreams[0] ? 1 : 0;
                CPPUNIT_ASSERT(!choice.m_is_rerouted);
            }
            CPPUNIT_ASSERT_MESSAGE(each.m_name, chosen >= each.m_min && chosen <= each.m_max);
        }
    }

    void expected_wait_is_that_of_the_best_upstream()
    {
        CPPUNIT_ASSERT(!m_directory.expected_wait("a", m_work, start));
        change(entry_of("a", 0));
        const shared_upstream only = std::get<shared_upstream>(choose("a"));
        for (int i = 0; i < 6; ++i)
        {
            only->on_start(start, {30ms, 90ms});
        }
        // four of the six attempts have to end before one of the three slots is free
        CPPUNIT_ASSERT(m_directory.expected_wait("a", m_work, start)->m_wait == 40ms);
        change(entry_of("a", 1));
        CPPUNIT_ASSERT(m_directory.expected_wait("a", m_work, start)->m_wait == 0ms);
        only->pause_until(start + 1s);
        CPPUNIT_ASSERT(m_directory.expected_wait("a", m_work, start)->m_run == m_work.m_mean);
    }

  private:
    std::variant<upstream_choice, no_upstream> choose_from(const upstream_directory& directory,
                                                           const std::vector<shared_upstream>& tried)
    {
        return directory.choose(
            "a", m_work, tried, [](const upstream&) { return true; }, m_random, m_now);
    }

    void change(const upstream_entry& entry)
    {
        m_directory.on_change({entry.m_instance, entry}, m_now);
    }

    std::variant<shared_upstream, no_upstream> choose(const std::string& service,
                                                      const std::vector<shared_upstream>& tried = {})
    {
        const auto result = m_directory.choose(
            service, m_work, tried, [this](const upstream&) { return m_has_room; }, m_random, m_now);
        const auto* const choice = std::get_if<upstream_choice>(&result);
        return choice != nullptr ? std::variant<shared_upstream, no_upstream>{choice->m_upstream}
                                 : std::variant<shared_upstream, no_upstream>{std::get<no_upstream>(result)};
    }

    bool is_chosen(const std::string& service)
    {
        return std::holds_alternative<shared_upstream>(choose(service));
    }

    upstream_directory m_directory{"north"};
    random_source m_random{3};
    work_estimate m_work;
    bool m_has_room{true};
    time_point m_now{start};
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_directory_test);

} // namespace
