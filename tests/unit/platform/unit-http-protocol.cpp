#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "platform/http_protocol.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::runtime;

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

class http_protocol_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_protocol_test);
    CPPUNIT_TEST(metadata_of_a_request);
    CPPUNIT_TEST(head_of_an_attempt);
    CPPUNIT_TEST(responses_and_their_classification);
    CPPUNIT_TEST(notices_of_upstreams);
    CPPUNIT_TEST(reply_forwards_fields_for_callers);
    CPPUNIT_TEST(reported_load);
    CPPUNIT_TEST(responses_to_other_requests_are_detected);
    CPPUNIT_TEST(fields_of_a_gathered_response);
    CPPUNIT_TEST_SUITE_END();

  public:
    void metadata_of_a_request()
    {
        struct row
        {
            std::vector<header_field> m_fields;
            request_metadata m_expected;
        };
        const std::vector<row> rows{
            {{{"Request-Id", "9c"}, {"Deadline-Ms", "600"}, {"Authorization", "Bearer xmi"}},
             {"9c", 600ms, "xmi"}},
            {{{"request-id", "9c"}, {"authorization", "bearer xmi"}}, {"9c", std::nullopt, "xmi"}},
            {{{"Request-Id", "9c"}, {"Deadline-Ms", "soon"}, {"Authorization", "Basic xmi"}},
             {"9c", std::nullopt, std::nullopt}},
            {{{"Deadline-Ms", "-5"}, {"Authorization", "Bearer "}}, {"", std::nullopt, std::nullopt}},
        };
        for (const row& each : rows)
        {
            CPPUNIT_ASSERT(m_protocol.read_metadata({"GET", "/", each.m_fields, "", false}) ==
                           each.m_expected);
        }
    }

    void head_of_an_attempt()
    {
        const http_request request{"POST",
                                   "/a/b?x=1",
                                   {{"Host", "leno.example"},
                                    {"Request-Id", "9c"},
                                    {"Deadline-Ms", "600"},
                                    {"Authorization", "Bearer secret"},
                                    {"Tenant-Id", "forged"},
                                    {"Target-Instance", "forged"},
                                    {"Connection", "keep-alive, X-Hop"},
                                    {"X-Hop", "1"},
                                    {"Transfer-Encoding", "chunked"},
                                    {"X-Other", "kept"}},
                                   "body",
                                   true};
        const std::string head =
            m_protocol.common_head(request, "school") + m_protocol.attempt_fields("i-7", 250ms);
        CPPUNIT_ASSERT(contains(head, "POST /a/b?x=1 HTTP/1.1\r\n"));
        for (const char* kept :
             {"Host: leno.example\r\n", "Request-Id: 9c\r\n", "X-Other: kept\r\n", "Tenant-Id: school\r\n",
              "Content-Length: 4\r\n", "Target-Instance: i-7\r\n", "Deadline-Ms: 250\r\n"})
        {
            CPPUNIT_ASSERT_MESSAGE(kept, contains(head, kept));
        }
        for (const char* dropped : {"secret", "forged", "X-Hop", "chunked", "600"})
        {
            CPPUNIT_ASSERT_MESSAGE(dropped, !contains(head, dropped));
        }
    }

    void responses_and_their_classification()
    {
        using forwarding::attempt_failure;
        struct row
        {
            unsigned m_status;
            std::vector<header_field> m_fields;
            std::optional<attempt_failure> m_failure; ///< empty for a usable reply
        };
        const header_field signature{"Server-Stamp", "3e.1"};
        const std::vector<row> rows{
            {200, {signature}, std::nullopt},
            {404, {signature}, std::nullopt},
            {500, {signature}, std::nullopt},
            {200, {}, attempt_failure::unusable},
            {200, {signature, {"Content-Encoding", "gzip"}}, attempt_failure::unusable},
            {503, {{"Not-Executed", "1"}}, attempt_failure::shed},
            {429, {{"Not-Executed", "1"}}, attempt_failure::shed},
            {400, {{"Not-Executed", "1"}}, attempt_failure::shed},
            {421, {{"Instance-Id", "i-2"}}, attempt_failure::wrong_instance},
            // without the Not-Executed field the upstream may have executed the request; passed on, these
            // statuses would tell the caller that it didn't
            {503, {signature}, attempt_failure::unusable},
            {429, {signature}, attempt_failure::unusable},
            {408, {signature}, attempt_failure::unusable},
        };
        for (const row& each : rows)
        {
            const attempt_outcome outcome =
                m_protocol.read_response({{each.m_status, each.m_fields, "x"}, ""});
            const auto* const failure = std::get_if<attempt_failure>(&outcome);
            CPPUNIT_ASSERT_EQUAL(each.m_failure.has_value(), failure != nullptr);
            CPPUNIT_ASSERT(failure == nullptr || *failure == *each.m_failure);
        }
    }

    void notices_of_upstreams()
    {
        struct row
        {
            unsigned m_status;
            std::vector<header_field> m_fields;
            forwarding::upstream_notice m_notice;
            std::string m_unreadable;
        };
        const header_field leaving{"Server-Leaving", "1"};
        const std::vector<row> rows{
            {200, {}, {}, ""},
            {200, {leaving}, {true, std::nullopt}, ""},
            {500, {leaving}, {true, std::nullopt}, ""},
            {200, {{"Server-Leaving", "0"}}, {}, ""},
            // another process uses the address; its notice doesn't apply to the addressed upstream
            {421, {leaving}, {}, ""},
            {503, {{"Retry-After", "2"}}, {false, 2000ms}, ""},
            {503, {{"Retry-After", "0.25"}, leaving}, {true, 250ms}, ""},
            {503, {{"Retry-After", "1e300"}}, {false, 1'000'000'000s}, ""},
            {503, {{"Retry-After", "-1"}}, {}, "-1"},
            {503, {{"Retry-After", "nan"}}, {}, "nan"},
            {503, {{"Retry-After", "soon"}}, {}, "soon"},
            {503, {{"Retry-After", "Fri, 04 Dec 2026 12:00:00 GMT"}}, {}, "Fri, 04 Dec 2026 12:00:00 GMT"},
            {429, {{"Retry-After", "2"}}, {}, ""},
            {200, {{"Retry-After", "2"}}, {}, ""},
        };
        for (const row& each : rows)
        {
            const runtime::parsed_notice reading = m_protocol.read_notice({each.m_status, each.m_fields, ""});
            CPPUNIT_ASSERT((reading == runtime::parsed_notice{each.m_notice, each.m_unreadable}));
        }
    }

    void reply_forwards_fields_for_callers()
    {
        const attempt_outcome outcome = m_protocol.read_response({{200,
                                                                   {{"Server-Stamp", "3e.1"},
                                                                    {"Request-Id", "9c"},
                                                                    {"Server-Load", "3,1,8"},
                                                                    {"Content-Length", "4"},
                                                                    {"Connection", "close"},
                                                                    {"Keep-Alive", "timeout=5"},
                                                                    {"Content-Type", "text/plain"}},
                                                                   "body"},
                                                                  "close"});
        const auto& reply = std::get<forwarding::upstream_reply>(outcome);
        const std::vector<header_field> expected{
            {"Server-Stamp", "3e.1"}, {"Request-Id", "9c"}, {"Content-Type", "text/plain"}};
        CPPUNIT_ASSERT(reply.m_fields == expected);
        CPPUNIT_ASSERT_EQUAL(std::string{"body"}, reply.m_body);
    }

    void reported_load()
    {
        struct row
        {
            std::string m_value;
            std::optional<forwarding::reported_load> m_load;
            runtime::load_fault m_fault{runtime::load_fault::none};
        };
        const std::vector<row> rows{
            {"3,1,8", forwarding::reported_load{3, 1, 8, 1.0}},
            {"1,0,4,100", forwarding::reported_load{1, 0, 4, 1.0}},
            {"1,0,4,250", forwarding::reported_load{1, 0, 4, 2.5}},
            {"1,0,4,0", forwarding::reported_load{1, 0, 4, 1.0}},
            {"1,0,4,100,further", forwarding::reported_load{1, 0, 4, 1.0}},
            {"1,0", std::nullopt, runtime::load_fault::too_few_figures},
            {"1,0,x", std::nullopt, runtime::load_fault::not_a_count},
            {"1,0,4,", std::nullopt, runtime::load_fault::not_a_count},
            {"-1,0,4", std::nullopt, runtime::load_fault::not_a_count},
            {"4294967296,0,4", std::nullopt, runtime::load_fault::not_a_count},
            {"", std::nullopt, runtime::load_fault::not_a_count},
        };
        for (const row& each : rows)
        {
            // a rejection carries the load as well; at 421 another process reports its own
            for (const unsigned status : {200U, 500U, 503U, 429U, 421U})
            {
                const runtime::parsed_notice reading = m_protocol.read_notice(
                    {status, {{"Not-Executed", "1"}, {"Server-Load", each.m_value}}, ""});
                const bool is_own = status != 421;
                CPPUNIT_ASSERT(reading.m_notice.m_load == (is_own ? each.m_load : std::nullopt));
                CPPUNIT_ASSERT(reading.m_load_fault == (is_own ? each.m_fault : runtime::load_fault::none));
            }
        }
    }

    void responses_to_other_requests_are_detected()
    {
        using runtime::response_match;
        CPPUNIT_ASSERT(m_protocol.match({200, {{"Request-Id", "9c"}}, ""}, "9c") == response_match::own);
        CPPUNIT_ASSERT(m_protocol.match({200, {{"Request-Id", "9d"}}, ""}, "9c") == response_match::other);
        CPPUNIT_ASSERT(m_protocol.match({200, {}, ""}, "9c") == response_match::unidentified);
    }

    void fields_of_a_gathered_response()
    {
        forwarding::gathered response;
        response.m_shard_replies = {{200, {}, "", "s1"}, {200, {}, "", "s2"}};
        const std::vector<header_field> complete{{"Shard-Stamps", "s1, s2"}};
        CPPUNIT_ASSERT(m_protocol.gathered_fields(response) == complete);
        response.m_missing = 1;
        const std::vector<header_field> partial{{"Shard-Stamps", "s1, s2"}, {"Missing-Shards", "1"}};
        CPPUNIT_ASSERT(m_protocol.gathered_fields(response) == partial);
    }

  private:
    platform::http_protocol m_protocol;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_protocol_test);

} // namespace
