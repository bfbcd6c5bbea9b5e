// all machines lose power; the three that the settings name as seeds stay dark, and an account far above its limit
// comes back more than 30 s later
//
// usage: isolated RECORD-FILE (TROUBLE=0: the machines don't lose power)
#include "lab.hpp"

using namespace lab;

namespace
{

constexpr double dark_s = 36.0; // from the loss of power to the account's requests
constexpr double hot_for_s = 12.0;
constexpr double per_s = 300.0;
constexpr double window_s = 5.0;                                // quotaWindowS
constexpr double allowed = (40.0 * 5.0 + 40.0) * 1.25 + 20.0;   // requestsPerS 40, burstSize 40
constexpr const char* host = "nets.example";

} // namespace

static int run(int argc, char** argv)
{
    if (argc != 2 || !record.open(argv[1]))
    {
        return 2;
    }
    deployment& fleet = *new deployment;
    const std::vector<std::string> zones{"a", "a", "a", "b", "b", "c", "c", "d", "d"};
    const std::set<std::size_t> seeds{0, 3, 5};
    if (!fleet.create(zones, {seeds.begin(), seeds.end()}))
    {
        return 2;
    }
    fleet.platform().put("op/config",
                         "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"hostname\":\"nets.example\",\"prefix\":\"/book/\","
                         "\"type\":\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":500,\"priority\":2,\"service\":"
                         "\"my-bookings\",\"maxAttempts\":2,\"public\":false}],\"services\":[{\"name\":\"my-bookings\","
                         "\"healthCheckPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,"
                         "\"warmupS\":3.0,\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"miny\",\"apiKeys\":"
                         "[\"key1\"],\"priority\":1,\"requestsPerS\":40,\"burstSize\":40}]}");
    const std::vector<std::string> places{"a", "b", "c", "d"};
    for (std::size_t i = 0; i < 8; ++i)
    {
        replica& each = fleet.add_replica("my-bookings", places[i % places.size()]);
        each.m_capacity = 20;
        if (!each.start())
        {
            return 2;
        }
    }
    if (!fleet.start_all() || !fleet.wait_ready(15.0))
    {
        fleet.end();
        return 2;
    }
    sleep_for(3.0);
    const double lost = now();
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        if (has_trouble())
        {
            fleet.at(i).kill();
        }
        if (!has_trouble() || seeds.count(i) == 0)
        {
            up.push_back(i);
        }
    }
    sleep_until(lost + 0.5);
    for (const std::size_t each : up)
    {
        if (has_trouble())
        {
            fleet.at(each).start();
        }
    }
    sleep_until(lost + dark_s);
    std::mt19937 random{7};
    const double first = now();
    double next = first;
    for (int number = 0; now() < first + hot_for_s; ++number)
    {
        machine& at = fleet.at(up[random() % up.size()]);
        std::thread([&at, number] { ask(at, host, "/book/usual", "key1", text("hot-%d", number), 5000); }).detach();
        next += 1.0 / per_s;
        sleep_until(next);
    }
    sleep_for(1.0);
    fleet.end();
    sleep_for(0.2);
    std::vector<double> times;
    {
        const std::scoped_lock lock{arrivals_mutex};
        for (const arrival& each : runs)
        {
            times.push_back(each.m_at);
        }
    }
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (std::size_t i = 0, j = 0; j < times.size(); ++j)
    {
        while (times[j] - times[i] >= window_s)
        {
            ++i;
        }
        most = std::max(most, j - i + 1);
    }
    record.say("QUOTA: most requests of the account that ran in %.0f s: %zu, allowed %.0f", window_s, most, allowed);
    return most == 0 ? 2 : (static_cast<double>(most) > allowed ? 1 : 0);
}

int main(int argc, char** argv)
{
    // threads of stand-ins may still be waiting, so nothing is destroyed
    std::_Exit(run(argc, argv));
}
