#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "detail/timed_listener.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;

final_response answer_with(const std::string& body)
{
    return {200, body, verdict::ran, std::chrono::milliseconds{0}};
}

class timed_listener_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(timed_listener_test);
    CPPUNIT_TEST(first_of_response_and_timeout_is_used);
    CPPUNIT_TEST_SUITE_END();

  public:
    void first_of_response_and_timeout_is_used()
    {
        struct row
        {
            duration m_remaining;
            std::vector<std::string> m_answers;
            std::string m_expected;
        };
        const std::vector<row> rows{
            {1h, {"first"}, "first"}, {1h, {"first", "second"}, "first"}, {0s, {}, "late"}, {-1s, {}, "late"},
            {10ms, {}, "late"},
        };
        for (const row& each : rows)
        {
            runtime::loop_thread loop;
            std::promise<std::string> delivered; // a second call of set_value would throw
            const response_listener listener = detail::make_timed_listener(
                loop, each.m_remaining, answer_with("late"),
                [&delivered](const final_response& answer) { delivered.set_value(answer.body()); });
            for (const std::string& body : each.m_answers)
            {
                listener(answer_with(body));
            }
            CPPUNIT_ASSERT_EQUAL(each.m_expected, delivered.get_future().get());
            listener(answer_with("after"));
            // returns after all previously posted handlers have run
            loop.run([] {});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(timed_listener_test);

} // namespace
