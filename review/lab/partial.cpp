// a request crashes each replica that runs it, after the replica has sent the first bytes of its answer
//
// usage: partial RECORD-FILE (TROUBLE=0: the same request is run and answered like any other)
#include "lab.hpp"

using namespace lab;

namespace
{

constexpr double contact_s = 4.0; // contactMs
constexpr double period_s = 2.0;  // between two arrivals of the crashing request
constexpr int times = 20;
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
        each.m_poison = has_trouble() ? poison : "";
        each.m_crashes_in_answer = true;
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
    sleep_for(contact_s + 1.0); // all machines are in touch from here on
    std::mt19937 random{7};
    const double first = now();
    int answered = 0;
    for (int i = 0; i < times; ++i)
    {
        sleep_until(first + i * period_s);
        const auto usable = fleet.in_rotation();
        machine& taker = usable.empty() ? fleet.at(0) : *usable[random() % usable.size()];
        const int status = ask(taker, host, poison, "", text("poison-%d", i + 1), 5000);
        answered += status == 200 ? 1 : 0;
    }
    sleep_for(1.0);
    bool has_ended = false;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        has_ended = fleet.at(i).has_ended() || has_ended;
    }
    fleet.end();
    sleep_for(0.2);
    if (!has_trouble())
    {
        record.say("without the disruption: %d of %d answered", answered, times);
        return answered == times && !has_ended ? 0 : 1;
    }
    std::vector<arrival> poisoned;
    {
        const std::scoped_lock lock{arrivals_mutex};
        poisoned = arrivals;
    }
    if (poisoned.size() < 3)
    {
        record.say("the request crashed only %zu replicas", poisoned.size());
        return 2;
    }
    const double from = poisoned[2].m_at + contact_s;
    std::size_t late = 0;
    for (const arrival& each : poisoned)
    {
        late += each.m_at > from ? 1 : 0;
        record.say("%.3f replica %s ran and crashed under %s%s", each.m_at, each.m_replica.c_str(),
                   each.m_request_id.c_str(), each.m_at > from ? " (counts)" : "");
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
