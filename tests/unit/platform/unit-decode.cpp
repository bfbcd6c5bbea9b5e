#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "platform/decode.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::platform;

const std::string valid_upstream =
    R"({"service":"net","address":"10.128.0.9:8080","zone":"q1","version":"v1","capacity":3,"state":"ready",)"
    R"("warmupRemainingMs":250,"sequence":4,"born":1700000000123})";

const std::string valid_configuration = R"({"version":7,
  "routes":[
    {"name":"all","hostname":"leno.example","prefix":"/a/","type":"idempotent","timeoutMs":600,"targetLatencyMs":60,
     "priority":2,"fanoutServices":["s1","s2"],"maxAttempts":2,"topK":5,"minCoverage":0.75,"public":false},
    {"name":"one","hostname":"leno.example","prefix":"/b/","type":"non_idempotent","timeoutMs":5000,"service":"s3",
     "maxAttempts":3,"public":true},
    {"name":"split","hostname":"leno.example","prefix":"/c/","type":"idempotent","timeoutMs":100,
     "trafficSplit":[{"service":"s1","weight":0.25},{"service":"s2","weight":0.75}]}],
  "services":[{"name":"s1","healthCheckPath":"/healthz","maxConnections":31,"warmupS":3.0,"warmupPerS":2.5},
    {"name":"s2"},{"name":"s3"}],
  "limits":{"maxHeaderBytes":4096,"maxBodyBytes":262144,"headerTimeoutMs":2000,"idleTimeoutMs":8000},
  "tenants":[{"name":"school","apiKeys":["k1","k2"],"requestsPerS":16,"burstSize":8,"priority":1}],
  "unknown":{"later":true}})";

const std::string valid_settings = R"({"nodeName":"front-q1-1","zone":"q1","region":"hcm",
  "bindAddresses":{"front":"10.1.0.17:8363","readiness":"10.1.0.17:8364","control":"10.1.0.17:8360"},
  "internalPorts":[7740,7755],"seeds":["10.1.0.17:8360","10.2.0.28:8360"],"later":[1,2],
  "bounds":{"strictRevocation":true,"revokeTimeoutMs":5000,"configApplyMs":4000,"retryBudgetRatio":0.2,"retryWindowS":10,
    "retryBudgetSlack":56,"quotaWindowS":5,"quotaOverage":0.25,"quotaSlack":20,"gracePeriodS":6},
  "platform":{"address":"10.200.1.7:8361","form":"read"}})";

std::string replaced(std::string text, const std::string& part, const std::string& by)
{
    const auto found = text.find(part);
    CPPUNIT_ASSERT(found != std::string::npos);
    return text.replace(found, part.size(), by);
}

