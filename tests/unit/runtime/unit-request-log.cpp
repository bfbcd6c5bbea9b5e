#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/runtime/request_log.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using runtime::request_entry;
using runtime::request_log;

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto found = text.find(part); found != std::string::npos; found = text.find(part, found + 1))
    {
        ++count;
    }
    return count;
}

class request_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_log_test);
    CPPUNIT_TEST(counts_attempts_by_service_and_result);
    CPPUNIT_TEST(counts_unreadable_loads_by_reason);
    CPPUNIT_TEST(labels_are_bounded);
    CPPUNIT_TEST_SUITE_END();

  public:
    void counts_attempts_by_service_and_result()
    {
        m_requests.count_attempt("shard-a", "replied");
        m_requests.count_attempt("shard-a", "replied");
        m_requests.count_attempt("shard-a", "broken");
        const std::string text = m_requests.exposition();
        const std::string name = "teasellead_attempts_total{service=\"shard-a\",result=";
        CPPUNIT_ASSERT(text.find(name + "\"replied\"} 2\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find(name + "\"broken\"} 1\n") != std::string::npos);
    }

    void counts_unreadable_loads_by_reason()
    {
        for (const char* instance : {"i-1", "i-1", "i-2"})
        {
            m_requests.count_unreadable_load(instance, "not_a_count");
        }
        m_requests.count_unreadable_load("i-1", "too_few_figures");
        const std::string text = m_requests.exposition();
        const std::string name = "teasellead_unreadable_loads_total{reason=";
        CPPUNIT_ASSERT(text.find(name + "\"not_a_count\"} 3\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find(name + "\"too_few_figures\"} 1\n") != std::string::npos);
    }

    /// guards against metrics output that grows with the number of names in the configuration
    void labels_are_bounded()
    {
        for (int number = 0; number < 1000; ++number)
        {
            const std::string name = "name-" + std::to_string(number);
            m_requests.count_attempt(name, "replied");
            request_entry entry;
            entry.m_route = name;
            entry.m_outcome = "forwarded";
            m_requests.add(entry);
        }
        const std::string text = m_requests.exposition();
        CPPUNIT_ASSERT_EQUAL(std::size_t{201}, count_of(text, "teasellead_attempts_total{"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{201}, count_of(text, "teasellead_requests_total{"));
        CPPUNIT_ASSERT(text.find("teasellead_attempts_total{service=\"other\",result=\"replied\"} 800\n") !=
                       std::string::npos);
    }

  private:
    manual_clock m_clock;
    decision_log m_log{log_format::json, log_level::off};
    request_log m_requests{m_log, m_clock};
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_log_test);

} // namespace
