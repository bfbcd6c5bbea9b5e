// Case: several nodes get SIGTERM together while replicas are cold.
#include "lab.hpp"

#include <random>

using namespace lab;

namespace
{

constexpr int nodes_in_all = 4;
constexpr int stopped_nodes = 3;
constexpr int gap_ms = 1000; // gap_s of roll_term, one node at a time
constexpr double warm_up_s = 6.0;
constexpr int cold_rate = 80;            // warmupPerS
constexpr double bound = cold_rate * 1.5 + 5; // warmupOverage, warmupSlack
constexpr int callers = 300;

struct arrival
{
    double m_sent{0.0};
    double m_arrived{0.0};
    string m_id;
};

/// sends new connections to nodes whose readiness check hasn't failed twice in a row, as the platform does
class balancer
{
  public:
    explicit balancer(std::vector<string> ips) : m_ips(std::move(ips)), m_misses(m_ips.size())
    {
        for (std::size_t i = 0; i < m_ips.size(); ++i)
        {
            std::thread{[this, i]
                        {
                            for (int check = 0;; ++check)
                            {
                                std::this_thread::sleep_until(m_began + check * std::chrono::seconds{1});
                                const int fd = connect_to({m_ips[i], 8364});
                                bool is_ready = false;
                                if (fd >= 0)
                                {
                                    send_all(fd, "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                                    const auto answer = reader{fd}.next(900);
                                    is_ready = answer && answer->status() == 200;
                                    ::close(fd);
                                }
                                m_misses[i] = is_ready ? 0 : m_misses[i] + 1;
                            }
                        }}
                .detach();
        }
    }

    /// waits until a moment after the next round of checks
    void wait_for_check(milliseconds after) const
    {
        const auto passed = std::chrono::steady_clock::now() - m_began;
        const auto rounds = std::chrono::duration_cast<std::chrono::seconds>(passed);
        std::this_thread::sleep_until(m_began + rounds + std::chrono::seconds{1} + after);
    }

    [[nodiscard]] std::size_t choose(std::mt19937& random)
    {
        std::vector<std::size_t> usable;
        for (std::size_t i = 0; i < m_ips.size(); ++i)
        {
            if (m_misses[i] < 2)
            {
                usable.push_back(i);
            }
        }
        return usable.empty() ? random() % m_ips.size() : usable[random() % usable.size()];
    }

  private:
    std::vector<string> m_ips;
    std::vector<std::atomic<int>> m_misses;
    std::chrono::steady_clock::time_point m_began{std::chrono::steady_clock::now()};
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
                R"("warmupS":6.0,"warmupPerS":)" + std::to_string(cold_rate) +
                R"(}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");

    std::vector<string> ips;
    std::vector<string> seeds;
    for (int i = 0; i < nodes_in_all; ++i)
    {
        ips.push_back(net + "." + std::to_string(11 + i));
        if (i < 3)
        {
            seeds.push_back(ips.back() + ":8360");
        }
    }
    std::vector<std::unique_ptr<node>> nodes;
    for (int i = 0; i < nodes_in_all; ++i)
    {
        nodes.push_back(std::make_unique<node>(node_settings{"front-q1-" + std::to_string(i + 1), ips[static_cast<std::size_t>(i)],
                                                             "q1", {"q1"}, seeds, net + ".1:8361"},
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
    balancer entry{ips};
    sleep_ms(8000);

    std::mutex mutex;
    std::map<string, std::vector<arrival>> arrivals; // by replica
    std::map<string, double> sent;                   // by request
    const auto run = [&](replica& at, const std::shared_ptr<boot>& which, const message& request)
    {
        const std::scoped_lock lock{mutex};
        const string id = request.field("request-id");
        if (now_s() < which->m_cold_until)
        {
            arrivals[at.name()].push_back({sent[id], now_s(), id});
        }
        return true;
    };
    // the replicas come back together, cold
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < 2; ++i)
    {
        replicas.push_back(std::make_unique<replica>(entries, record, address{net + ".2", 9000 + i},
                                                     "b" + std::to_string(i), "books", "q1", 10, run, warm_up_s));
    }
    record.add("%d nodes are ready; two replicas start, cold for %.0f s", nodes_in_all, warm_up_s);
    sleep_ms(500);

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
                int fd = -1;
                std::unique_ptr<reader> input;
                sleep_ms(static_cast<int>(random() % 200));
                while (!is_over)
                {
                    if (fd < 0)
                    {
                        fd = connect_to({ips[entry.choose(random)], 8363});
                        if (fd < 0)
                        {
                            sleep_ms(50);
                            continue;
                        }
                        input = std::make_unique<reader>(fd);
                    }
                    const string id = "r" + std::to_string(++asked);
                    {
                        const std::scoped_lock lock{mutex};
                        sent[id] = now_s();
                    }
                    send_all(fd, "GET /read/x HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: " + id +
                                     "\r\nDeadline-Ms: 3000\r\n\r\n");
                    const auto answer = input->next(3500);
                    {
                        const std::scoped_lock lock{status_mutex};
                        ++statuses[answer ? answer->status() : 0];
                    }
                    record.add("caller: %s answered %d", id.c_str(), answer ? answer->status() : 0);
                    if (!answer || answer->field("connection") == "close")
                    {
                        ::close(fd);
                        fd = -1;
                    }
                    sleep_ms(150 + static_cast<int>(random() % 100));
                }
                if (fd >= 0)
                {
                    ::close(fd);
                }
            });
    }
    sleep_ms(700);
    if (has_trouble())
    {
        entry.wait_for_check(milliseconds{150});
        for (int i = 0; i < stopped_nodes; ++i)
        {
            ::kill(nodes[static_cast<std::size_t>(i)]->process(), SIGTERM);
            record.add("SIGTERM for node %d of %d", i + 1, nodes_in_all);
            sleep_ms(gap_ms);
        }
    }
    sleep_ms(2000);
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
    for (auto& [name, list] : arrivals)
    {
        std::size_t highest = 0;
        double from = 0.0;
        for (const arrival& first : list)
        {
            const double begin = std::min(first.m_sent, first.m_arrived);
            const auto inside = [begin](const arrival& each)
            { return each.m_sent >= begin && each.m_arrived >= begin && each.m_arrived < begin + 1.0; };
            const auto count = static_cast<std::size_t>(std::count_if(list.begin(), list.end(), inside));
            if (count > highest)
            {
                highest = count;
                from = begin;
            }
        }
        record.add("replica %s, cold: at most %zu requests were sent and arrived in one second (from %.3f), %.0f are allowed",
                   name.c_str(), highest, from, bound);
        most = std::max(most, highest);
    }
    record.add("%s", static_cast<double>(most) > bound ? "BROKEN" : "held");
    nodes.clear();
    finish(folder, arrivals.empty() ? 2 : (static_cast<double>(most) > bound ? 1 : 0));
}