class decode_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decode_test);
    CPPUNIT_TEST(configuration_is_read_completely);
    CPPUNIT_TEST(bad_configurations_are_refused);
    CPPUNIT_TEST(upstream_is_read_completely);
    CPPUNIT_TEST(unusable_entries_yield_no_upstream);
    CPPUNIT_TEST(figures_out_of_range_yield_no_upstream);
    CPPUNIT_TEST(whole_figures_may_have_decimals);
    CPPUNIT_TEST(other_fields_of_an_entry_are_passed_over);
    CPPUNIT_TEST(names_that_cannot_be_sent_yield_no_upstream);
    CPPUNIT_TEST(pages_of_the_store);
    CPPUNIT_TEST(unreadable_items_leave_the_others);
    CPPUNIT_TEST(bad_pages_are_refused);
    CPPUNIT_TEST(items_are_distinguished_by_their_keys);
    CPPUNIT_TEST(settings_are_read);
    CPPUNIT_TEST(bad_settings_are_refused);
    CPPUNIT_TEST_SUITE_END();

  public:
    void configuration_is_read_completely()
    {
        const forwarding::declarations read = decode_declarations(valid_configuration);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read.m_version);
        const forwarding::route all{"all", "leno.example",
                                    "/a/", forwarding::repeatability::idempotent,
                                    600ms, 60ms,
                                    2,     2,
                                    false, forwarding::scatter{{"s1", "s2"}, 5, 0.75}};
        CPPUNIT_ASSERT(read.m_routes[0] == all);
        const forwarding::route one{"one",  "leno.example",
                                    "/b/",  forwarding::repeatability::non_idempotent,
                                    5000ms, 5000ms,
                                    3,      0,
                                    true,   forwarding::one_service{"s3"}};
        CPPUNIT_ASSERT(read.m_routes[1] == one);
        const forwarding::traffic_split split{{{"s1", 0.25}, {"s2", 0.75}}};
        CPPUNIT_ASSERT(std::get<forwarding::traffic_split>(read.m_routes[2].m_target) == split);
        CPPUNIT_ASSERT((read.m_services[0] == forwarding::service{"s1", 31, 2.5}));
        CPPUNIT_ASSERT((read.m_accounts[0] == forwarding::account{"school", 16.0, 8.0, {"k1", "k2"}, 1U}));
        CPPUNIT_ASSERT((read.m_limits == forwarding::caller_limits{4096, 262144, 2000ms, 8000ms}));
    }

    void bad_configurations_are_refused()
    {
        const std::vector<std::string> texts{
            "",
            "{",
            "[]",
            replaced(valid_configuration, "\"version\":7", "\"version\":\"7\""),
            replaced(valid_configuration, "\"version\":7,", ""),
            replaced(valid_configuration, "\"timeoutMs\":600", "\"timeoutMs\":null"),
            replaced(valid_configuration, "\"service\":\"s3\",", ""),
            replaced(valid_configuration, "[\"s1\",\"s2\"]", "[1,2]"),
        };
        for (const std::string& text : texts)
        {
            CPPUNIT_ASSERT_THROW_MESSAGE(text.substr(0, 60), (void)decode_declarations(text), protocol_error);
        }
    }

    void upstream_is_read_completely()
    {
        const forwarding::directory_item read = decode_upstream("servers/i-1", valid_upstream);
        const forwarding::upstream_entry expected{
            "i-1", "net", endpoint::parse("10.128.0.9:8080"), "q1", 3, 1700000000123, 4, false, 250ms};
        CPPUNIT_ASSERT((read == forwarding::directory_item{"i-1", expected}));
        const std::string draining = replaced(valid_upstream, "\"ready\"", "\"draining\"");
        CPPUNIT_ASSERT(decode_upstream("servers/i-1", draining).m_entry->m_is_draining);
    }

    void unusable_entries_yield_no_upstream()
    {
        const std::vector<std::string> values{
            "",
            "\xff\xfe",
            "{}",
            "[1]",
            "null",
            replaced(valid_upstream, "\"ready\"", "\"resting\""),
            replaced(valid_upstream, "\"ready\"", "3"),
            replaced(valid_upstream, "\"service\":\"net\",", ""),
            replaced(valid_upstream, "10.128.0.9:8080", "10.128.0.9"),
            replaced(valid_upstream, "10.128.0.9:8080", "host.example:80"),
            replaced(valid_upstream, "\"capacity\":3", "\"capacity\":\"3\""),
            replaced(valid_upstream, "\"zone\":\"q1\"", "\"zone\":null"),
            replaced(valid_upstream, "\"born\":1700000000123", "\"born\":\"today\""),
            std::string(100'000, '[') + std::string(100'000, ']'),
            replaced(valid_upstream, "\"version\":\"v1\"", "\"version\":\"\xff\""),
            "[" + valid_upstream + "]",
            valid_upstream + "}",
            replaced(valid_upstream, "\"net\"", "[\"net\"]"),
            replaced(valid_upstream, "\"q1\"", "{\"zone\":\"q1\"}"),
            replaced(valid_upstream, "\"service\":\"net\"", "\"other\":{\"service\":\"net\"}"),
        };
        for (const std::string& value : values)
        {
            CPPUNIT_ASSERT_MESSAGE(value, (decode_upstream("servers/i-1", value) ==
                                           forwarding::directory_item{"i-1", std::nullopt}));
        }
    }

    // guards against figures that wrap or lose their fraction: an upstream with four billion slots gets
    // every request
    void figures_out_of_range_yield_no_upstream()
    {
        struct row
        {
            std::string m_part;
            std::vector<std::string> m_values;
        };
        const std::vector<row> rows{
            {"\"capacity\":3", {"-1", "4294967296", "2.5", "1e300", "true", "null", "[3]"}},
            {"\"sequence\":4", {"-1", "18446744073709551616", "4.5", "1e300", "false", "\"4\""}},
            {"\"warmupRemainingMs\":250", {"-1", "-0.5", "9223372036854775807", "1e300", "true", "\"250\""}},
            {"\"born\":1700000000123", {"-1", "9223372036854775808", "1.5", "1e300", "true", "null"}},
        };
        for (const row& each : rows)
        {
            const std::string name = each.m_part.substr(0, each.m_part.find(':') + 1);
            for (const std::string& value : each.m_values)
            {
                const std::string entry = replaced(valid_upstream, each.m_part, name + value);
                CPPUNIT_ASSERT_MESSAGE(name + value, !decode_upstream("servers/i-1", entry).m_entry);
            }
        }
    }

    void whole_figures_may_have_decimals()
    {
        const std::string entry =
            replaced(replaced(replaced(valid_upstream, "\"capacity\":3", "\"capacity\":3.0"),
                              "\"warmupRemainingMs\":250", "\"warmupRemainingMs\":249.5"),
                     "\"born\":1700000000123", "\"born\":1700000000123.0");
        CPPUNIT_ASSERT(decode_upstream("servers/i-1", entry) ==
                       decode_upstream("servers/i-1", valid_upstream));
    }

    // guards against a reader of some fields that differs from one of the whole text
    void other_fields_of_an_entry_are_passed_over()
    {
        for (const std::string other :
             {"\"version\":{\"service\":\"x\",\"state\":[1,{\"zone\":2}]}", "\"version\":[[\"capacity\"],{}]",
              "\"version\":null", "\"service\":\"x\",\"version\":1,\"service\":\"net\"",
              "\"capacity\":{},\"capacity\":3", "\"se\\u0071uence\":9,\"sequence\":4"})
        {
            const std::string entry = "{" + other + "," + valid_upstream.substr(1);
            CPPUNIT_ASSERT_MESSAGE(entry, decode_upstream("servers/i-1", entry) ==
                                              decode_upstream("servers/i-1", valid_upstream));
        }
    }

    // guards against names that would add lines to the head of a request
    void names_that_cannot_be_sent_yield_no_upstream()
    {
        for (const std::string name : {"", " ", "i 1", " i-1", "i-1 ", "i\t1", "i-1\r\nX: y", "i-1\n",
                                       "i\x01", "i\x7f", "i\xff", "i\u00e9"})
        {
            CPPUNIT_ASSERT_MESSAGE(name, (decode_upstream("servers/" + name, valid_upstream) ==
                                          forwarding::directory_item{name, std::nullopt}));
        }
        for (const std::string name : {"i-1", "i/1", "i&+#%1", "~!"})
        {
            CPPUNIT_ASSERT_MESSAGE(name, decode_upstream("servers/" + name, valid_upstream).m_entry);
        }
    }

    void pages_of_the_store()
    {
        const store_page range = decode_page(
            R"({"items":[{"key":"op/x","value":"e30=","revision":5,"created":5,"leaseId":0}],"hasMore":true,"asOf":9})");
        CPPUNIT_ASSERT((range == store_page{{{"op/x", "{}", 5}}, 9, true, 1, "op/x"}));
        const store_page watch =
            decode_page(R"({"events":[{"key":"op/x","revision":10,"removed":true}],"asOf":10})");
        CPPUNIT_ASSERT((watch == store_page{{{"op/x", std::nullopt, 10}}, 10, false, 1, "op/x"}));
    }

    /// an item of another writer names no upstream; one that may have named one before has an empty value
    void unreadable_items_leave_the_others()
    {
        const std::string good = R"({"key":"servers/z","revision":8,"removed":true})";
        struct row
        {
            std::string m_item;
            std::vector<published_item> m_kept;
        };
        const std::vector<row> rows{
            {R"({"key":"a","value":"***","revision":1})", {}},
            {R"({"key":"a","value":"e30=","revision":1})", {}},
            {R"({"value":"e30=","revision":1})", {}},
            {R"({"key":7,"value":"e30=","revision":1})", {}},
            {R"(7)", {}},
            {R"({"key":"servers/","value":"e30=","revision":1})", {}},
            {R"({"key":"servers/a b","value":"e30=","revision":1})", {}},
            {R"({"key":"servers/a\u0000","value":"e30=","revision":1})", {}},
            {R"({"key":"servers/a\udcff","value":"e30=","revision":1})", {}},
            {"{\"key\":\"servers/a\xff\",\"value\":\"e30=\",\"revision\":1}", {}},
            {R"({"key":"servers/a","value":"e30=","revision":"1"})", {}},
            {R"({"key":"servers/a","value":"e30=","revision":-1})", {}},
            {R"({"key":"servers/a","value":"e30="})", {}},
            {R"({"key":"servers/a","value":"e30=","revision":1})", {{"servers/a", "", 1}}},
            {R"({"key":"servers/a","value":"***","revision":1})", {{"servers/a", "", 1}}},
            {R"({"key":"servers/a","value":7,"revision":1})", {{"servers/a", "", 1}}},
            {R"({"key":"servers/a","revision":1})", {{"servers/a", "", 1}}},
            {R"({"key":"servers/a","revision":1,"removed":"yes"})", {{"servers/a", "", 1}}},
            {R"({"key":"servers/a","revision":1,"removed":true})", {{"servers/a", std::nullopt, 1}}},
            {R"({"key":"op/evacuate/q1","value":7,"revision":1})", {{"op/evacuate/q1", "", 1}}},
        };
        for (const row& each : rows)
        {
            std::vector<published_item> expected = each.m_kept;
            expected.push_back({"servers/z", std::nullopt, 8});
            const store_page page =
                decode_page(R"({"items":[)" + each.m_item + "," + good + R"(],"asOf":9})");
            CPPUNIT_ASSERT_MESSAGE(each.m_item, (page == store_page{expected, 9, false, 2, "servers/z"}));
        }
    }

    void bad_pages_are_refused()
    {
        const std::vector<std::string> bodies{
            "",
            "<html>",
            R"({"items":[]})",
            R"({"items":[],"asOf":"9"})",
            R"({"items":{},"asOf":9)",
            R"({"items":[],"asOf":-9})",
            R"({"items":7,"asOf":9})",
            R"({"items":[{"key":"op/config","value":"***","revision":1}],"asOf":9})",
            R"({"items":[{"key":"op/config","revision":1}],"asOf":9})",
            R"({"items":[{"key":"op/config","value":"e30="}],"asOf":9})",
            R"({"items":[{"key":"op/evacuate/q1","value":"e30=","revision":"1"}],"asOf":9})",
            R"({"items":[{"key":"a","value":"e30=","revi)",
        };
        for (const std::string& body : bodies)
        {
            CPPUNIT_ASSERT_THROW_MESSAGE(body, (void)decode_page(body), protocol_error);
        }
    }

    void items_are_distinguished_by_their_keys()
    {
        using runtime::publication;
        CPPUNIT_ASSERT(std::holds_alternative<forwarding::declarations>(
            decode_item({"op/config", valid_configuration, 1})));
        CPPUNIT_ASSERT((decode_item({"op/evacuate/q1", "{}", 1}) ==
                        publication{runtime::data_centre_evacuated{"q1", true}}));
        CPPUNIT_ASSERT((decode_item({"op/evacuate/q1", std::nullopt, 1}) ==
                        publication{runtime::data_centre_evacuated{"q1", false}}));
        CPPUNIT_ASSERT((decode_item({"servers/i-1", std::nullopt, 1}) ==
                        publication{runtime::upstream_withdrawn{"i-1"}}));
        CPPUNIT_ASSERT(std::holds_alternative<runtime::upstream_published>(
            decode_item({"servers/i-1", valid_upstream, 1})));
        CPPUNIT_ASSERT((decode_item({"other/thing", "x", 1}) == publication{runtime::irrelevant_item{}}));
        CPPUNIT_ASSERT(
            (decode_item({"op/config", std::nullopt, 1}) == publication{runtime::irrelevant_item{}}));
    }

    void settings_are_read()
    {
        const runtime::forwarding_settings read = decode_settings(valid_settings);
        CPPUNIT_ASSERT_EQUAL(std::string{"front-q1-1"}, read.m_name);
        CPPUNIT_ASSERT_EQUAL(std::string{"q1"}, read.m_data_centre);
        CPPUNIT_ASSERT(read.m_caller_address == endpoint::parse("10.1.0.17:8363"));
        CPPUNIT_ASSERT(read.m_peer_address == endpoint::parse("10.1.0.17:8360"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.m_seeds.size());
        CPPUNIT_ASSERT((read.m_attempt_budget == forwarding::attempt_budget_settings{0.2, 56.0, 10s}));
        CPPUNIT_ASSERT((read.m_account_bound == account_bound{5s, 0.25, 20.0}));
        CPPUNIT_ASSERT((decode_store(valid_settings) ==
                        store_settings{endpoint::parse("10.200.1.7:8361"), 1200ms, 1000ms, 2300ms}));
        CPPUNIT_ASSERT((read.m_change_bound == 4s));
        CPPUNIT_ASSERT((read.m_settling_time == 4s));
        const std::string settling =
            replaced(valid_settings, "\"configApplyMs\":4000", "\"configApplyMs\":4000,\"contactMs\":6000");
        CPPUNIT_ASSERT((decode_settings(settling).m_settling_time == 6s));
        // leaving upstreams and evacuations reach a node in the same way as configurations
        for (const std::string bound : {"drainTimeoutMs", "evacuationMs"})
        {
            const std::string shorter = replaced(valid_settings, "\"configApplyMs\":4000",
                                                 "\"configApplyMs\":4000,\"" + bound + "\":2500");
            CPPUNIT_ASSERT((decode_settings(shorter).m_change_bound == 2500ms));
        }
        CPPUNIT_ASSERT_EQUAL(125'000'000.0, read.m_link_bytes_per_second);
        CPPUNIT_ASSERT((read.m_max_configuration_age == 4700ms));
        // a revocation bound that is too short for the default time of a long poll
        const std::string strict =
            replaced(valid_settings, "\"revokeTimeoutMs\":5000", "\"revokeTimeoutMs\":3000");
        CPPUNIT_ASSERT((decode_settings(strict).m_max_configuration_age == 1700ms));
        CPPUNIT_ASSERT((decode_store(strict).m_watch_time == 425ms));
        CPPUNIT_ASSERT((decode_store(strict).m_silent_time == 0ms));
    }

    void bad_settings_are_refused()
    {
        const std::vector<std::string> texts{
            "",
            "{",
            "7",
            replaced(valid_settings, "\"nodeName\":\"front-q1-1\",", ""),
            replaced(valid_settings, "\"front\":\"10.1.0.17:8363\",", ""),
            replaced(valid_settings, "10.1.0.17:8363", "10.1.0.17"),
            replaced(valid_settings, "\"revokeTimeoutMs\":5000,", ""),
            replaced(valid_settings, "[7740,7755]", "\"7740\""),
        };
        for (const std::string& text : texts)
        {
            CPPUNIT_ASSERT_THROW_MESSAGE(text.substr(0, 60), (void)decode_settings(text), settings_error);
        }
        CPPUNIT_ASSERT_THROW((void)decode_store(replaced(valid_settings, "10.200.1.7:8361", "store")),
                             settings_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decode_test);

} // namespace
