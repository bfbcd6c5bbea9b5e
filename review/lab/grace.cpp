// the store turns the reading machine of a zone away for a moment, again and again; meanwhile replicas leave without
// saying so: their entries are removed, and they go on serving for some seconds
//
// usage: grace RECORD-FILE (TROUBLE=0: the store rejects nothing)
#include "lab.hpp"

using namespace lab;

namespace
{

constexpr double contact_s = 4.0;
constexpr double drain_s = 3.0;      // drainTimeoutMs
constexpr double serves_on_s = 7.0;  // how long a replica serves after its entry was removed
constexpr int rounds = 4;
constexpr double round_s = 9.0;
constexpr double pause_s = 7.0;      // between two rounds, without any rejection
constexpr double reject_every_s = 1.3; // one call of the reader is answered 503
constexpr double per_s = 150.0;
constexpr const char* host = "nets.example";

struct departure
{
    std::string m_replica;
    double m_at{0.0};
};

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
    std::vector<replica*> replicas;
    const auto add = [&]
    {
        replicas.push_back(&fleet.add_replica("my-bookings", places[replicas.size() % places.size()]));
        replicas.back()->m_work_s = 0.02;
        return replicas.back()->start();
    };
    for (int i = 0; i < 8; ++i)
    {
        if (!add())
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
    sleep_for(contact_s + 4.0);
    std::atomic<bool> is_over{false};
    std::mutex mutex;
    std::map<std::string, std::size_t> taken_by;
    std::thread clients(
        [&]
        {
            std::mt19937 random{7};
            double next = now();
            for (int number = 0; !is_over; ++number)
            {
                const std::size_t index = random() % fleet.size();
                machine& at = fleet.at(index);
                const std::string id = text("usual-%d", number);
                {
                    const std::scoped_lock lock{mutex};
                    taken_by[id] = index;
                }
                std::thread([&at, id] { ask(at, host, "/book/usual", "", id, 5000); }).detach();
                next += 1.0 / per_s;
                sleep_until(next);
            }
        });
    std::set<std::size_t> rejected; // machines that the store turned away in any round
    std::vector<departure> departures;
    std::size_t next_to_leave = 0;
    // the machines that read the store for others of their zone, and that no other round may choose
    std::vector<std::size_t> readers;
    std::vector<std::size_t> calls_before;
    for (std::size_t i = 0; i < fleet.size(); ++i)
    {
        calls_before.push_back(fleet.platform().calls(i));
    }
    sleep_for(3.0);
    for (const char* const zone : {"thu-duc", "binh-thanh"})
    {
        std::optional<std::size_t> busiest;
        for (std::size_t i = 0; i < fleet.size(); ++i)
        {
            const auto recent = [&](std::size_t each) { return fleet.platform().calls(each) - calls_before[each]; };
            if (fleet.at(i).m_zone == zone && recent(i) > 0 && (!busiest || recent(i) > recent(*busiest)))
            {
                busiest = i;
            }
        }
        if (busiest)
        {
            readers.push_back(*busiest);
            rejected.insert(*busiest);
            record.line("machine %s reads the store for zone %s", fleet.at(*busiest).m_name.c_str(), zone);
        }
    }
    if (readers.size() != 2)
    {
        fleet.end();
        return 2;
    }
    for (int round = 0; round < rounds; ++round)
    {
        const double first = now();
        std::thread leaving(
            [&, first]
            {
                for (const double at : {0.9, 3.5})
                {
                    sleep_until(first + at);
                    replica& each = *replicas[next_to_leave++];
                    const std::string name = each.instance();
                    each.leave_silently();
                    record.line("replica %s leaves: its entry is removed", name.c_str());
                    departures.push_back({name, now()});
                    std::thread(
                        [&each]
                        {
                            sleep_for(serves_on_s);
                            each.end();
                        })
                        .detach();
                    add();
                }
            });
        for (double at = first; at < first + round_s; at += reject_every_s)
        {
            sleep_until(at);
            for (const std::size_t each : readers)
            {
                if (has_trouble())
                {
                    fleet.platform().set_mode(each, store::mode::rejects_once);
                }
            }
        }
        for (const std::size_t each : readers)
        {
            fleet.platform().set_mode(each, store::mode::serves);
        }
        leaving.join();
        sleep_until(first + round_s + pause_s);
    }
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

    const std::scoped_lock lock{arrivals_mutex, mutex};
    std::size_t late = 0;
    std::size_t late_by_rejected = 0;
    for (const departure& each : departures)
    {
        double last = 0.0;
        std::size_t here = 0;
        for (const arrival& one : arrivals)
        {
            if (one.m_replica != each.m_replica || one.m_at <= each.m_at + drain_s)
            {
                continue;
            }
            if (rejected.count(taken_by[one.m_request_id]) > 0)
            {
                ++late_by_rejected;
                continue;
            }
            ++here;
            last = one.m_at - each.m_at;
        }
        late += here;
        record.say("replica %s left at %.3f: %zu requests from machines in touch reached it later than %.1f s after, "
                   "the last after %.3f s",
                   each.m_replica.c_str(), each.m_at, here, drain_s, last);
    }
    record.say("DRAIN: %zu requests reached replicas later than drainTimeoutMs after the store had dropped their entries, "
               "from machines in touch, allowed 0 (%zu more from the machines that the store rejected)",
               late, late_by_rejected);
    return late > 0 || has_ended ? 1 : 0;
}

int main(int argc, char** argv)
{
    // threads of stand-ins may still be waiting, so nothing is destroyed
    std::_Exit(run(argc, argv));
}
