// stand-in for the platform: two values that can be read and watched, and a control interface for tests
//
// GET /v1/services, /v1/hosts [?after=REVISION&wait_ms=TIME]   as described in docs/wire.md
// PUT /control/services, /control/hosts                        publishes a new revision
// PUT /control/mode     up | down | older                      down: no response;
//                                                              older: the first revision again
// GET /control/reads                                           number of reads so far
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "blocking_server.hpp"
#include "standin_support.hpp"
#include "teasellead/entry/wire_headers.hpp"

namespace
{

using namespace teasellead;
using namespace test_support;

constexpr std::size_t max_body = 2'000'000;

/// a value with all its revisions, the first with number 1
class watched_value
{
  public:
    void publish(std::string text)
    {
        {
            const std::scoped_lock lock{m_mutex};
            m_revisions.push_back(std::move(text));
        }
        m_changed.notify_all();
    }

    http_response read(std::uint64_t after, std::chrono::milliseconds wait, bool older)
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait_for(lock, wait, [&] { return m_stopped || m_revisions.size() > after; });
        if (m_revisions.size() <= after && !older)
        {
            return {304, "text/plain", "", {}, false};
        }
        const std::size_t number = older ? 1 : m_revisions.size();
        return {200,
                "text/plain",
                m_revisions[number - 1],
                {{wire_header::revision, std::to_string(number)}},
                false};
    }

    /// ends all waiting reads
    void stop()
    {
        {
            const std::scoped_lock lock{m_mutex};
            m_stopped = true;
        }
        m_changed.notify_all();
    }

  private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_revisions;
    bool m_stopped{false};
};

class platform
{
  public:
    http_response handle(const http_request& request)
    {
        if (request.m_path.starts_with("/control/"))
        {
            return control(request);
        }
        ++m_reads;
        watched_value* const value = find(request.m_path.substr(request.m_path.rfind('/') + 1));
        if (value == nullptr)
        {
            return {404, "text/plain", "unknown value\n", {}, false};
        }
        if (m_down)
        {
            return {503, "text/plain", "down\n", {}, true};
        }
        const std::uint64_t after = standin::query_number(request.m_query, "after", 0);
        const std::chrono::milliseconds wait{standin::query_number(request.m_query, "wait_ms", 0)};
        const bool is_older = m_older && value == &m_services;
        http_response response =
            value->read(after, is_older ? std::chrono::milliseconds{100} : wait, is_older);
        return m_down ? http_response{503, "text/plain", "down\n", {}, true} : response;
    }

    void publish(const std::string& name, std::string text)
    {
        find(name)->publish(std::move(text));
    }

    void stop()
    {
        m_services.stop();
        m_hosts.stop();
    }

  private:
    watched_value* find(const std::string& name)
    {
        if (name == "services")
        {
            return &m_services;
        }
        return name == "hosts" ? &m_hosts : nullptr;
    }

    http_response control(const http_request& request)
    {
        const std::string name = request.m_path.substr(std::string{"/control/"}.size());
        if (name == "reads")
        {
            return {200, "text/plain", std::to_string(m_reads.load()), {}, false};
        }
        if (name == "mode")
        {
            m_down = request.m_body == "down";
            m_older = request.m_body == "older";
            return {200, "text/plain", "", {}, false};
        }
        if (find(name) == nullptr)
        {
            return {404, "text/plain", "unknown control\n", {}, false};
        }
        publish(name, request.m_body);
        return {200, "text/plain", "", {}, false};
    }

    watched_value m_services;
    watched_value m_hosts;
    std::atomic<bool> m_down{false};
    std::atomic<bool> m_older{false};
    std::atomic<std::uint64_t> m_reads{0};
};

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: standin-platform IP:PORT SERVICES-FILE HOSTS-FILE\n";
        return 2;
    }
    standin::block_stop_signals();
    platform values;
    values.publish("services", read_file(argv[2]));
    values.publish("hosts", read_file(argv[3]));
    const blocking_server server{endpoint::parse(argv[1]), max_body,
                                 [&values](const http_request& request)
                                 {
                                     return values.handle(request);
                                 }};
    standin::wait_for_stop();
    values.stop();
    return 0;
}
