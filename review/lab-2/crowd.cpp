// Many callers at once, each of which posts one request inside the limits; the head first, then the body.
#include <exception>

#include "memory.hpp"

namespace
{

using namespace lab;

constexpr unsigned nodes = 4;
constexpr unsigned visited = 2;           // machines to which the crowd connects
constexpr int callers = 1500;             // at a machine at once; maxFds is 4,100
constexpr std::size_t body_size = 262144; // maxBodyBytes
constexpr double bytes_per_second = 40e6; // for each machine, whose link has 125e6
constexpr milliseconds sending_time{2700}; // headerTimeoutMs is 3,000
constexpr milliseconds round_pause{600};
constexpr milliseconds down_time{600};
constexpr milliseconds longest{80'000};
constexpr int rounds = 4; // each begins with another quarter of the callers
constexpr int checks_every = 8; // requests
constexpr int ordinary_posts = 3; // before each crowd, one after the other

std::string head_of(const std::string& id)
{
    return "POST /read/note HTTP/1.1\r\nHost: one.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer " + school_key +
           "\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n";
}

/// requests of an ordinary caller, each on a connection of its own
void post_ordinary(const node_address& front, const std::string& prefix, visit& result)
{
    for (int i = 0; i < ordinary_posts; ++i)
    {
        const auto caller = connection::to(front.ip, front.front);
        caller->send(head_of(prefix + "ordinary-" + std::to_string(i)) + std::string(body_size, 'b'));
        const auto answer = caller->read(milliseconds{2000});
        ++(answer && answer->status() == 200 ? result.served : result.other);
    }
}

void post(record& log, deployment& system, unsigned number, visit& result, const clock::time_point end)
{
    const node_address& front = system.address(number);
    const std::string rest(body_size - 1, 'b');
    for (int round = 0; clock::now() < end && result.ends < ends_of_a_fault; ++round)
    {
        std::vector<std::unique_ptr<connection>> crowd;
        const std::string prefix = "r" + std::to_string(number) + "-" + std::to_string(round) + "-";
        post_ordinary(front, prefix, result);
        const auto begin = clock::now();
        if (has_trouble())
        {
            for (int i = 0; i < callers; ++i)
            {
                crowd.push_back(connection::to(front.ip, front.front));
                crowd.back()->send(head_of(prefix + std::to_string(i)) + "b");
            }
        }
        std::size_t sent = 0;
        int posted = 0;
        bool is_killed = false;
        const auto sending = clock::now();
        while (posted < callers && clock::now() - begin < sending_time && !is_killed)
        {
            const int i = (posted + round % rounds * callers / rounds) % callers;
            std::unique_ptr<connection> single;
            if (!has_trouble())
            {
                single = connection::to(front.ip, front.front);
                single->send(head_of(prefix + std::to_string(i)) + "b");
            }
            connection& caller = single ? *single : *crowd[static_cast<std::size_t>(i)];
            caller.send(rest);
            const auto answer = caller.read(milliseconds{1000});
            ++(answer && answer->status() == 200 ? result.served : result.other);
            ++posted;
            sent += rest.size();
            is_killed = posted % checks_every == 0 && kill_if_over(log, system, number, result);
            std::this_thread::sleep_until(sending + std::chrono::duration_cast<clock::duration>(
                                                        std::chrono::duration<double>(sent / bytes_per_second)));
        }
        log.line("node-" + std::to_string(number) + " round " + std::to_string(round) + ": " +
                 std::to_string(posted) + " requests posted, memory " +
                 std::to_string(system.at(number).memory_kb("VmRSS")) + " kB");
        if (is_killed)
        {
            result.lost += has_trouble() ? callers - posted : 0;
            system.restart(number, down_time);
        }
        crowd.clear();
        std::this_thread::sleep_for(round_pause);
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
    const auto end = clock::now() + (has_trouble() ? longest : longest / 4);
    std::vector<visit> visits(visited);
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < visited; ++number)
    {
        threads.emplace_back(
            [&, number]
            {
                try
                {
                    post(log, system, number, visits[number], end);
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
    log.line("the replicas have run " + std::to_string(system.runs().size()) + " posts");
    const unsigned faulty = report(log, visits);
    bool has_failed = false;
    int other = 0;
    for (const visit& each : visits)
    {
        has_failed = has_failed || each.failed;
        other += each.other;
    }
    if (faulty >= visited)
    {
        return broken;
    }
    return has_failed || (!has_trouble() && other > 0) ? not_run : held;
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
