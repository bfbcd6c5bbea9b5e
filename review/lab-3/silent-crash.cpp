// Case: a request under which each replica that runs it falls silent, sent again by its caller at any node.
#include "lab.hpp"

using namespace lab;

namespace
{

constexpr double contact_s = 4.0; // contactMs
constexpr int back_after_ms = 4500; // for_s of srv_crash
constexpr std::size_t allowed_retries = 3;
constexpr double duration_s = 60.0;

} // namespace

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record_file record{argc > 1 ? argv[1] : "record.txt"};
    const bool is_silent_crash = argc < 3 || string{argv[2]} == "silent";
    const string net = free_net(8361);
    const string folder = make_folder();
    store entries{{net + ".1", 8361}};
    entries.put("op/config",
                R"({"version":7,"routes":[{"name":"r-read","hostname":"leno12.example","prefix":"/read/","type":"idempotent",)"
                R"("timeoutMs":2000,"targetLatencyMs":500,"priority":2,"service":"books","maxAttempts":2,"public":false}],)"
                R"("services":[{"name":"books","healthCheckPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false,)"
                R"("warmupS":3.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
                R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"school","apiKeys":["key-1"],"priority":1,)"
                R"("requestsPerS":500,"burstSize":500}]})");

    std::mutex mutex;
    std::vector<double> crashes;   // one for each replica that the request has crashed
    std::vector<double> arrivals;  // of the request at replicas
    const bool has_poison = has_trouble();
    const auto run = [&](replica& at, const std::shared_ptr<boot>& which, const message& request)
    {
        if (!request.m_first_line.starts_with("GET /read/poison "))
        {
            return true;
        }
        {
            const std::scoped_lock lock{mutex};
            arrivals.push_back(now_s());
            if (has_poison)
            {
                crashes.push_back(now_s());
            }
        }
        if (has_poison)
        {
            is_silent_crash ? at.crash_silently(which, back_after_ms) : at.crash(which, back_after_ms);
        }
        return true;
    };
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < 12; ++i)
    {
        replicas.push_back(std::make_unique<replica>(entries, record, address{net + ".2", 9000 + i},
                                                     "b" + std::to_string(i), "books", "q1", 20, run));
    }
    std::vector<std::unique_ptr<node>> nodes;
    for (int i = 0; i < 3; ++i)
    {
        const string ip = net + "." + std::to_string(11 + i);
        nodes.push_back(std::make_unique<node>(
            node_settings{"front-q1-" + std::to_string(i + 1), ip, "q1", {"q1"},
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
    sleep_ms(5000);
    record.add("the nodes are ready");

    std::atomic<bool> is_over{false};
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
    const auto get = [&](std::size_t at, const string& target, const string& id)
    {
        return call(nodes[at]->callers(),
                    "GET " + target + " HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: " + id +
                        "\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n\r\n",
                    2500);
    };
    std::thread ordinary{[&]
                         {
                             while (!is_over)
                             {
                                 const int number = ++asked;
                                 const string id = "ordinary-" + std::to_string(number);
                                 const auto answer = get(static_cast<std::size_t>(number) % 3, "/read/" + id, id);
                                 served += answer && answer->status() == 200 ? 1 : 0;
                                 record.add("caller: %s at node %d answered %d", id.c_str(), number % 3 + 1,
                                            answer ? answer->status() : 0);
                                 sleep_ms(100);
                             }
                         }};
    const double until = now_s() + duration_s;
    for (int number = 1; now_s() < until; ++number)
    {
        const string id = "poison-" + std::to_string(number);
        const std::size_t at = static_cast<std::size_t>(number) % 3;
        record.add("caller: sends %s (GET /read/poison) to node %zu", id.c_str(), at + 1);
        const auto answer = get(at, "/read/poison", id);
        record.add("caller: %s answered %d, Retry-After %s", id.c_str(), answer ? answer->status() : 0,
                   answer ? answer->field("retry-after").c_str() : "");
        const double wait = answer ? std::atof(answer->field("retry-after").c_str()) : 0.0;
        sleep_ms(static_cast<int>(1000 * std::clamp(wait, 1.0, std::max(1.0, until - now_s()))));
    }
    is_over = true;
    ordinary.join();
    bool has_ended = false;
    for (const auto& each : nodes)
    {
        has_ended = each->has_ended() || has_ended;
    }
    std::size_t late = 0;
    std::size_t crashed = 0;
    {
        const std::scoped_lock lock{mutex};
        crashed = crashes.size();
        for (const double each : arrivals)
        {
            late += crashes.size() >= 3 && each > crashes[2] + contact_s ? 1 : 0;
        }
    }
    const bool is_broken = late > allowed_retries;
    record.add("ordinary requests: %d, served %d", asked.load(), served.load());
    record.add("the request has crashed %zu replicas; later than contactMs after the third crash it reached replicas %zu times,"
               " %zu are allowed: %s",
               crashed, late, allowed_retries, is_broken ? "BROKEN" : "held");
    nodes.clear();
    finish(folder, has_ended ? 2 : (is_broken ? 1 : 0));
}
