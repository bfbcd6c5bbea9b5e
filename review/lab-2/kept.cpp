// Callers that get a long answer each, read it whole and keep their connections open.
#include <exception>

#include "memory.hpp"

namespace
{

using namespace lab;

constexpr unsigned nodes = 4;
constexpr unsigned visited = 2;              // machines to which the callers connect
constexpr int callers = 360;                 // at a machine, one after the other
constexpr std::size_t answer_size = 1'000'000;
constexpr double bytes_per_second = 50e6;    // for each machine, whose link has 125e6
constexpr milliseconds down_time{600};
constexpr milliseconds longest{80'000};
constexpr milliseconds calm_time{25'000};
constexpr milliseconds round_pause{500};
constexpr int checks_every = 4; // callers
constexpr int replicas = 4;
constexpr int first_port = 9100;

/// a replica whose answers are long
class long_replica
{
  public:
    long_replica(store& platform, const std::string& ip, int port, const std::string& zone)
        : m_instance("i-long-" + std::to_string(port)),
          m_server(ip, port, [this](connection& caller) { handle(caller); })
    {
        platform.put("servers/" + m_instance,
                     "{\"service\":\"svc-long\",\"address\":\"" + ip + ":" + std::to_string(port) + "\",\"zone\":\"" +
                         zone +
                         "\",\"version\":\"v1\",\"capacity\":4,\"state\":\"ready\",\"warmupRemainingMs\":0,"
                         "\"sequence\":1,\"born\":1}");
    }

  private:
    void handle(connection& caller) const
    {
        const std::string body(answer_size, 'r');
        while (const auto asked = caller.read(milliseconds{60'000}))
        {
            const std::string id = asked->field("Request-Id");
            if (!caller.send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: stamp." + m_instance + "." + id +
                             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
            {
                return;
            }
        }
    }

    std::string m_instance;
    server m_server;
};

/// each caller gets its answer; returns whether the platform has killed the process
bool visit_once(record& log, deployment& system, unsigned number, const std::string& prefix, visit& result)
{
    const node_address& front = system.address(number);
    std::vector<std::unique_ptr<connection>> kept;
    const auto begin = clock::now();
    for (int i = 0; i < callers; ++i)
    {
        auto caller = connection::to(front.ip, front.front);
        caller->send(request("GET", "/long/report", prefix + std::to_string(i), school_key));
        const auto answer = caller->read(milliseconds{4000});
        const bool is_whole = answer && answer->status() == 200 && answer->body.size() == answer_size;
        ++(is_whole ? result.served : result.other);
        if (has_trouble())
        {
            kept.push_back(std::move(caller));
        }
        if (i % checks_every == 0 && kill_if_over(log, system, number, result))
        {
            return true;
        }
        std::this_thread::sleep_until(begin + std::chrono::duration_cast<clock::duration>(
                                                  std::chrono::duration<double>(
                                                      static_cast<double>(i + 1) * answer_size / bytes_per_second)));
    }
    return kill_if_over(log, system, number, result);
}

void visit_often(record& log, deployment& system, unsigned number, visit& result)
{
    const auto end = clock::now() + (has_trouble() ? longest : calm_time);
    for (int round = 0; clock::now() < end && result.ends < ends_of_a_fault; ++round)
    {
        const std::string prefix = "r" + std::to_string(number) + "-" + std::to_string(round) + "-";
        const bool is_killed = visit_once(log, system, number, prefix, result);
        log.line("node-" + std::to_string(number) + " round " + std::to_string(round) + ": memory " +
                 std::to_string(system.at(number).memory_kb("VmRSS")) + " kB, " + std::to_string(result.served) +
                 " answers so far");
        if (is_killed)
        {
            system.restart(number, down_time);
        }
        std::this_thread::sleep_for(round_pause);
    }
}

int play(record& log)
{
    if (!raise_file_limit())
    {
        log.line("too few file descriptors");
        return not_run;
    }
    deployment system{log, milliseconds{1}, false};
    system.configure(8, "," + route("long", "idempotent", "svc-long"), "," + service("svc-long"));
    std::vector<std::unique_ptr<long_replica>> long_replicas;
    for (int number = 0; number < replicas; ++number)
    {
        long_replicas.push_back(std::make_unique<long_replica>(system.platform(), system.net() + "2",
                                                               first_port + number, number % 2 == 0 ? "q1" : "thu-duc"));
    }
    system.start(nodes);
    std::vector<visit> visits(visited);
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < visited; ++number)
    {
        threads.emplace_back(
            [&, number]
            {
                try
                {
                    visit_often(log, system, number, visits[number]);
                }
                catch (const std::exception& error)
                {
                    log.line(std::string{"stopped: "} + error.what());
                    visits[number].failed = true;
                }
            });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    if (report(log, visits) >= visited)
    {
        return broken;
    }
    bool is_sound = true;
    for (const visit& each : visits)
    {
        is_sound = is_sound && !each.failed && (has_trouble() || (each.other == 0 && each.served > 0));
    }
    return is_sound ? held : not_run;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        return not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
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
