#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "teasellead/ctl/node_report.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace
{

using namespace teasellead;

const endpoint node = endpoint::parse("10.0.0.5:8081");

const std::string complete_report = R"({"ready":true,"leaving":false,"revision":7,"revision_age_s":2.9,
    "rejection":{"revision":8,"reason":"line 3: x"},"peers":[],"reader":true,"platform_reads":4,
    "dropped_messages":0,"extra_attempts":1,
    "routes":[{"name":"/slots","complete":1,"partial":2,"refused":3,"over_limit":4,"unauthorised":5,
      "failed":6,"coverage":0.5,"p50_us":7,"p90_us":8,"p99_us":9}],
    "accounts":[],
    "upstreams":[{"upstream":"10.0.0.9:9000","services":["lanes","machines"],"state":"warming","in_flight":1,"latency_us":5,
      "draining":true}]})";

class node_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(node_report_test);
    CPPUNIT_TEST(reads_all_fields);
    CPPUNIT_TEST(rejects_invalid_reports);
    CPPUNIT_TEST_SUITE_END();

  public:
    void reads_all_fields()
    {
        using std::chrono::microseconds;
        const node_report expected{
            node,
            true,
            false,
            7,
            std::chrono::seconds{2},
            reported_rejection{8, "line 3: x"},
            {{"/slots", 1, 2, 3, 4, 5, 6, 0.5, microseconds{7}, microseconds{8}, microseconds{9}}},
            {},
            {{endpoint::parse("10.0.0.9:9000"), reported_state::warming, 1, true, {"lanes", "machines"}}}};
        CPPUNIT_ASSERT(parse_node_report(node, complete_report) == expected);
    }

    void rejects_invalid_reports()
    {
        struct row
        {
            std::string m_part;
            std::string m_replacement;
        };
        for (const row& row :
             {row{complete_report, ""}, row{complete_report, "[]"}, row{complete_report, "{}"},
              row{"true", "1"}, row{"\"revision\":7", "\"revision\":\"7\""}, row{"warming", "hot"},
              row{"10.0.0.9:9000", "localhost:9000"}, row{"\"partial\":2,", ""},
              row{"[\"lanes\",\"machines\"]", "7"}})
        {
            std::string text = complete_report;
            text.replace(text.find(row.m_part), row.m_part.size(), row.m_replacement);
            try
            {
                (void)parse_node_report(node, text);
                CPPUNIT_FAIL("accepted " + text);
            }
            catch (const protocol_error& error)
            {
                const std::string message = error.what();
                CPPUNIT_ASSERT_MESSAGE(message, message.find("10.0.0.5:8081") != std::string::npos);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_report_test);

} // namespace
