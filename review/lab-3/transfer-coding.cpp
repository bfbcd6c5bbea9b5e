// Case: callers whose requests name a transfer coding that isn't chunked.
#include "lab.hpp"

using namespace lab;

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record_file record{argc > 1 ? argv[1] : "record.txt"};
    const string net = free_net(8361);
    const string folder = make_folder();
    store entries{{net + ".1", 8361}};
    entries.put("op/config",
                R"({"version":7,"routes":[{"name":"r-book","hostname":"leno12.example","prefix":"/book/","type":"non_idempotent",)"
                R"("timeoutMs":2000,"targetLatencyMs":500,"priority":2,"service":"books","maxAttempts":2,"public":false}],)"
                R"("services":[{"name":"books","healthCheckPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false,)"
                R"("warmupS":3.0,"warmupPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
                R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"school","apiKeys":["key-1"],"priority":1,)"
                R"("requestsPerS":500,"burstSize":500}]})");
    std::mutex mutex;
    std::vector<message> runs;
    const auto run = [&](replica&, const std::shared_ptr<boot>&, const message& request)
    {
        const std::scoped_lock lock{mutex};
        runs.push_back(request);
        return true;
    };
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 0; i < 3; ++i)
    {
        replicas.push_back(std::make_unique<replica>(entries, record, address{net + ".2", 9000 + i},
                                                     "b" + std::to_string(i), "books", "q1", 10, run));
    }
    auto tested = std::make_unique<node>(
        node_settings{"front-q1-1", net + ".11", "q1", {"q1"}, {net + ".11:8360"}, net + ".1:8361"}, folder);
    if (!tested->wait_until_ready(10'000))
    {
        record.add("the node isn't ready");
        tested.reset();
        finish(folder, 2);
    }
    sleep_ms(2000);
    const auto head = [](const string& id)
    {
        return "POST /book/x HTTP/1.1\r\nHost: leno12.example\r\nRequest-Id: " + id +
               "\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n";
    };
    const string booking = "net 7, Saturday 10:00, 12 children";
    const string hidden = head("hidden") + "Content-Length: 0\r\n\r\n";
    const std::vector<string> codings{"gzip", "identity", "chunked, gzip", "xchunked"};
    std::map<string, string> sent; // body by request id
    int number = 0;
    for (const string& coding : codings)
    {
        for (const string& body : {booking, hidden})
        {
            const string id = "outer-" + std::to_string(++number);
            sent[id] = body;
            const string framing = has_trouble() ? "Transfer-Encoding: " + coding
                                                 : "Content-Length: " + std::to_string(body.size());
            record.add("caller: sends %s with %s and the body \"%.34s...\" (%zu bytes)", id.c_str(), framing.c_str(),
                       body.c_str(), body.size());
            const int fd = connect_to(tested->callers());
            send_all(fd, head(id) + framing + "\r\n\r\n" + body);
            reader input{fd};
            while (const auto answer = input.next(500))
            {
                record.add("caller: %s on its connection: %s, Request-Id %s, Server-Stamp %s", id.c_str(),
                           answer->m_first_line.c_str(), answer->field("request-id").c_str(),
                           answer->field("server-stamp").c_str());
            }
            ::close(fd);
        }
    }
    const bool has_ended = tested->has_ended();
    int unsent = 0;
    int changed = 0;
    const std::scoped_lock lock{mutex};
    for (const message& each : runs)
    {
        const string id = each.field("request-id");
        const auto known = sent.find(id);
        if (known == sent.end())
        {
            ++unsent;
            record.add("a replica ran %s, which no caller sent as a request", id.c_str());
        }
        else if (known->second != each.m_body)
        {
            ++changed;
            record.add("a replica ran %s with a body of %zu bytes; %zu were sent", id.c_str(), each.m_body.size(),
                       known->second.size());
        }
    }
    const bool is_broken = unsent > 0 || changed > 0;
    record.add("requests run: %zu, not sent as a request: %d, with another body: %d: %s", runs.size(), unsent, changed,
               is_broken ? "BROKEN" : "held");
    tested.reset();
    finish(folder, has_ended ? 2 : (is_broken ? 1 : 0));
}
