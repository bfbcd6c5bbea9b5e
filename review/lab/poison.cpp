// a request that crashes replicas comes again every few seconds; once, all machines are killed at the same moment
//
// usage: poison RECORD-FILE (TROUBLE=0: nothing is killed)
#include <algorithm>

#include "lab.hpp"

using namespace lab;

namespace
{

constexpr double contact_s = 4.0; // contactMs
constexpr double period_s = 8.0;  // between two arrivals of the crashing request
constexpr int times_before = 4;
constexpr int times_after = 4;
constexpr std::size_t allowed_retries = 3;
constexpr const char* host = "nets.example";
constexpr const char* poison = "/book/poison";

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
                         "\"type\":\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":500,\"priority\":2,\"service\":"
                         "\"my-bookings\",\"maxAttempts\":2,\"public\":true}],\"services\":[{\"name\":\"my-bookings\","
                         "\"healthCheckPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,"
                         "\"warmupS\":3.0,\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[]}");
    const std::vector<std::string> places{"q1", "thu-duc", "binh-thanh", "q7"};
    for (std::size_t i = 0; i < 12; ++i)
    {
        replica& each = fleet.add_replica("my-bookings", places[i % places.size()]);
        each.m_poison = poison;
        each.m_work_s = 0.02;
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
    std::atomic<bool> is_over{false};
    std::mt19937 random{7};
    // ordinary requests, so that replicas and machines are in use
    std::thread ordinary(
        [&]
        {
            int number = 0;
            while (!is_over)
            {
                const auto usable = fleet.in_rotation();
                if (!usable.empty())
                {
                    machine& at = *usable[static_cast<std::size_t>(number) % usable.size()];
                    std::thread([&at, number] { ask(at, host, "/book/usual", "", text("usual-%d", number), 5000); })
                        .detach();
                }
                ++number;
                sleep_for(0.1);
            }
        });
    std::map<std::string, bool> in_touch; // by request id: whether the machine that took it was in touch
    const double first = now();
    int number = 0;
    const auto send_poison = [&](double at)
    {
        sleep_until(at);
        const auto usable = fleet.in_rotation();
        machine& taker = usable.empty() ? fleet.at(0) : *usable[random() % usable.size()];
        const std::string id = text("poison-%d", ++number);
        in_touch[id] = taker.has_run_for(contact_s);
        ask(taker, host, poison, "", id, 5000);
    };
    for (int i = 0; i < times_before; ++i)
    {
        send_poison(first + i * period_s);
    }
    if (has_trouble())
    {
        sleep_until(first + (times_before - 1) * period_s + 2.0);
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            fleet.at(i).kill();
        }
        sleep_for(0.3);
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            fleet.at(i).start();
        }
    }
    for (int i = times_before; i < times_before + times_after; ++i)
    {
        send_poison(first + i * period_s);
    }
    sleep_for(2.0);
    is_over = true;
    ordinary.join();
    bool has_ended = false;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        has_ended = fleet.at(i).has_ended() || has_ended;
    }
    fleet.end();
    sleep_for(0.2);

    std::vector<arrival> poisoned;
    {
        const std::scoped_lock lock{arrivals_mutex};
        std::copy_if(arrivals.begin(), arrivals.end(), std::back_inserter(poisoned),
                     [](const arrival& each) { return each.m_target == poison; });
    }
    if (poisoned.size() < 3)
    {
        record.say("the request crashed only %zu replicas", poisoned.size());
        return has_ended ? 1 : 2;
    }
    const double from = poisoned[2].m_at + contact_s;
    std::size_t late = 0;
    for (const arrival& each : poisoned)
    {
        const bool counts = each.m_at > from && in_touch[each.m_request_id];
        late += counts ? 1 : 0;
        record.say("%.3f replica %s ran and crashed under %s%s", each.m_at, each.m_replica.c_str(),
                   each.m_request_id.c_str(), counts ? " (counts)" : "");
    }
    record.say("BUDGET: retries that reached replicas later than contactMs after the third crash, sent by machines in "
               "touch: %zu, allowed %zu",
               late, allowed_retries);
    return late > allowed_retries || has_ended ? 1 : 0;
}

int main(int argc, char** argv)
{
    // threads of stand-ins may still be waiting, so nothing is destroyed
    std::_Exit(run(argc, argv));
}
