#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "platform_fleet.hpp"
#include "scripted_server.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace test_support;
using nlohmann::json;

constexpr unsigned net = 94;
constexpr int request_count = 40;
// keeps the requests within what an account may use of its limit at a node that has just started
constexpr auto request_pause = 25ms;
// until nodes that were all started again agree who holds the limits; before, they refuse some requests
constexpr auto settling_time = 2s;

/// answers that callers got
struct answer_counts
{
    int m_served{0};
    int m_refused{0};
    int m_failed{0};

    friend bool operator==(const answer_counts&, const answer_counts&) = default;
};

class odd_entries_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_entries_test);
    CPPUNIT_TEST(restarted_nodes_serve_beside_odd_names);
    CPPUNIT_TEST(restarted_nodes_serve_beside_names_that_are_no_text);
    CPPUNIT_TEST(restarted_nodes_serve_beside_many_odd_names);
    CPPUNIT_TEST(unreadable_items_stop_no_running_node);
    CPPUNIT_TEST(entries_with_odd_values_get_no_request);
    CPPUNIT_TEST(names_that_cannot_be_sent_get_no_request);
    CPPUNIT_TEST(second_name_of_an_upstream_fails_no_request);
    CPPUNIT_TEST(address_of_the_node_itself_fails_no_request);
    CPPUNIT_TEST(odd_evacuations_stop_nothing);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against a listing that never ends: with the entry on a page of its own, all nodes that start
    // stay without upstreams while it stands
    void restarted_nodes_serve_beside_odd_names()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             names_that_stop_restarted_nodes({"m&n", "m+n", "m#n", "m%41n", "m n"}));
    }

    /// the store replaces such bytes in its answers
    void restarted_nodes_serve_beside_names_that_are_no_text()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{}, names_that_stop_restarted_nodes({"m\xff", "\xff"}));
    }

    void restarted_nodes_serve_beside_many_odd_names()
    {
        platform_fleet fleet{net};
        for (int number = 0; number < 700; ++number)
        {
            fleet.store().put("servers/m&+#% " + std::to_string(number), "{}");
            fleet.store().put("servers/m\xf0" + std::to_string(number), "{}");
        }
        fleet.start_node(1);
        fleet.start_node(2);
        CPPUNIT_ASSERT_EQUAL(std::string{}, faults_of(fleet));
    }

    void unreadable_items_stop_no_running_node()
    {
        platform_fleet fleet{net};
        fleet.start_node(1);
        fleet.start_node(2);
        fleet.store().put_text("servers/m1", R"({"key":"servers/m1","value":"***","revision":100})");
        fleet.store().put_text("servers/m2", R"({"key":"servers/m2","revision":101})");
        fleet.store().put_text("servers/m\xff",
                               "{\"key\":\"servers/m\xff\",\"value\":\"e30=\",\"revision\":102}");
        fleet.store().put_text("m", "7");
        std::this_thread::sleep_for(platform_fleet::revocation_bound + 500ms);
        CPPUNIT_ASSERT_EQUAL(std::string{}, faults_of(fleet));
    }

    /// a copy of an upstream's entry with figures that no upstream has, at an address where nobody listens
    void entries_with_odd_values_get_no_request()
    {
        struct row
        {
            const char* m_field;
            json m_value;
        };
        const std::vector<row> rows{{"capacity", -1},
                                    {"capacity", 4294967297ULL},
                                    {"capacity", 2.5},
                                    {"capacity", 1e300},
                                    {"capacity", true},
                                    {"sequence", -4},
                                    {"sequence", 1.5},
                                    {"sequence", 1e300},
                                    {"warmupRemainingMs", -5},
                                    {"warmupRemainingMs", 9223372036854775807ULL},
                                    {"warmupRemainingMs", 18446744073709551615ULL},
                                    {"warmupRemainingMs", "5"},
                                    {"born", -1},
                                    {"born", 1.5},
                                    {"born", 18446744073709551615ULL},
                                    {"state", "resting"},
                                    {"zone", 7}};
        std::string failed;
        platform_fleet fleet{net};
        counting_host trap;
        const std::string readable = fleet.single_upstreams().front()->entry("ready", 1, trap.address());
        fleet.start_node(1);
        int number = 0;
        for (const row& each : rows)
        {
            const std::string name = "odd-" + std::to_string(++number);
            json entry = json::parse(readable);
            entry[each.m_field] = each.m_value;
            fleet.store().put("servers/" + name, entry.dump());
            CPPUNIT_ASSERT(is_read_soon(fleet, name));
            const answer_counts counts = send(fleet, 1, "GET", "/read/x");
            const bool is_ignored = trap.take_requests() == 0 && counts.m_served == request_count;
            failed += is_ignored ? "" : std::string{each.m_field} + "=" + each.m_value.dump() + " ";
            fleet.store().remove("servers/" + name);
        }
        // a readable entry at the same address gets requests
        fleet.store().put("servers/readable", readable);
        CPPUNIT_ASSERT(is_read_soon(fleet, "readable"));
        (void)send(fleet, 1, "GET", "/read/x");
        CPPUNIT_ASSERT(trap.take_requests() > 0);
        CPPUNIT_ASSERT_EQUAL(std::string{}, failed);
    }

    // guards against names that add lines to the heads of requests
    void names_that_cannot_be_sent_get_no_request()
    {
        counting_host trap;
        platform_fleet fleet{net};
        const std::string readable = fleet.single_upstreams().front()->entry("ready", 1, trap.address());
        for (const std::string name :
             {"", " m", "m ", "m n", "m\tn", "m\r\nX-Odd: 1", "m\x01", "m\x7f", "m\u00e9"})
        {
            fleet.store().put("servers/" + name, readable);
        }
        fleet.start_node(1);
        const answer_counts counts = send(fleet, 1, "POST", "/book/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, trap.take_requests());
        CPPUNIT_ASSERT_EQUAL(request_count, counts.m_served);
    }

    /// the address of a live upstream, which answers 421 to requests for another one
    void second_name_of_an_upstream_fails_no_request()
    {
        std::string failed;
        for (const std::string name : {"copy", "m&+#%"})
        {
            for (const std::int64_t born : {std::int64_t{0}, std::int64_t{1}, std::int64_t{1} << 62})
            {
                platform_fleet fleet{net};
                json entry = json::parse(fleet.single_upstreams().front()->entry("ready", 1));
                entry["born"] = born;
                fleet.store().put("servers/" + name, entry.dump());
                fleet.start_node(1);
                const answer_counts all{request_count, 0, 0};
                const bool is_right =
                    send(fleet, 1, "GET", "/read/x") == all && send(fleet, 1, "POST", "/book/x") == all;
                failed += is_right ? "" : name + " born " + std::to_string(born) + ", ";
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, failed);
    }

    // guards against requests that a node sends to itself, without the key that it would need
    void address_of_the_node_itself_fails_no_request()
    {
        platform_fleet fleet{net};
        const std::string own = fleet.callers_of(1).to_string();
        fleet.store().put("servers/own", fleet.single_upstreams().front()->entry("ready", 1, own));
        fleet.start_node(1);
        std::this_thread::sleep_for(settling_time);
        CPPUNIT_ASSERT_EQUAL(std::string{}, faults_of(send(fleet, 1, "POST", "/book/x")));
        CPPUNIT_ASSERT_EQUAL(std::string{}, faults_of(send(fleet, 1, "GET", "/read/x")));
    }

    void odd_evacuations_stop_nothing()
    {
        platform_fleet fleet{net};
        fleet.store().set_page_size(1);
        for (const std::string zone : {"", "&", "a+b", "a#b", "North", " north", "north ", "north/", "a\xff"})
        {
            fleet.store().put("op/evacuate/" + zone, "{}");
        }
        fleet.store().put_text("op/evacuate/m", R"({"key":"op/evacuate/m","value":null,"revision":100})");
        fleet.start_node(1);
        fleet.start_node(2);
        CPPUNIT_ASSERT_EQUAL(std::string{}, faults_of(fleet));
    }

  private:
    /// a host of another service, which counts the requests that reach it
    class counting_host
    {
      public:
        counting_host()
            : m_address("127." + std::to_string(net) + ".0.9:9000"),
              m_server(m_thread, teasellead::endpoint::parse(m_address),
                       [](const std::string&) {
                           return scripted_answer{
                               "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"};
                       })
        {
        }

        [[nodiscard]] const std::string& address() const noexcept
        {
            return m_address;
        }

        /// number of requests since the last call
        std::size_t take_requests()
        {
            const std::size_t before = std::exchange(m_seen, m_server.requests());
            return m_seen - before;
        }

      private:
        std::string m_address;
        runtime::loop_thread m_thread;
        scripted_server m_server;
        std::size_t m_seen{0};
    };

    /// waits until node 1 has read an entry
    static bool is_read_soon(const platform_fleet& fleet, const std::string& name)
    {
        const std::string line = R"("event":"upstream","instance":")" + name + "\"";
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (std::chrono::steady_clock::now() < end)
        {
            if (fleet.output_of(1).find(line) != std::string::npos)
            {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    /// those of some names beside which not all requests are served after all nodes were started again; each
    /// item is on a page of its own
    static std::string names_that_stop_restarted_nodes(const std::vector<std::string>& names)
    {
        std::string result;
        for (const std::string& name : names)
        {
            platform_fleet fleet{net};
            fleet.store().set_page_size(1);
            fleet.start_node(1);
            fleet.start_node(2);
            fleet.store().put("servers/" + name, "{}");
            restart(fleet);
            const std::string faults = faults_of(fleet);
            result += faults.empty() ? "" : name + ": " + faults + "\n";
        }
        return result;
    }

    /// kills both nodes and starts them again
    static void restart(platform_fleet& fleet)
    {
        for (const unsigned node : {1U, 2U})
        {
            fleet.node(node).signal(SIGKILL);
            fleet.node(node).wait();
            fleet.forget_node(node);
        }
        fleet.launch_node(1);
        fleet.launch_node(2);
    }

    static answer_counts send(const platform_fleet& fleet, unsigned node, const std::string& method,
                              const std::string& target)
    {
        answer_counts counts;
        plain_caller caller{fleet.callers_of(node)};
        for (int request = 0; request < request_count; ++request)
        {
            const unsigned status =
                caller.call(method, target, method + target + std::to_string(request), "key-1").m_status;
            counts.m_served += status == 200 ? 1 : 0;
            counts.m_refused += status == 503 || status == 429 ? 1 : 0;
            counts.m_failed += status != 200 && status != 503 && status != 429 ? 1 : 0;
            std::this_thread::sleep_for(request_pause);
        }
        return counts;
    }

    /// what is wrong with the answers of both nodes once they are ready; empty if every request is served
    static std::string faults_of(platform_fleet& fleet)
    {
        try
        {
            fleet.wait_until_ready(1);
            fleet.wait_until_ready(2);
        }
        catch (const std::runtime_error&)
        {
            return "not ready";
        }
        std::this_thread::sleep_for(settling_time);
        return faults_of(send(fleet, 1, "GET", "/read/x")) + faults_of(send(fleet, 2, "GET", "/all/x")) +
               faults_of(send(fleet, 2, "POST", "/book/x"));
    }

    static std::string faults_of(const answer_counts& counts)
    {
        return counts == answer_counts{request_count, 0, 0}
                   ? ""
                   : "refused " + std::to_string(counts.m_refused) + " failed " +
                         std::to_string(counts.m_failed) + "; ";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entries_test);

} // namespace
