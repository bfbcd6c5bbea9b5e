// replicas turn requests away while they are full; some of their answers are followed by a second, late one
//
// usage: extra RECORD-FILE (TROUBLE=0: no second answers)
#include <cmath>

#include "lab.hpp"

using namespace lab;

namespace
{

constexpr double contact_s = 4.0;
constexpr double span_s = 60.0;
constexpr double trouble_for_s = 5.0;   // `for_s` of the site's garble (extra late)
constexpr double trouble_pause_s = 3.0; // between two of them
constexpr double per_s = 260.0;
constexpr double extra_fraction = 0.03; // `x` of the site's garble (extra late), on a share of 0.6 of the replicas
constexpr const char* host = "nets.example";

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
                         "\"type\":\"non_idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":500,\"priority\":2,\"service\":"
                         "\"my-bookings\",\"maxAttempts\":2,\"public\":true}],\"services\":[{\"name\":\"my-bookings\","
                         "\"healthCheckPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,"
                         "\"warmupS\":3.0,\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}");
    const std::vector<std::string> places{"q1", "thu-duc", "binh-thanh", "q7"};
    constexpr std::size_t replicas = 10;
    std::vector<replica*> all;
    for (std::size_t i = 0; i < replicas; ++i)
    {
        replica& each = fleet.add_replica("my-bookings", places[i % places.size()]);
        each.m_capacity = 2;
        each.m_queue = 8;
        each.m_work_s = 0.08;
        all.push_back(&each);
        if (!each.start())
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
    sleep_for(contact_s);
    std::mt19937 random{7};
    std::mutex mutex;
    std::map<std::string, int> statuses;
    std::atomic<int> running{0};
    const double first = now();
    double next = first;
    for (int number = 0; now() < first + span_s; ++number)
    {
        const double in_period = std::fmod(now() - first, trouble_for_s + trouble_pause_s);
        const bool is_garbling = has_trouble() && in_period < trouble_for_s;
        for (std::size_t i = 0; i < replicas * 6 / 10; ++i)
        {
            all[i]->m_extra_fraction = is_garbling ? extra_fraction : 0.0;
        }
        const auto usable = fleet.in_rotation();
        if (!usable.empty() && running < 400)
        {
            machine& at = *usable[random() % usable.size()];
            ++running;
            std::thread(
                [&, number]
                {
                    const std::string id = text("book-%d", number);
                    const int status = ask(at, host, "/book/net", "", id, 5000, "POST", "slot");
                    const std::scoped_lock lock{mutex};
                    statuses[id] = status;
                    --running;
                })
                .detach();
        }
        next += 1.0 / per_s;
        sleep_until(next);
    }
    while (running > 0)
    {
        sleep_for(0.05);
    }
    sleep_for(1.0);
    bool has_ended = false;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        has_ended = fleet.at(i).has_ended() || has_ended;
    }
    fleet.end();
    sleep_for(0.2);

    const std::scoped_lock lock{arrivals_mutex, mutex};
    std::map<std::string, std::vector<arrival>> by_id;
    for (const arrival& each : runs)
    {
        by_id[each.m_request_id].push_back(each);
    }
    std::map<int, int> counts;
    for (const auto& [id, status] : statuses)
    {
        ++counts[status];
    }
    std::string summary;
    for (const auto& [status, count] : counts)
    {
        summary += text(" %d: %d", status, count);
    }
    std::size_t twice = 0;
    std::size_t refused = 0;
    for (const auto& [id, places_run] : by_id)
    {
        const int status = statuses[id];
        const bool is_refused = status == 429 || status == 503 || status == 408 || status == 421;
        if (places_run.size() > 1)
        {
            ++twice;
            record.say("TWICE: %s ran at %s (%.3f) and at %s (%.3f); the client got %d", id.c_str(),
                       places_run[0].m_replica.c_str(), places_run[0].m_at, places_run[1].m_replica.c_str(),
                       places_run[1].m_at, status);
        }
        if (is_refused)
        {
            ++refused;
            record.say("REFUSED: %s ran at %s (%.3f), and the client got %d", id.c_str(), places_run[0].m_replica.c_str(),
                       places_run[0].m_at, status);
        }
    }
    record.say("%zu requests; answers:%s", statuses.size(), summary.c_str());
    record.say("TWICE: %zu requests that aren't idempotent ran more than once, allowed 0; REFUSED: %zu ran though they "
               "were refused, allowed 0",
               twice, refused);
    if (counts[200] < 100)
    {
        return 2;
    }
    return twice + refused > 0 || has_ended ? 1 : 0;
}

int main(int argc, char** argv)
{
    // threads of stand-ins may still be waiting, so nothing is destroyed
    std::_Exit(run(argc, argv));
}
