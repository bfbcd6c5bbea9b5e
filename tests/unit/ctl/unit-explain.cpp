#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "teasellead/ctl/explain.hpp"

namespace
{

using namespace teasellead;

const std::string started =
    R"({"time":"2026-09-27T04:41:35.0Z","level":"info","event":"started","node":"front-q1-2"})";
const std::string source_lost =
    R"({"time":"2026-09-27T04:41:40.0Z","level":"warning","event":"source_lost","reason":"no answer"})";
const std::string too_old =
    R"({"time":"2026-09-27T04:41:44.0Z","level":"warning","event":"configuration_too_old","age_ms":4738})";

std::string request_line(const std::string& id, const std::string& outcome, const std::string& reason,
                         int status)
{
    return R"({"time":"2026-09-27T04:41:46.0Z","level":"warning","event":"request","request_id":")" + id +
           R"(","route":"r-1","account":"school","outcome":")" + outcome + R"(","reason":")" + reason +
           R"(","status":)" + std::to_string(status) +
           R"(,"latency_ms":12.5,"attempts":3,"missing":1,"version":7,"version_age_ms":4801.5})";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

class explain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(explain_test);
    CPPUNIT_TEST(describes_how_each_kind_of_failure_ended);
    CPPUNIT_TEST(lists_state_events_before_the_request);
    CPPUNIT_TEST(reads_logs_of_several_nodes);
    CPPUNIT_TEST(names_failed_attempts_and_missing_shards);
    CPPUNIT_TEST(explains_why_equal_requests_are_refused);
    CPPUNIT_TEST(ignores_other_lines);
    CPPUNIT_TEST(operations_page_contains_explanations_of_a_recorded_log);
    CPPUNIT_TEST_SUITE_END();

  public:
    void describes_how_each_kind_of_failure_ended()
    {
        struct row
        {
            std::string m_outcome;
            std::string m_reason;
            int m_status;
            std::string m_text;
        };
        const std::vector<row> rows{
            {"refused", "over_limit", 429, "had used up its limit"},
            {"gathered", "", 200, "1 shards missing"},
            {"failed", "timed_out", 504, "its time was over"},
            {"failed", "upstreams_failed", 502, "its attempts failed"},
            {"refused", "later_reason", 503, "isn't known"},
        };
        for (const row& each : rows)
        {
            const std::string text = explain_request(
                "9c", {{"a.log", {request_line("9c", each.m_outcome, each.m_reason, each.m_status)}}});
            CPPUNIT_ASSERT_MESSAGE(text, contains(text, each.m_text));
            CPPUNIT_ASSERT(contains(text, "status " + std::to_string(each.m_status)));
            CPPUNIT_ASSERT(contains(text, "configuration 7"));
        }
    }

    void lists_state_events_before_the_request()
    {
        const std::string text = explain_request(
            "9c",
            {{"a.log",
              {started, source_lost, too_old, request_line("9c", "refused", "configuration_too_old", 503),
               R"({"time":"2026-09-27T04:42:00.0Z","event":"source_regained"})"}}});
        CPPUNIT_ASSERT(contains(text, "front-q1-2: request 9c"));
        CPPUNIT_ASSERT(contains(text, "source_lost reason=no answer"));
        CPPUNIT_ASSERT(contains(text, "configuration_too_old age_ms=4738"));
        CPPUNIT_ASSERT(!contains(text, "source_regained"));
    }

    void reads_logs_of_several_nodes()
    {
        const std::string text =
            explain_request("9c", {{"a.log", {request_line("9c", "refused", "over_limit", 429)}},
                                   {"b.log", {request_line("9d", "gathered", "", 200)}},
                                   {"c.log", {request_line("9c", "gathered", "", 200)}}});
        CPPUNIT_ASSERT(contains(text, "a.log: request 9c"));
        CPPUNIT_ASSERT(!contains(text, "b.log"));
        CPPUNIT_ASSERT(contains(text, "c.log: request 9c"));
    }

    void names_failed_attempts_and_missing_shards()
    {
        const std::string failed =
            R"({"event":"attempt_failed","request_id":"9c","attempt":4,"service":"net",)"
            R"("instance":"i-7","failure":"shed"})";
        std::string partial = request_line("9c", "gathered", "", 200);
        partial.insert(partial.size() - 1, R"(,"missing_shards":"net:slow")");
        const std::string text = explain_request("9c", {{"a.log", {failed, partial}}});
        CPPUNIT_ASSERT(contains(text, "attempt 4 at i-7 of net: shed"));
        CPPUNIT_ASSERT(contains(text, "1 shards missing (net:slow)"));
    }

    void explains_why_equal_requests_are_refused()
    {
        const auto restriction_line = [](const std::string& event, const std::string& request)
        {
            return R"({"time":"2026-09-27T04:41:45.0Z","event":")" + event + R"(","request":")" + request +
                   R"(","lost":4,"ended":3,"lost_in_isolation":1,"since_ms":5210})";
        };
        std::string refused = request_line("9c", "refused", "crashes_upstreams", 503);
        refused.insert(refused.size() - 1, R"(,"request":"ab12")");
        const std::string text = explain_request(
            "9c",
            {{"a.log",
              {restriction_line("request_isolated", "ab12"), restriction_line("request_refused", "ab12"),
               restriction_line("request_isolated", "cd34"), refused}}});
        CPPUNIT_ASSERT_MESSAGE(text, contains(text, "ended the upstreams that ran them"));
        CPPUNIT_ASSERT_MESSAGE(text, contains(text, "request_refused ended=3 lost=4"));
        CPPUNIT_ASSERT_MESSAGE(text, !contains(text, "cd34"));
    }

    void ignores_other_lines()
    {
        const std::vector<std::string> lines{"", "text", "{\"broken\":", "[1]",
                                             "  1.0 front-q1-2 " + request_line("9c", "gathered", "", 200)};
        CPPUNIT_ASSERT(contains(explain_request("9c", {{"a.log", lines}}), "ended as gathered"));
        CPPUNIT_ASSERT(explain_request("9e", {{"a.log", lines}}).empty());
    }

    void operations_page_contains_explanations_of_a_recorded_log()
    {
        const std::string source = TEASELLEAD_SOURCE_DIR;
        const node_log log{"front-q7-1", lines_of(source + "/tests/data/logs/front-q7-1.jsonl")};
        std::string page;
        for (const std::string& line : lines_of(source + "/docs/OPERATIONS.md"))
        {
            page += line + "\n";
        }
        for (const char* const request : {"52a083e3b83c1759", "c7c725649cee1c9c", "fe510994fe204a62"})
        {
            std::istringstream explanation{explain_request(request, {log})};
            std::string indented;
            for (std::string line; std::getline(explanation, line);)
            {
                indented += "    " + line + "\n";
            }
            CPPUNIT_ASSERT_MESSAGE(indented, !indented.empty() && contains(page, indented));
        }
    }

  private:
    static std::vector<std::string> lines_of(const std::string& path)
    {
        std::ifstream file{path};
        std::vector<std::string> result;
        for (std::string line; std::getline(file, line);)
        {
            result.push_back(line);
        }
        return result;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(explain_test);

} // namespace
