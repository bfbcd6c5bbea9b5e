#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "teasellead/forwarding/record_merge.hpp"
#include "teasellead/forwarding/route_table.hpp"
#include "teasellead/forwarding/traffic_splitter.hpp"

namespace
{

using namespace teasellead::forwarding;

route route_of(const std::string& name, const std::string& hostname, const std::string& prefix)
{
    route result;
    result.m_name = name;
    result.m_hostname = hostname;
    result.m_prefix = prefix;
    return result;
}

class route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_table_test);
    CPPUNIT_TEST(longest_prefix_of_the_host_is_found);
    CPPUNIT_TEST(keys_belong_to_accounts);
    CPPUNIT_TEST(traffic_split_follows_its_weights);
    CPPUNIT_TEST(greatest_records_of_all_shard_replies);
    CPPUNIT_TEST_SUITE_END();

  public:
    void longest_prefix_of_the_host_is_found()
    {
        declarations content;
        content.m_routes = {route_of("root", "one.example", "/"), route_of("a", "one.example", "/a/"),
                            route_of("ab", "one.example", "/a/b/"), route_of("other", "two.example", "/a/")};
        const route_table table{content};
        struct row
        {
            std::string m_hostname;
            std::string m_target;
            std::string m_expected; ///< name of the route; empty if no route matches
        };
        const std::vector<row> rows{
            {"one.example", "/x", "root"},         {"one.example", "/a/", "a"},
            {"one.example", "/a/b/c/d", "ab"},     {"one.example", "/a/b", "a"},
            {"one.example", "/a?x=/a/b/", "root"}, {"ONE.example:80", "/a/b/?q", "ab"},
            {"two.example", "/a/b/c", "other"},    {"two.example", "/b/", ""},
            {"three.example", "/a/", ""},          {"", "", ""},
        };
        for (const row& each : rows)
        {
            const route* const found = table.find_route(each.m_hostname, each.m_target);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_hostname + each.m_target, each.m_expected,
                                         found == nullptr ? std::string{} : found->m_name);
        }
    }

    void keys_belong_to_accounts()
    {
        declarations content;
        content.m_routes = {route_of("a", "one.example", "/")};
        CPPUNIT_ASSERT(!route_table{content}.needs_key(content.m_routes.front()));
        content.m_accounts = {{"school", 1.0, 1.0, {"k1", "k2"}}, {"club", 1.0, 1.0, {"k3"}}};
        const route_table table{content};
        CPPUNIT_ASSERT_EQUAL(std::string{"school"}, table.find_account("k2")->m_name);
        CPPUNIT_ASSERT_EQUAL(std::string{"club"}, table.find_account("k3")->m_name);
        CPPUNIT_ASSERT(table.find_account("k4") == nullptr);
        CPPUNIT_ASSERT(table.needs_key(content.m_routes.front()));
        content.m_routes.front().m_is_public = true;
        CPPUNIT_ASSERT(!table.needs_key(content.m_routes.front()));
    }

    void traffic_split_follows_its_weights()
    {
        traffic_splitter splitter;
        const traffic_split split{{{"a", 0.7}, {"b", 0.2}, {"c", 0.1}}};
        int first = 0;
        int second = 0;
        for (int request = 0; request < 100; ++request)
        {
            const std::string& chosen = splitter.choose("route", split);
            first += chosen == "a" ? 1 : 0;
            second += chosen == "b" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(70, first);
        CPPUNIT_ASSERT_EQUAL(20, second);
    }

    void greatest_records_of_all_shard_replies()
    {
        const auto record = [](char first)
        {
            return std::string(1, first) + std::string(15, '.');
        };
        const std::string reply_a = record('b') + record('\xff') + "rest";
        const std::string reply_b = record('c') + record('b');
        struct row
        {
            std::vector<std::string_view> m_parts;
            std::size_t m_top;
            std::string m_expected;
        };
        const std::vector<row> rows{
            {{reply_a, reply_b}, 3, record('\xff') + record('c') + record('b')},
            {{reply_a, reply_b}, 10, record('\xff') + record('c') + record('b') + record('b')},
            {{reply_a}, 0, ""},
            {{}, 5, ""},
            {{"short"}, 5, ""},
        };
        for (const row& each : rows)
        {
            CPPUNIT_ASSERT_EQUAL(each.m_expected, greatest_records(each.m_parts, each.m_top));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace
