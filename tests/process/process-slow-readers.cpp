#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>

#include "platform_fleet.hpp"
#include "slow_crowd.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace test_support;

constexpr unsigned net = 93;
constexpr unsigned memory_mb = 96;
constexpr unsigned max_descriptors = 400;
// descriptors that aren't sockets or pipes
constexpr std::size_t reserved_descriptors = 200;
constexpr std::size_t long_body = 8U * 1024 * 1024;
// rounds in which the crowd sends and reads, and the pause between them
constexpr int rounds = 40;
constexpr auto round_pause = 100ms;

/// a crowd of callers and what each of them does
struct crowd_case
{
    std::size_t m_size;
    std::string m_bytes;    ///< what each caller sends
    std::size_t m_max_read; ///< bytes that each caller reads in a round
    std::size_t m_joins;    ///< connections that are opened in a round
};

std::string head_of(const std::string& method, const std::string& target, std::size_t body = 0)
{
    return method + " " + target +
           " HTTP/1.1\r\nHost: one.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 8000\r\n"
           "Authorization: Bearer key-1\r\n" +
           (body > 0 ? "Content-Length: " + std::to_string(body) + "\r\n" : "") + "\r\n";
}

/// largest memory that a process has held, in MB
std::size_t peak_mb(pid_t process)
{
    constexpr std::size_t kb_per_mb = 1024;
    const std::string name = "VmHWM:";
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    for (std::string line; std::getline(status, line);)
    {
        if (line.starts_with(name))
        {
            return std::stoul(line.substr(name.size())) / kb_per_mb;
        }
    }
    return 0;
}

/// number of sockets and pipes that a process has open
std::size_t open_channels(pid_t process)
{
    std::size_t count = 0;
    std::error_code ended; // a descriptor may be closed while it is looked at
    for (const auto& each :
         std::filesystem::directory_iterator{"/proc/" + std::to_string(process) + "/fd", ended})
    {
        const std::string target = std::filesystem::read_symlink(each.path(), ended).string();
        count += target.starts_with("socket:") || target.starts_with("pipe:") ? 1 : 0;
    }
    return count;
}

class slow_readers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slow_readers_test);
    CPPUNIT_TEST(unread);
    CPPUNIT_TEST(trickle);
    CPPUNIT_TEST(parts);
    CPPUNIT_TEST(bodies);
    CPPUNIT_TEST(idle);
    CPPUNIT_TEST(partial);
    CPPUNIT_TEST_SUITE_END();

  public:
    // long responses, of which two are requested on each connection and none is read
    void unread()
    {
        const std::string request = head_of("GET", "/read/long");
        withstands({60, request + request, 0, 2});
    }

    // long responses that are read at some KB a second
    void trickle()
    {
        withstands({60, head_of("GET", "/read/long"), 512, 2});
    }

    // long responses of shards, of which a response to the caller holds a few records only
    void parts()
    {
        withstands({60, head_of("GET", "/all/long"), 512, 60});
    }

    // request bodies that never become complete
    void bodies()
    {
        constexpr std::size_t body = 1'000'000;
        withstands({150, head_of("POST", "/book/x", body) + std::string(body - 1, '.'), 512, 150});
    }

    // connections on which nothing is sent
    void idle()
    {
        withstands({300, "", 0, 300});
    }

    // connections on which the first bytes of a request are sent
    void partial()
    {
        withstands({300, "GET /read/x HTTP/1.1\r\n", 512, 300});
    }

  private:
    /// lets a crowd press on a node that has little memory and few descriptors
    static void withstands(const crowd_case& pressing)
    {
        platform_fleet fleet{net};
        fleet.set_route_timeout(8000ms);
        fleet.publish(2, {"key-1"});
        fleet.set_limits(memory_mb, max_descriptors);
        upstream_behaviour sending;
        sending.m_long_body = long_body;
        for (const auto& upstream : fleet.upstreams())
        {
            upstream->set_behaviour(sending);
        }
        fleet.start_node(1);
        const pid_t process = fleet.node(1).id();
        const std::size_t calm_mb = peak_mb(process);
        slow_crowd crowd{fleet.callers_of(1), pressing.m_size, pressing.m_bytes, pressing.m_joins};
        std::size_t channels = 0;
        for (int round = 0; round < rounds; ++round)
        {
            crowd.advance(pressing.m_max_read);
            std::this_thread::sleep_for(round_pause);
            channels = std::max(channels, open_channels(process));
        }
        const bool is_answered = answers_ordinary_request(fleet);
        std::cerr << " calm " << calm_mb << " MB, peak " << peak_mb(process) << " MB, " << channels
                  << " sockets and pipes, answered " << is_answered << '\n';
        CPPUNIT_ASSERT_EQUAL(0, ::kill(process, 0));
        CPPUNIT_ASSERT(peak_mb(process) > 0);
        CPPUNIT_ASSERT(peak_mb(process) <= memory_mb);
        CPPUNIT_ASSERT(channels <= max_descriptors - reserved_descriptors);
        CPPUNIT_ASSERT(is_answered);
    }

    /// sends one request, again after a refusal as callers do
    static bool answers_ordinary_request(const platform_fleet& fleet)
    {
        constexpr int attempts = 20;
        for (int attempt = 0; attempt < attempts; ++attempt)
        {
            plain_caller caller{fleet.callers_of(1)};
            if (caller.call("GET", "/read/x", "ordinary-" + std::to_string(attempt), "key-1", 2000ms)
                    .m_status == 200)
            {
                return true;
            }
            std::this_thread::sleep_for(round_pause);
        }
        return false;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_readers_test);

} // namespace
