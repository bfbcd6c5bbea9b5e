#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "teasellead/runtime/histogram.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using teasellead::runtime::histogram;

class histogram_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(histogram_test);
    CPPUNIT_TEST(counts_durations_up_to_each_bound);
    CPPUNIT_TEST_SUITE_END();

  public:
    void counts_durations_up_to_each_bound()
    {
        histogram counts;
        for (const duration each : {duration{5ms}, duration{6ms}, duration{700ms}, duration{9s}})
        {
            counts.add(each);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, counts.count());
        const std::string text = counts.lines("delay", "route=\"a\"");
        for (const std::string line :
             {"delay_bucket{route=\"a\",le=\"5\"} 1\n", "delay_bucket{route=\"a\",le=\"10\"} 2\n",
              "delay_bucket{route=\"a\",le=\"1000\"} 3\n", "delay_bucket{route=\"a\",le=\"+Inf\"} 4\n",
              "delay_sum{route=\"a\"} 9711\n", "delay_count{route=\"a\"} 4\n"})
        {
            CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
        }
        CPPUNIT_ASSERT(counts.lines("delay").find("delay_bucket{le=\"5\"} 1\n") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(histogram_test);

} // namespace
