#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "dispatch_exposition.hpp"
#include "dispatch_fixture.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::forwarding;
using namespace teasellead::test;

class dispatch_exposition_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(dispatch_exposition_test);
    CPPUNIT_TEST(names_waiters_and_refusals_by_priority);
    CPPUNIT_TEST_SUITE_END();

  public:
    void names_waiters_and_refusals_by_priority()
    {
        dispatch_fixture fixture{{"a"}};
        fixture.m_has_room = false;
        dispatch ended = fixture.single(repeatability::idempotent, 2, 1);
        CPPUNIT_ASSERT(ended.start(dispatch_start).empty());
        (void)ended.on_timer(dispatch_start + 30ms);
        dispatch waiting = fixture.single(repeatability::idempotent, 2, 3);
        CPPUNIT_ASSERT(waiting.start(dispatch_start).empty());
        fixture.m_context.m_statistics.m_denied_by_reserve = 5;
        fixture.m_context.m_statistics.m_hedges = 7;
        fixture.m_context.m_statistics.m_hand_over_delay = 3ms;
        const std::string text = runtime::dispatch_exposition(fixture.m_context);
        for (const std::string line :
             {"teasellead_waiting_attempts{priority=\"3\"} 1\n",
              "teasellead_refusals_total{reason=\"overloaded\",priority=\"1\"} 1\n",
              "teasellead_extra_attempts_reserved_total 5\n", "teasellead_waiting_hopeless_total 0\n",
              "teasellead_hedges_total 7\n", "teasellead_hand_over_microseconds_total 3000\n"})
        {
            CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_exposition_test);

} // namespace
