// A request that crashes each replica that runs it and comes again, also after all nodes were killed.
#include <algorithm>
#include <exception>
#include <optional>
#include <set>

#include "lab.hpp"

namespace
{

using namespace lab;

constexpr unsigned nodes = 8;
constexpr int replicas = 6;
constexpr int first_port = 9100;
constexpr milliseconds restart_time{2000};
constexpr milliseconds removal_time{3600}; // three status report intervals of silence
constexpr milliseconds contact_time{4000}; // contactMs
constexpr milliseconds period{3000};       // between two sendings of the request
constexpr milliseconds first_part{45'000};
constexpr milliseconds second_part{45'000};
constexpr milliseconds down_time{600};
constexpr std::size_t allowed_retries = 3;
const std::string fatal_target = "/fatal/x";

/// a replica that ends when it runs the request, and starts again under a new id
class fragile_replica
{
  public:
    fragile_replica(record& log, store& platform, std::string ip, int port, std::string zone)
        : m_log(log), m_platform(platform), m_ip(std::move(ip)), m_port(port), m_zone(std::move(zone))
    {
        start();
        m_supervisor = std::thread{[this] { supervise(); }};
    }

    ~fragile_replica()
    {
        {
            const std::scoped_lock lock{m_mutex};
            m_is_stopping = true;
        }
        m_changed.notify_all();
        m_supervisor.join();
        m_server.reset();
    }

    /// the times at which the process crashed, and the ids of the requests that arrived
    static inline std::mutex s_mutex;
    static inline std::vector<clock::time_point> s_crashes;
    static inline std::set<std::string> s_arrived;

  private:
    void start()
    {
        ++m_starts;
        m_instance = "i-" + std::to_string(m_port) + "-" + std::to_string(m_starts);
        m_server = std::make_unique<server>(m_ip, m_port, [this](connection& caller) { handle(caller); });
        const auto born = std::chrono::duration_cast<milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
        m_platform.put("servers/" + m_instance,
                       "{\"service\":\"svc-fatal\",\"address\":\"" + m_ip + ":" + std::to_string(m_port) +
                           "\",\"zone\":\"" + m_zone +
                           "\",\"version\":\"v1\",\"capacity\":4,\"state\":\"ready\",\"warmupRemainingMs\":0,"
                           "\"sequence\":1,\"born\":" +
                           std::to_string(born) + "}");
    }

    void handle(connection& caller)
    {
        const std::string instance = m_instance;
        while (const auto asked = caller.read(milliseconds{60'000}))
        {
            const std::string id = asked->field("Request-Id");
            const std::string echo = "Request-Id: " + id + "\r\n";
            if (asked->field("Target-Instance") != instance)
            {
                caller.send("HTTP/1.1 421 Misdirected Request\r\n" + echo + "Content-Length: 0\r\n\r\n");
                continue;
            }
            if (asked->target() != fatal_target)
            {
                caller.send("HTTP/1.1 200 OK\r\n" + echo + "Server-Stamp: s." + id + "\r\nContent-Length: 2\r\n\r\nok");
                continue;
            }
            m_log.line("replica " + instance + " crashes on id=" + id);
            {
                const std::scoped_lock lock{s_mutex};
                s_crashes.push_back(clock::now());
                s_arrived.insert(id);
            }
            const std::scoped_lock lock{m_mutex};
            m_has_crashed = true;
            m_changed.notify_all();
            return;
        }
    }

    void supervise()
    {
        std::unique_lock lock{m_mutex};
        while (true)
        {
            m_changed.wait(lock, [this] { return m_is_stopping || m_has_crashed; });
            if (m_is_stopping)
            {
                return;
            }
            lock.unlock();
            const auto crashed_at = clock::now();
            const std::string ended = m_instance;
            m_server.reset();
            lock.lock();
            m_changed.wait_for(lock, restart_time, [this] { return m_is_stopping; });
            m_has_crashed = false;
            lock.unlock();
            start();
            lock.lock();
            m_changed.wait_until(lock, crashed_at + removal_time, [this] { return m_is_stopping || m_has_crashed; });
            m_platform.remove("servers/" + ended);
        }
    }

    record& m_log;
    store& m_platform;
    std::string m_ip;
    int m_port;
    std::string m_zone;
    int m_starts{0};
    std::string m_instance;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_stopping{false};
    bool m_has_crashed{false};
    std::unique_ptr<server> m_server;
    std::thread m_supervisor;
};

struct sending
{
    std::string id;
    clock::time_point at;
    bool in_touch;
};

int play(record& log)
{
    deployment system{log};
    system.configure(8, "," + route("fatal", "idempotent", "svc-fatal"), "," + service("svc-fatal"));
    std::vector<std::unique_ptr<fragile_replica>> fragile;
    for (int number = 0; number < replicas; ++number)
    {
        fragile.push_back(std::make_unique<fragile_replica>(log, system.platform(), system.net() + "2",
                                                            first_port + number, number % 2 == 0 ? "q1" : "thu-duc"));
    }
    system.start(nodes);
    std::vector<sending> sent;
    int number = 0;
    auto in_touch_from = clock::now();
    const auto send_for = [&](milliseconds length)
    {
        const auto end = clock::now() + length;
        while (clock::now() < end)
        {
            const auto& front = system.address(static_cast<unsigned>(number) % nodes);
            const std::string id = "fatal-" + std::to_string(100 + number++);
            sent.push_back({id, clock::now(), clock::now() >= in_touch_from});
            const auto caller = connection::to(front.ip, front.front);
            caller->send(request("GET", fatal_target, id, school_key));
            const auto answer = caller->read(milliseconds{5000});
            log.line("client " + id + " gets " + (answer ? std::to_string(answer->status()) : std::string{"nothing"}) +
                     (answer ? " Retry-After=" + answer->field("Retry-After") : std::string{}));
            std::this_thread::sleep_for(period);
        }
    };
    send_for(first_part);
    if (has_trouble())
    {
        system.kill_all(down_time);
        in_touch_from = clock::now() + contact_time;
        std::this_thread::sleep_for(contact_time + milliseconds{500});
    }
    send_for(second_part);
    const std::scoped_lock lock{fragile_replica::s_mutex};
    if (fragile_replica::s_crashes.size() < 3)
    {
        log.line("the request has crashed fewer than three replicas");
        return not_run;
    }
    std::sort(fragile_replica::s_crashes.begin(), fragile_replica::s_crashes.end());
    const auto counted_from = fragile_replica::s_crashes[2] + contact_time;
    std::size_t retries = 0;
    for (const sending& each : sent)
    {
        const bool counts = each.in_touch && each.at > counted_from && fragile_replica::s_arrived.count(each.id) > 0;
        retries += counts ? 1 : 0;
        if (counts)
        {
            log.line("counted: " + each.id);
        }
    }
    log.line("BUDGET: " + std::to_string(fragile_replica::s_crashes.size()) + " crashes; " + std::to_string(retries) +
             " retries have reached replicas, sent by machines in touch later than contactMs after the third crash; " +
             std::to_string(allowed_retries) + " are allowed");
    return retries > allowed_retries ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        return not_run;
    }
    record log{argv[1]};
    try
    {
        return play(log);
    }
    catch (const std::exception& error)
    {
        log.line(std::string{"couldn't run: "} + error.what());
        return not_run;
    }
}
