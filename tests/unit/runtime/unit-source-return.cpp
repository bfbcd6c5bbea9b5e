#include <cppunit/extensions/HelperMacros.h>

#include "publication_agent_fixture.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

using items = std::vector<published_item>;

/// a node whose source comes back from a backup
class source_return_test : public CppUnit::TestFixture, agent_fixture
{
    CPPUNIT_TEST_SUITE(source_return_test);
    CPPUNIT_TEST(leaving_is_seen_although_its_revision_was_given_out_before);
    CPPUNIT_TEST(leaving_upstream_does_not_become_usable_again);
    CPPUNIT_TEST(removed_upstream_is_used_again_only_if_it_still_lives);
    CPPUNIT_TEST(upstream_that_the_source_has_lost_is_kept_for_a_while);
    CPPUNIT_TEST(evacuation_that_the_source_has_lost_stays_in_force);
    CPPUNIT_TEST(second_return_prolongs_what_the_first_began);
    CPPUNIT_TEST(older_epoch_is_not_confirmed);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against requests at upstreams that leave after the source came back from a backup
    void leaving_is_seen_although_its_revision_was_given_out_before()
    {
        list({{"a", "ready 9", 95}}, {1, 100});
        list({{"a", "ready 3", 40}}, {2, 50});
        CPPUNIT_ASSERT(is_usable("a"));
        change({"a", "draining 10", 51});
        CPPUNIT_ASSERT(!is_usable("a"));
    }

    // guards against requests at upstreams whose notice that they leave is lost with the source's latest
    // changes
    void leaving_upstream_does_not_become_usable_again()
    {
        list({{"a", "draining 9", 95}}, {1, 100});
        list({{"a", "ready 3", 40}}, {2, 50});
        CPPUNIT_ASSERT(!is_usable("a"));
        change({"a", std::nullopt, 51});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

    // guards against requests at upstreams that are gone and whose entries are back with the backup
    void removed_upstream_is_used_again_only_if_it_still_lives()
    {
        struct row
        {
            std::optional<published_item> m_later; ///< what the restored source publishes of it
            bool m_is_usable_at_once;
            bool m_is_usable_later;
        };
        const std::vector<row> rows{{published_item{"a", std::nullopt, 51}, false, false},
                                    {published_item{"a", "ready 4", 51}, true, true},
                                    {std::nullopt, false, true}};
        std::uint64_t epoch = 1;
        for (const row& each : rows)
        {
            list({{"a", "ready 3", 40}}, {epoch, 50});
            step(6s);
            change({"a", std::nullopt, 60});
            CPPUNIT_ASSERT(!is_usable("a"));
            list({{"a", "ready 3", 40}}, {++epoch, 50});
            CPPUNIT_ASSERT(!is_usable("a"));
            if (each.m_later)
            {
                change(*each.m_later);
            }
            CPPUNIT_ASSERT_EQUAL(each.m_is_usable_at_once, is_usable("a"));
            step(4700ms);
            CPPUNIT_ASSERT_EQUAL(each.m_is_usable_at_once, is_usable("a"));
            step(200ms);
            CPPUNIT_ASSERT_EQUAL(each.m_is_usable_later, is_usable("a"));
            change({"a", std::nullopt, 70});
            step(6s);
            // another process under the same name, for the next row
            ++epoch;
            list({}, {epoch, 10});
            m_directory = forwarding::upstream_directory{"north"};
        }
    }

    void upstream_that_the_source_has_lost_is_kept_for_a_while()
    {
        for (const bool is_published_again : {true, false})
        {
            setUp();
            list({{"a", "ready 9", 95}}, {m_epoch, 100});
            list({}, {m_epoch + 1, 50});
            CPPUNIT_ASSERT(is_usable("a"));
            step(2s);
            if (is_published_again)
            {
                change({"a", "ready 11", 51});
            }
            CPPUNIT_ASSERT(is_usable("a"));
            step(300ms);
            CPPUNIT_ASSERT_EQUAL(is_published_again, is_usable("a"));
        }
    }

    // guards against requests at evacuated data centres until the operator has repeated what the source lost
    void evacuation_that_the_source_has_lost_stays_in_force()
    {
        for (const bool is_repeated : {true, false})
        {
            setUp();
            const published_item entry{"a", "ready 1", 40};
            list({entry, {"evacuate/north", "", 99}}, {m_epoch, 100});
            CPPUNIT_ASSERT(!is_usable("a"));
            list({entry}, {m_epoch + 1, 50});
            step(59s);
            CPPUNIT_ASSERT(!is_usable("a"));
            if (is_repeated)
            {
                change({"evacuate/north", "", 51});
            }
            step(2s);
            CPPUNIT_ASSERT_EQUAL(!is_repeated, is_usable("a"));
            change({"evacuate/north", std::nullopt, 52});
            CPPUNIT_ASSERT(is_usable("a"));
        }
    }

    void second_return_prolongs_what_the_first_began()
    {
        const published_item entry{"a", "ready 1", 40};
        list({entry, {"b", "ready 1", 98}, {"evacuate/north", "", 99}}, {1, 100});
        list({entry}, {2, 50});
        step(2s);
        list({entry}, {3, 50});
        step(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_directory.size());
        step(57s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
        CPPUNIT_ASSERT(!is_usable("a"));
        step(2s);
        CPPUNIT_ASSERT(is_usable("a"));
    }

    // guards against keys that stay valid since an answer from before the return counts as a confirmation
    void older_epoch_is_not_confirmed()
    {
        list({{"a", "ready 1", 40}}, {2, 50});
        step(4s);
        m_agent->on_listing({{"a", "ready 9", 95}}, {1, 100}, now());
        m_agent->on_changes({}, {1, 100}, now());
        CPPUNIT_ASSERT(m_lease.age(m_clock.now()) >= 4s);
        m_agent->on_changes({}, {2, 50}, now());
        CPPUNIT_ASSERT_EQUAL(duration::zero(), m_lease.age(m_clock.now()));
    }

    /// starts over with another node
    void setUp() override
    {
        m_directory = forwarding::upstream_directory{"north"};
        m_agent = std::make_unique<runtime::publication_agent>(m_platform, m_loop, m_clock, endpoint{1, 7000},
                                                               m_lease, m_directory, m_log,
                                                               [](const runtime::received_declarations&) {});
    }

  private:
    void list(const items& listed, const publication_position& as_of)
    {
        m_position = as_of;
        m_agent->on_listing(listed, as_of, now());
    }

    void change(const published_item& item)
    {
        m_position = {m_position.epoch(), item.m_revision};
        m_agent->on_changes({item}, m_position, now());
    }

    std::uint64_t m_epoch{1};
    publication_position m_position;
};

CPPUNIT_TEST_SUITE_REGISTRATION(source_return_test);

} // namespace
