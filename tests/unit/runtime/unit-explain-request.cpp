#include <cppunit/extensions/HelperMacros.h>

#include "dispatch_fixture.hpp"
#include "explain_request.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::forwarding;
using namespace teasellead::test;

class explain_request_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(explain_request_test);
    CPPUNIT_TEST(names_the_choice_and_the_reasons);
    CPPUNIT_TEST_SUITE_END();

  public:
    void names_the_choice_and_the_reasons()
    {
        struct row
        {
            std::string m_query;
            unsigned m_status;
            std::vector<std::string> m_parts; ///< in the order of the answer
        };
        const std::vector<row> rows{
            {"host=h.example&path=%2Fa%2F1",
             200,
             {"route one priority=3", "service a work_ms=15", "a-1 data", ": chosen", "a-0 data", ": later",
              "a-2 data", ": paused"}},
            {"path=%2Fa%2F1&host=h.example&account=urgent", 200, {"priority=0", "service a"}},
            {"host=h.example&path=/all/", 200, {"service a", ": chosen", "service b", "no upstream"}},
            {"host=h.example&path=/none", 404, {"no route"}},
            {"host=other&path=/a/", 404, {"no route"}},
            {"host=h.example&path=", 400, {"needed"}},
            {"host=%&path=%zz", 404, {"no route"}},
            {"", 400, {"needed"}},
        };
        dispatch_fixture fixture{{"a"}, 3};
        const auto found =
            fixture.m_directory.candidates("a", {}, fixture.m_context.m_has_capacity, dispatch_start);
        for (const upstream_candidate& each : found)
        {
            const std::string& name = each.m_upstream->entry().m_instance;
            each.m_upstream->on_work(name == "a-0" ? 3.0 : 1.0);
            each.m_upstream->pause_until(name == "a-2" ? dispatch_start + 1s : time_point{});
        }
        for (const row& each : rows)
        {
            const runtime::http_response response =
                runtime::explain_request(each.m_query, routes(), fixture.m_context, dispatch_start);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_query, each.m_status, response.m_status);
            std::size_t from = 0;
            for (const std::string& part : each.m_parts)
            {
                from = response.m_body.find(part, from);
                CPPUNIT_ASSERT_MESSAGE(part + " in " + response.m_body, from != std::string::npos);
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.m_context.m_choices);
        }
        CPPUNIT_ASSERT_EQUAL(
            503U,
            runtime::explain_request(rows[0].m_query, nullptr, fixture.m_context, dispatch_start).m_status);
    }

  private:
    static shared_route_table routes()
    {
        declarations content;
        content.m_version = 4;
        route one;
        one.m_name = "one";
        one.m_hostname = "h.example";
        one.m_prefix = "/a/";
        one.m_priority = 3;
        one.m_target = one_service{"a"};
        route all = one;
        all.m_name = "all";
        all.m_prefix = "/all/";
        all.m_target = scatter{{"a", "b"}, 5, 0.5};
        content.m_routes = {one, all};
        account urgent;
        urgent.m_name = "urgent";
        urgent.m_priority = 0;
        content.m_accounts = {urgent};
        return std::make_shared<const route_table>(std::move(content));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(explain_request_test);

} // namespace
