// all machines lose power at the same moment; those that the settings name as seeds come back some seconds later
// than the others; meanwhile the replicas of a service have started and are cold
//
// usage: cold RECORD-FILE (TROUBLE=0: the machines don't lose power, the replicas start cold all the same)
#include <algorithm>

#include "lab.hpp"

using namespace lab;

namespace
{

constexpr double others_back_s = 0.3; // from the loss of power to the start of the other machines
constexpr double seeds_back_s = 5.0;  // to the start of the seeds
constexpr double replicas_up_s = 2.0; // to the start of the replicas, which are cold then
constexpr double warmup_s = 8.0;
constexpr double warmup_per_s = 10.0;
constexpr double warmup_overage = 1.5;
constexpr double warmup_slack = 5.0;
constexpr double per_s = 150.0; // requests of all clients
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
    const std::vector<std::size_t> seeds{0, 2, 5};
    if (!fleet.create(zones, seeds))
    {
        record.say("the deployment couldn't be created");
        return 2;
    }
    fleet.platform().put(
        "op/config",
        text("{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"hostname\":\"nets.example\",\"prefix\":\"/book/\","
             "\"type\":\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":500,\"priority\":2,\"service\":"
             "\"my-bookings\",\"maxAttempts\":2,\"public\":true}],\"services\":[{\"name\":\"my-bookings\","
             "\"healthCheckPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,"
             "\"warmupS\":%.1f,\"warmupPerS\":%.1f}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}",
             warmup_s, warmup_per_s));
    std::vector<replica*> replicas;
    const std::vector<std::string> places{"q1", "thu-duc"};
    for (const std::string& place : places)
    {
        replicas.push_back(&fleet.add_replica("my-bookings", place));
        replicas.back()->m_work_s = 0.005;
        replicas.back()->m_capacity = 20;
        replicas.back()->m_warmup_s = warmup_s;
    }
    if (!fleet.start_all() || !fleet.wait_ready(15.0))
    {
        record.say("the machines don't become ready");
        fleet.end();
        return 2;
    }
    sleep_for(4.0);
    std::atomic<bool> is_over{false};
    std::thread clients(
        [&]
        {
            std::mt19937 random{7};
            double next = now();
            for (int number = 0; !is_over; ++number)
            {
                const auto usable = fleet.in_rotation();
                if (!usable.empty())
                {
                    machine& at = *usable[random() % usable.size()];
                    std::thread([&at, number] { ask(at, host, "/book/usual", "", text("usual-%d", number), 5000); })
                        .detach();
                }
                next += 1.0 / per_s;
                sleep_until(next);
            }
        });
    const double power_lost = now();
    if (has_trouble())
    {
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            fleet.at(i).kill();
        }
        sleep_until(power_lost + others_back_s);
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            if (std::find(seeds.begin(), seeds.end(), i) == seeds.end())
            {
                fleet.at(i).start();
            }
        }
    }
    sleep_until(power_lost + replicas_up_s);
    const double cold_from = now();
    for (replica* const each : replicas)
    {
        if (!each->start())
        {
            fleet.end();
            return 2;
        }
    }
    record.line("replicas %s %s started, cold for %.1f s", replicas[0]->instance().c_str(),
                replicas[1]->instance().c_str(), warmup_s);
    sleep_until(power_lost + seeds_back_s);
    if (has_trouble())
    {
        for (const std::size_t each : seeds)
        {
            fleet.at(each).start();
        }
    }
    sleep_until(cold_from + warmup_s - 0.5);
    is_over = true;
    clients.join();
    sleep_for(0.5);
    bool has_ended = false;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        has_ended = fleet.at(i).has_ended() || has_ended;
    }
    fleet.end();
    sleep_for(0.2);

    const double allowed = warmup_per_s * warmup_overage + warmup_slack;
    std::size_t worst = 0;
    for (const replica* const each : replicas)
    {
        std::vector<double> times;
        {
            const std::scoped_lock lock{arrivals_mutex};
            for (const arrival& one : arrivals)
            {
                if (one.m_replica == each->instance() && one.m_at < cold_from + warmup_s - 0.5)
                {
                    times.push_back(one.m_at);
                }
            }
        }
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        double most_at = 0.0;
        for (std::size_t i = 0, j = 0; j < times.size(); ++j)
        {
            while (times[j] - times[i] >= 1.0)
            {
                ++i;
            }
            if (j - i + 1 > most)
            {
                most = j - i + 1;
                most_at = times[i];
            }
        }
        record.say("replica %s: %zu requests while cold, at most %zu in one second (from %.3f)",
                   each->instance().c_str(), times.size(), most, most_at);
        worst = std::max(worst, most);
    }
    record.say("FAILBACK: most requests of a cold replica in one second: %zu, allowed %.0f", worst, allowed);
    if (worst == 0)
    {
        return 2;
    }
    return static_cast<double>(worst) > allowed || has_ended ? 1 : 0;
}

int main(int argc, char** argv)
{
    // threads of stand-ins may still be waiting, so nothing is destroyed
    std::_Exit(run(argc, argv));
}
