// Case: a replica that is cut off from the store crashes and starts again under its id, cold.
#include "lab.hpp"

#include <random>

using namespace lab;

namespace
{

constexpr int nodes_in_all = 3;
constexpr double warm_up_s = 3.0;             // warmupS of the site
constexpr int cold_rate = 5;                  // warmupPerS
constexpr double bound = cold_rate * 1.5 + 5; // warmupOverage, warmupSlack
constexpr int callers = 180;
constexpr int cut_ms = 5000; // for_s of srv_cut
constexpr int replicas_in_all = 5;
constexpr int replica_down_ms = 600;

struct arrival
{
    double m_sent{0.0};
    double m_arrived{0.0};
};

} // namespace

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record_file record{argc > 1 ? argv[1] : "record.txt"};
    const string net = free_net(8361);
    const string folder = make_folder();
    store entries{{net + ".1", 8361}};
    entries.put("op/config",
                R"({"version":7,"routes":[{"name":"r-read","hostname":"leno12.example","prefix":"/read/","type":"idempotent",)"
                R"("timeoutMs":5000,"targetLatencyMs":500,"priority":2,"service":"books","maxAttempts":2,"public":true}],)"
                R"("services":[{"name":"books","healthCheckPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false,)"
                R"("warmupS":3.0,"warmupPerS":)" + std::to_string(cold_rate) +
                R"(}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
    std::mutex mutex;
    std::map<string, std::vector<arrival>> all; // at cold replicas, by replica
    std::map<string, double> sent;   // by request
    const auto run = [&](replica& at, const std::shared_ptr<boot>& which, const message& request)
    {
        const std::scoped_lock lock{mutex};
        if (now_s() < which->m_cold_until)
        {
            all[at.name()].push_back({sent[request.field("request-id")], now_s()});
        }
        return true;
    };
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < replicas_in_all; ++i)
    {
        replicas.push_back(std::make_unique<replica>(entries, record, address{net + ".2", 9000 + i},
                                                     "b" + std::to_string(i), "books", "q1", 60, run));
        replicas.back()->set_slots(2, 8); // my-bookings of the site
    }
    std::vector<std::unique_ptr<node>> nodes;
    for (int i = 0; i < nodes_in_all; ++i)
    {
        nodes.push_back(std::make_unique<node>(
            node_settings{"front-q1-" + std::to_string(i + 1), net + "." + std::to_string(11 + i), "q1", {"q1"},
                          {net + ".11:8360", net + ".12:8360", net + ".13:8360"}, net + ".1:8361"},
            folder));
    }
    bool is_ready = true;
    for (const auto& each : nodes)
    {
        is_ready = is_ready && each->wait_until_ready(10'000);
    }
    if (!is_ready)
    {
        record.add("a node isn't ready");
        nodes.clear();
        finish(folder, 2);
    }
    sleep_ms(7000);
    record.add("%d nodes and %d warm replicas are ready", nodes_in_all, replicas_in_all);

    std::atomic<bool> is_over{false};
    std::atomic<int> asked{0};
    std::mutex status_mutex;
    std::map<int, int> statuses;
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                std::mt19937 random(static_cast<unsigned>(i));
                const int fd = connect_to(nodes[static_cast<std::size_t>(i % nodes_in_all)]->callers());
                reader input{fd};
                sleep_ms(static_cast<int>(random() % 200));
                while (!is_over && !input.is_closed())
                {
                    const string id = "r" + std::to_string(++asked);
                    {
                        const std::scoped_lock lock{mutex};
                        sent[id] = now_s();
                    }
                    send_all(fd, "GET /read/x HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: " + id +
                                     "\r\nDeadline-Ms: 3000\r\n\r\n");
                    const auto answer = input.next(3500);
                    record.add("caller: %s answered %d", id.c_str(), answer ? answer->status() : 0);
                    {
                        const std::scoped_lock lock{status_mutex};
                        ++statuses[answer ? answer->status() : 0];
                    }
                    sleep_ms(150 + static_cast<int>(random() % 100));
                }
                ::close(fd);
            });
    }
    sleep_ms(2000);
    replicas[0]->set_warm_up(warm_up_s);
    replicas[0]->wait_for_report();
    if (has_trouble())
    {
        replicas[0]->set_cut(true);
        record.add("replica b0 is cut off from the store");
    }
    sleep_ms(300);
    // without the cut the replica crashes and returns in the same way, and its reports reach the store
    replicas[0]->crash(replicas[0]->current(), replica_down_ms, true);
    sleep_ms(cut_ms - 300);
    if (has_trouble())
    {
        replicas[0]->set_cut(false);
        record.add("replica b0 reaches the store again");
    }
    sleep_ms(1000);
    is_over = true;
    for (std::thread& each : threads)
    {
        each.join();
    }
    for (const auto& [status, count] : statuses)
    {
        record.add("callers: %d answered %d", count, status);
    }
    std::size_t most = 0;
    const std::scoped_lock lock{mutex};
    for (const auto& [name, arrivals] : all)
    {
        std::size_t highest = 0;
        double from = 0.0;
        for (const arrival& first : arrivals)
        {
            const double begin = std::min(first.m_sent, first.m_arrived);
            const auto inside = [begin](const arrival& each)
            { return each.m_sent >= begin && each.m_arrived >= begin && each.m_arrived < begin + 1.0; };
            const auto count = static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), inside));
            if (count > highest)
            {
                highest = count;
                from = begin;
            }
        }
        record.add("replica %s, cold: at most %zu requests were sent and arrived in one second (from %.3f), %.1f are allowed",
                   name.c_str(), highest, from, bound);
        most = std::max(most, highest);
    }
    record.add("%s", static_cast<double>(most) > bound ? "BROKEN" : "held");
    nodes.clear();
    finish(folder, static_cast<double>(most) > bound ? 1 : 0);
}
