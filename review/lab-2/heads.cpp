// Many callers at once, each of which sends one request whose head has many short fields, inside maxHeaderBytes.
#include <exception>

#include "memory.hpp"

namespace
{

using namespace lab;

constexpr unsigned nodes = 4;
constexpr unsigned visited = 2;            // machines to which the crowd connects
constexpr int callers = 1200;              // at a machine at once; maxFds is 4,100
constexpr std::size_t head_size = 16'300;  // maxHeaderBytes is 16,384
constexpr double bytes_per_second = 40e6;  // for each machine, whose link has 125e6
constexpr milliseconds body_delay{1000};   // headerTimeoutMs is 3,000
constexpr milliseconds round_pause{600};
constexpr milliseconds down_time{600};
constexpr milliseconds longest{60'000};
constexpr milliseconds calm_time{20'000};
constexpr milliseconds calm_pause{5};
constexpr milliseconds check_interval{50};
constexpr int checks_every = 64; // heads
const std::string body = "0123456789";

std::string head_of(const std::string& id)
{
    std::string head = "POST /read/note HTTP/1.1\r\nHost: one.example\r\nRequest-Id: " + id +
                       "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer " + school_key +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string field = "a:b\r\n";
    while (head.size() + field.size() + 2 <= head_size)
    {
        head += field;
    }
    return head + "\r\n";
}

void count_answer(connection& caller, visit& result, milliseconds timeout)
{
    const auto answer = caller.read(timeout);
    ++(answer && answer->status() == 200 ? result.served : result.other);
}

/// one crowd: all heads, then all bodies; returns whether the platform has killed the process
bool visit_once(record& log, deployment& system, unsigned number, const std::string& prefix, visit& result)
{
    const node_address& front = system.address(number);
    std::vector<std::unique_ptr<connection>> crowd;
    const auto begin = clock::now();
    std::size_t sent = 0;
    for (int i = 0; i < callers; ++i)
    {
        crowd.push_back(connection::to(front.ip, front.front));
        const std::string head = head_of(prefix + std::to_string(i));
        crowd.back()->send(head);
        sent += head.size();
        if (i % checks_every == 0 && kill_if_over(log, system, number, result))
        {
            result.lost += i;
            return true;
        }
        std::this_thread::sleep_until(begin + std::chrono::duration_cast<clock::duration>(
                                                  std::chrono::duration<double>(sent / bytes_per_second)));
    }
    while (clock::now() - begin < body_delay)
    {
        if (kill_if_over(log, system, number, result))
        {
            result.lost += callers;
            return true;
        }
        std::this_thread::sleep_for(check_interval);
    }
    for (const auto& each : crowd)
    {
        each->send(body);
    }
    for (const auto& each : crowd)
    {
        count_answer(*each, result, milliseconds{500});
    }
    return kill_if_over(log, system, number, result);
}

void visit_often(record& log, deployment& system, unsigned number, visit& result)
{
    const auto end = clock::now() + longest;
    for (int round = 0; clock::now() < end && result.ends < ends_of_a_fault; ++round)
    {
        const std::string prefix = "r" + std::to_string(number) + "-" + std::to_string(round) + "-";
        const bool is_killed = visit_once(log, system, number, prefix, result);
        log.line("node-" + std::to_string(number) + " round " + std::to_string(round) + ": memory " +
                 std::to_string(system.at(number).memory_kb("VmRSS")) + " kB");
        if (is_killed)
        {
            system.restart(number, down_time);
        }
        std::this_thread::sleep_for(round_pause);
    }
}

/// the same requests one after the other
void visit_calmly(record& log, deployment& system, unsigned number, visit& result)
{
    const node_address& front = system.address(number);
    const auto end = clock::now() + calm_time;
    for (int i = 0; clock::now() < end; ++i)
    {
        const auto caller = connection::to(front.ip, front.front);
        caller->send(head_of("c" + std::to_string(number) + "-" + std::to_string(i)));
        caller->send(body);
        count_answer(*caller, result, milliseconds{2000});
        (void)kill_if_over(log, system, number, result);
        std::this_thread::sleep_for(calm_pause);
    }
}

int play(record& log)
{
    if (!raise_file_limit())
    {
        log.line("too few file descriptors for the crowd");
        return not_run;
    }
    deployment system{log, milliseconds{1}, false};
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
                    has_trouble() ? visit_often(log, system, number, visits[number])
                                  : visit_calmly(log, system, number, visits[number]);
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
    log.line("the replicas have run " + std::to_string(system.runs().size()) + " requests");
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
