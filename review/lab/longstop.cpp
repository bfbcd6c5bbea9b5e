// a machine gets SIGTERM while clients with kept connections send requests on which a replica works for some time
//
// usage: longstop RECORD-FILE (TROUBLE=0: no SIGTERM)
#include <algorithm>

#include "lab.hpp"

using namespace lab;

namespace
{

constexpr double contact_s = 4.0; // contactMs
constexpr double grace_s = 6.0;   // gracePeriodS
constexpr double work_s = 2.4;    // of a replica on one request; the route's timeoutMs is 5,000
constexpr int deadline_ms = 5000;
constexpr int clients = 60;
constexpr const char* host = "nets.example";

struct attempt
{
    std::string m_id;
    double m_sent{0.0};
    double m_ended{0.0};
    bool m_is_answered{false};
    int m_status{0};
};

std::mutex attempts_mutex;
std::vector<attempt> attempts;

/// a client that keeps its connection, idle for some seconds between two requests, and stops when it is told to
/// close; `think` are the seconds from the connection's start to the first request
void run_client(const machine& at, int number, double connect_at, double send_at)
{
    sleep_until(connect_at);
    const int fd = connect_to(at.front(), 1.0);
    if (fd < 0)
    {
        return;
    }
    std::string buffer;
    message answer;
    const auto send = [&](const std::string& id, const std::string& target)
    {
        attempt made{id, now(), 0.0, false, 0};
        record.line("client sends %s on its kept connection to %s", id.c_str(), at.m_name.c_str());
        const bool is_sent = send_all(fd, "POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id +
                                              "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                                              "\r\nContent-Length: 4\r\n\r\nslot");
        made.m_is_answered = is_sent && read_message(fd, buffer, answer, now() + deadline_ms / 1000.0);
        made.m_status = made.m_is_answered ? std::atoi(answer.second().c_str()) : 0;
        made.m_ended = now();
        record.line("client got %s for %s", made.m_is_answered ? answer.second().c_str() : "no answer", id.c_str());
        const std::scoped_lock lock{attempts_mutex};
        attempts.push_back(made);
        return made.m_is_answered && strcasecmp(answer.field("Connection").c_str(), "close") != 0;
    };
    // a short request first, so that the connection is one that was used and kept
    if (send(text("short-%d", number), "/book/short"))
    {
        sleep_until(send_at);
        send(text("long-%d", number), "/book/long");
    }
    ::close(fd);
}

} // namespace

static int run(int argc, char** argv)
{
    if (argc != 2 || !record.open(argv[1]))
    {
        return 2;
    }
    deployment& fleet = *new deployment;
    const std::vector<std::string> zones{"q1", "q1", "thu-duc", "thu-duc", "thu-duc", "binh-thanh", "binh-thanh", "q7"};
    if (!fleet.create(zones, {0, 2, 5}))
    {
        record.say("the deployment couldn't be created");
        return 2;
    }
    fleet.platform().put("op/config",
                         "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"hostname\":\"nets.example\",\"prefix\":\"/book/\","
                         "\"type\":\"non_idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":3000,\"priority\":2,\"service\":"
                         "\"my-bookings\",\"maxAttempts\":2,\"public\":true}],\"services\":[{\"name\":\"my-bookings\","
                         "\"healthCheckPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,"
                         "\"warmupS\":3.0,\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}");
    std::vector<replica*> replicas;
    const std::vector<std::string> places{"q1", "thu-duc", "binh-thanh", "q7"};
    for (std::size_t i = 0; i < 12; ++i)
    {
        replicas.push_back(&fleet.add_replica("my-bookings", places[i % places.size()]));
        replicas.back()->m_capacity = 10;
        replicas.back()->m_slow_target = "/book/long";
        replicas.back()->m_slow_work_s = work_s;
        if (!replicas.back()->start())
        {
            return 2;
        }
    }
    if (!fleet.start_all() || !fleet.wait_ready(15.0))
    {
        record.say("the machines don't become ready");
        fleet.end();
        return 2;
    }
    sleep_for(contact_s + 1.0);
    machine& stopped = fleet.at(3);
    const double term_at = now() + 3.0;
    // each client's connection is idle for some seconds, far less than four fifths of idleTimeoutMs
    std::vector<std::thread> running;
    for (int i = 0; i < clients; ++i)
    {
        running.emplace_back(run_client, std::cref(stopped), i, term_at - 2.5 + 0.02 * i, term_at - 1.0 + 0.08 * i);
    }
    sleep_until(term_at);
    if (has_trouble())
    {
        stopped.terminate();
    }
    sleep_until(term_at + grace_s);
    if (has_trouble())
    {
        stopped.kill(); // the platform's SIGKILL, if it hasn't ended
    }
    for (std::thread& each : running)
    {
        each.join();
    }
    fleet.end();
    sleep_for(0.2);

    std::map<std::string, double> passed_on;
    {
        const std::scoped_lock lock{arrivals_mutex};
        for (const arrival& each : arrivals)
        {
            passed_on.emplace(each.m_request_id, each.m_at);
        }
    }
    std::size_t lost = 0;
    std::size_t answered = 0;
    std::size_t excused = 0;
    std::size_t crossed = 0;
    for (const attempt& each : attempts)
    {
        if (each.m_is_answered)
        {
            ++answered;
            continue;
        }
        const auto reached = passed_on.find(each.m_id);
        if (reached == passed_on.end())
        {
            ++crossed; // it crossed the close and wasn't passed on
            continue;
        }
        const bool is_early = each.m_sent <= term_at + 3.0;
        const bool was_at_work = reached->second + work_s >= term_at + grace_s * 5.0 / 6.0;
        const bool is_excused = is_early && was_at_work;
        (is_excused ? excused : lost) += 1;
        record.say("%s: sent %.3f s after SIGTERM, passed on at %.3f s, its connection ended without an answer at "
                   "%.3f s%s",
                   each.m_id.c_str(), each.m_sent - term_at, reached->second - term_at, each.m_ended - term_at,
                   is_excused ? " (excused: sent by 3 s, replica at work in the last sixth)" : " (LOST)");
    }
    record.say("LOST: %zu answered, %zu crossed the close, %zu excused, %zu lost, allowed 0", answered, crossed, excused,
               lost);
    if (answered < 10)
    {
        return 2;
    }
    return lost > 0 ? 1 : 0;
}

int main(int argc, char** argv)
{
    // threads of stand-ins may still be waiting, so nothing is destroyed
    std::_Exit(run(argc, argv));
}
