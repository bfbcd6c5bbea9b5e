// Case: another writer's entry, without `born`, stands under the id of a replica that is leaving.
#include "lab.hpp"

#include <random>

using namespace lab;

namespace
{

constexpr int nodes_in_all = 3;
constexpr double drain_s = 3.0; // drainTimeoutMs
constexpr int callers = 24;

struct arrival
{
    string m_id;
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
                R"("timeoutMs":5000,"targetLatencyMs":500,"priority":2,"service":"books","maxAttempts":2,"public":false}],)"
                R"("services":[{"name":"books","healthCheckPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false,)"
                R"("warmupS":3.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
                R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"school","apiKeys":["key-1"],"priority":1,)"
                R"("requestsPerS":500,"burstSize":500}]})");
    std::mutex mutex;
    std::vector<arrival> arrivals; // at the leaving replica
    std::map<string, double> sent; // by request
    std::atomic<double> left_at{0.0};
    const auto run = [&](replica& at, const std::shared_ptr<boot>&, const message& request)
    {
        const std::scoped_lock lock{mutex};
        if (at.name() == "b0" && left_at > 0.0)
        {
            const string id = request.field("request-id");
            arrivals.push_back({id, sent[id], now_s()});
        }
        return true;
    };
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < 3; ++i)
    {
        replicas.push_back(std::make_unique<replica>(entries, record, address{net + ".2", 9000 + i},
                                                     "b" + std::to_string(i), "books", "q1", 20, run));
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
    record.add("%d nodes and three replicas are ready", nodes_in_all);

    std::atomic<bool> is_over{false};
    std::atomic<int> asked{0};
    std::mutex status_mutex;
    std::map<int, int> statuses;
    double told_at = 0.0; // when a node first passed on an answer with Server-Leaving
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
                    const string id = "r" + std::to_string(++asked) + "-node" + std::to_string(i % nodes_in_all + 1);
                    {
                        const std::scoped_lock lock{mutex};
                        sent[id] = now_s();
                    }
                    send_all(fd, "GET /read/x HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: " + id +
                                     "\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n\r\n");
                    const auto answer = input.next(3500);
                    const bool is_told = answer && answer->field("server-leaving") == "1";
                    record.add("caller: %s answered %d%s", id.c_str(), answer ? answer->status() : 0,
                               is_told ? ", Server-Leaving" : "");
                    {
                        const std::scoped_lock lock{status_mutex};
                        ++statuses[answer ? answer->status() : 0];
                        told_at = told_at == 0.0 && is_told ? now_s() : told_at;
                    }
                    sleep_ms(100 + static_cast<int>(random() % 100));
                }
                ::close(fd);
            });
    }
    sleep_ms(2000);
    left_at = now_s();
    replicas[0]->leave();
    const double acknowledged_at = now_s();
    record.add("replica b0 is leaving; the store has accepted its report");
    sleep_ms(4500);
    if (has_trouble())
    {
        entries.put("servers/" + replicas[0]->current()->m_id,
                    "{\"service\":\"books\",\"address\":\"" + replicas[0]->where().text() +
                        "\",\"zone\":\"q1\",\"capacity\":8,\"state\":\"ready\",\"sequence\":1}");
        record.add("another writer has written the entry of b0, without born and version");
    }
    sleep_ms(4000);
    is_over = true;
    for (std::thread& each : threads)
    {
        each.join();
    }
    for (const auto& [status, count] : statuses)
    {
        record.add("callers: %d answered %d", count, status);
    }
    int late = 0;
    const std::scoped_lock lock{mutex};
    for (const arrival& each : arrivals)
    {
        if (each.m_sent > acknowledged_at + drain_s)
        {
            ++late;
            record.add("%s, sent %.3f s after the replica's report was accepted, reached it at %.3f", each.m_id.c_str(),
                       each.m_sent - acknowledged_at, each.m_arrived);
        }
    }
    record.add("requests at the leaving replica: %zu since its report; sent later than drainTimeoutMs after it: %d; first told by"
               " an answer at %.3f: %s",
               arrivals.size(), late, told_at, late > 0 ? "BROKEN" : "held");
    nodes.clear();
    finish(folder, late > 0 ? 1 : 0);
}
