#include <cppunit/extensions/HelperMacros.h>

#include "publication_agent_fixture.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

constexpr duration drain_bound = 3s;
constexpr const char* instance = "i-1";

class publication_agent_test : public CppUnit::TestFixture, agent_fixture
{
    CPPUNIT_TEST_SUITE(publication_agent_test);
    CPPUNIT_TEST(removed_entry_is_dropped_although_single_calls_fail);
    CPPUNIT_TEST(entry_that_may_have_expired_is_kept_for_a_while);
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
            m_agent->on_source_status(false, "status 503");
            step(150ms);
            m_agent->on_source_status(true, "answered");
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
        m_agent->on_source_status(false, "no answer");
        step(5s);
        m_agent->on_source_status(true, "answered");
        remove();
        answer_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_directory.size());
        answer_for(400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_directory.size());
    }

  private:
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
