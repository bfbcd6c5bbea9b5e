#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <limits>
#include <sstream>
#include <string>

#include "teasellead/ctl/fleet_report.hpp"
#include "teasellead/ctl/narrow_text.hpp"

namespace
{

using namespace teasellead;

const endpoint first_node = endpoint::parse("10.0.0.5:8081");
const endpoint second_node = endpoint::parse("10.0.1.5:8081");
const endpoint some_upstream = endpoint::parse("10.0.0.9:9000");

node_report healthy_node(const endpoint& node)
{
    return {node,
            true,
            false,
            12,
            std::chrono::seconds{3},
            std::nullopt,
            {{"/slots", 990, 10, 0, 5, 0, 0, 0.9999, {}, {}, std::chrono::microseconds{12'340}}},
            {{"school-coaches", 990, 10, 0, 5, 0, 0, 0.9999, {}, {}, std::chrono::microseconds{12'340}}},
            {{some_upstream, reported_state::warm, 0, false, {"slots"}}}};
}

node_report changed(const std::function<void(node_report&)>& change)
{
    node_report result = healthy_node(first_node);
    change(result);
    return result;
}

node_report with_upstream(reported_state state, std::uint64_t in_flight, bool draining)
{
    return changed(
        [&](node_report& node) {
            node.m_upstreams = {{some_upstream, state, in_flight, draining, {"slots"}}};
        });
}

std::string first_line(const std::string& text)
{
    return text.substr(0, text.find('\n'));
}

std::size_t longest_line(const std::string& text)
{
    std::istringstream lines{text};
    std::size_t result = 0;
    for (std::string line; std::getline(lines, line);)
    {
        result = std::max(result, line.size());
    }
    return result;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

request_summary extreme_summary(const std::string& name)
{
    constexpr std::uint64_t count = std::numeric_limits<std::uint64_t>::max();
    constexpr std::chrono::microseconds time = std::chrono::microseconds::max();
    return {name, count, count, count, count, count, count, 0.5, time, time, time};
}

node_report extreme_node(const std::string& name)
{
    constexpr std::uint64_t count = std::numeric_limits<std::uint64_t>::max();
    return {
        endpoint::parse("255.255.255.255:65535"),
        false,
        true,
        count,
        std::chrono::seconds::max(),
        reported_rejection{count, name},
        {extreme_summary(name)},
        {extreme_summary(name)},
        {{endpoint::parse("255.255.255.255:65534"), reported_state::cold, count, true, {name}},
         {endpoint::parse("255.255.255.255:65533"), reported_state::warming, count, false, {name, "slots"}}}};
}

class fleet_report_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fleet_report_test);
    CPPUNIT_TEST(writes_a_healthy_fleet);
    CPPUNIT_TEST(starts_with_the_worst_problem);
    CPPUNIT_TEST(lists_every_problem);
    CPPUNIT_TEST(shows_the_details_of_each_state);
    CPPUNIT_TEST(aggregates_nodes);
    CPPUNIT_TEST(lines_fit_the_report_width);
    CPPUNIT_TEST_SUITE_END();

  public:
    void writes_a_healthy_fleet()
    {
        const std::string expected = "all well\n"
                                     "\n"
                                     "1 of 1 nodes answer\n"
                                     "\n"
                                     "configuration 12\n"
                                     "  at 1 node,  confirmed 3 s ago\n"
                                     "\n"
                                     "routes\n"
                                     "/slots\n"
                                     "  coverage 99.99%  p99 12.3 ms\n"
                                     "  complete 990  partial 10  refused 0\n"
                                     "  over limit 5  no key 0  failed 0\n"
                                     "\n"
                                     "client accounts\n"
                                     "school-coaches\n"
                                     "  served 1000  over limit 5  refused 0\n"
                                     "  no key 0  failed 0\n"
                                     "\n"
                                     "1 upstreams\n";
        CPPUNIT_ASSERT_EQUAL(expected, format_report({{healthy_node(first_node)}}));
    }

    void starts_with_the_worst_problem()
    {
        struct row
        {
            std::string m_expected;
            fleet_report m_report;
        };
        const node_report healthy = healthy_node(second_node);
        const unreachable_node unreachable{first_node, "no answer"};
        const std::vector<row> rows{
            {"all well", {{healthy_node(first_node), healthy}}},
            {"no node answers", {{}}},
            {"no node answers", {{unreachable}}},
            {"1 node unreachable", {{unreachable, healthy}}},
            {"1 node not ready", {{changed([](node_report& node) { node.m_ready = false; }), healthy}}},
            {"all well",
             {{changed(
                   [](node_report& node)
                   {
                       node.m_ready = false;
                       node.m_leaving = true;
                   }),
               healthy}}},
            {"1.95% failed for school-coaches",
             {{changed([](node_report& node) { node.m_client_accounts[0].m_failed = 20; })}}},
            {"all well", {{changed([](node_report& node) { node.m_client_accounts[0].m_failed = 10; })}}},
            {"1.95% refused for school-coaches",
             {{changed([](node_report& node) { node.m_client_accounts[0].m_refused = 20; })}}},
            {"all well",
             {{changed([](node_report& node) { node.m_client_accounts[0].m_over_limit = 900; })}}},
            {"coverage 98.99% of /slots",
             {{changed([](node_report& node) { node.m_routes[0].m_mean_coverage = 0.98999; })}}},
            {"all well", {{changed([](node_report& node) { node.m_routes[0].m_mean_coverage = 0.99; })}}},
            {"configuration 13 rejected",
             {{changed(
                 [](node_report& node) {
                     node.m_rejection = reported_rejection{13, "line 3: x"};
                 })}}},
            {"configurations differ: 11 to 12",
             {{changed([](node_report& node) { node.m_revision = 11; }), healthy}}},
            {"configuration unconfirmed at 1 node",
             {{changed([](node_report& node) { node.m_revision_age = std::chrono::seconds{61}; })}}},
            {"all well",
             {{changed([](node_report& node) { node.m_revision_age = std::chrono::seconds{60}; })}}},
            {"1 upstream cold under load", {{with_upstream(reported_state::cold, 1, false)}}},
            {"all well", {{with_upstream(reported_state::cold, 0, false)}}},
            {"all well", {{with_upstream(reported_state::cold, 1, false), healthy}}},
            {"all well", {{with_upstream(reported_state::warming, 1, false)}}},
            {"all well", {{with_upstream(reported_state::warm, 0, true)}}}};
        for (const row& row : rows)
        {
            CPPUNIT_ASSERT_EQUAL(row.m_expected, first_line(format_report(row.m_report)));
        }
    }

    void lists_every_problem()
    {
        const std::vector<std::string> expected{
            "1 node unreachable",        "1 node not ready",          "1.95% failed for school-coaches",
            "coverage 50.00% of /slots", "configuration 13 rejected", "configuration unconfirmed at 1 node",
            "1 upstream cold under load"};
        const node_report node = changed(
            [](node_report& value)
            {
                value.m_ready = false;
                value.m_client_accounts[0].m_failed = 20;
                value.m_routes[0].m_mean_coverage = 0.5;
                value.m_rejection = reported_rejection{13, "line 3: x"};
                value.m_revision_age = std::chrono::hours{5};
                value.m_upstreams = {{some_upstream, reported_state::cold, 1, false, {}}};
            });
        const fleet_report report{{node, unreachable_node{second_node, "status 404"}}};
        CPPUNIT_ASSERT(find_problems(report) == expected);
        const std::string text = format_report(report);
        for (const std::string& problem : expected)
        {
            CPPUNIT_ASSERT_MESSAGE(problem, contains(text, problem + '\n'));
        }
    }

    void shows_the_details_of_each_state()
    {
        struct row
        {
            std::string m_expected;
            fleet_report m_report;
        };
        const std::vector<row> rows{
            {"  unreachable 10.0.1.5:8081\n    status 404\n",
             {{healthy_node(first_node), unreachable_node{second_node, "status 404"}}}},
            {"  leaving 10.0.0.5:8081\n", {{changed([](node_report& node) { node.m_leaving = true; })}}},
            {"  not ready 10.0.0.5:8081\n", {{changed([](node_report& node) { node.m_ready = false; })}}},
            {"rejected 13:\n  line 7: service \"slots\" depends on\n  itself\n",
             {{changed(
                 [](node_report& node) {
                     node.m_rejection = reported_rejection{13, "line 7: service \"slots\" depends on itself"};
                 })}}},
            {"confirmed 119 s ago",
             {{changed([](node_report& node) { node.m_revision_age = std::chrono::seconds{119}; })}}},
            {"confirmed 2 min ago",
             {{changed([](node_report& node) { node.m_revision_age = std::chrono::seconds{120}; })}}},
            {"confirmed 2 h ago",
             {{changed([](node_report& node) { node.m_revision_age = std::chrono::seconds{7'200}; })}}},
            {"upstreams\n  cold 10.0.0.9:9000  idle  slots\n",
             {{with_upstream(reported_state::cold, 0, false)}}},
            {"upstreams\n  warming 10.0.0.9:9000  3 in flight\n  slots\n",
             {{with_upstream(reported_state::cold, 2, false),
               with_upstream(reported_state::warming, 1, false)}}},
            {"upstreams\n  draining 10.0.0.9:9000  1 in flight\n  slots\n",
             {{with_upstream(reported_state::warm, 1, true), healthy_node(second_node)}}},
            {"coverage 99.99%  p99 unknown\n",
             {{changed([](node_report& node) { node.m_routes[0].m_p99 = std::chrono::microseconds{0}; })}}},
            {"(no client account)\n",
             {{changed([](node_report& node) { node.m_client_accounts[0].m_name.clear(); })}}}};
        for (const row& row : rows)
        {
            const std::string text = format_report(row.m_report);
            CPPUNIT_ASSERT_MESSAGE(row.m_expected + "not in\n" + text, contains(text, row.m_expected));
        }
    }

    void aggregates_nodes()
    {
        const node_report slow = changed(
            [](node_report& node) {
                node.m_routes = {
                    {"/slots", 0, 1000, 1, 2, 3, 4, 0.9901, {}, {}, std::chrono::microseconds{50'000}}};
            });
        const std::string text = format_report({{slow, healthy_node(second_node)}});
        CPPUNIT_ASSERT_MESSAGE(text, contains(text, "  coverage 99.50%  p99 50.0 ms\n"
                                                    "  complete 990  partial 1010  refused 1\n"
                                                    "  over limit 7  no key 3  failed 4\n"));
        CPPUNIT_ASSERT_MESSAGE(text, contains(text, "  served 2000  over limit 10  refused 0\n"));
    }

    void lines_fit_the_report_width()
    {
        const std::vector<std::string> names{std::string(200, 'x'),
                                             "many short words in one name that has no end in sight at all",
                                             "a\tb\nc\x1b[31m",
                                             "n\u1edba c\u00e2u l\u1ea1c b\u1ed9 \u0111\u00e1nh b\u00f3ng "
                                             "g\u1eady th\u00e0nh ph\u1ed1 H\u1ed3 Ch\u00ed Minh",
                                             std::string(39, 'y') + "\u1ed9\u1ed9\u1ed9\u1ed9"};
        for (const std::string& name : names)
        {
            const fleet_report report{{extreme_node(name), unreachable_node{first_node, name},
                                       unreachable_node{endpoint::parse("255.255.255.255:65535"), name}}};
            const std::string text = format_report(report);
            CPPUNIT_ASSERT_MESSAGE(text, longest_line(text) <= report_columns);
            CPPUNIT_ASSERT_MESSAGE(text, !contains(text, "\x1b"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_report_test);

} // namespace
