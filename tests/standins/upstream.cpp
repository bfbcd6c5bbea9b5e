// stand-in for upstreams: any number of them in one process, each on its own address
//
// POST /query          a sub-request as described in docs/wire.md
// PUT  /control        JSON, any of: delay_ms, slow_fraction, slow_factor, snapshots, shed, drain,
//                      covered_fraction,
//                      slots (requests processed at a time, others wait), reply (ok | oversized |
//                      wrong_id | not_json), new_incarnation
// GET  /seen           JSON: all requests received (unless STANDIN_RECORD=off), their number,
//                      largest number at a time
//
// A sub-request whose body contains "crash" ends the process.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include "blocking_server.hpp"
#include "standin_support.hpp"
#include "teasellead/entry/wire_headers.hpp"
#include "teasellead/kernel/hashing.hpp"

namespace
{

using namespace teasellead;
using namespace test_support;
using nlohmann::json;

constexpr std::size_t max_body = 2'000'000;
constexpr std::size_t oversized_reply = 3'000'000;

/// how an upstream behaves; changed by PUT /control
struct behaviour
{
    double m_delay_ms{1.0};
    double m_spread{0.0}; ///< sigma of the log-normal distribution of delays
    double m_slow_fraction{0.0};
    double m_slow_factor{10.0};
    std::vector<std::uint64_t> m_snapshots; ///< all if empty
    bool m_shed{false};
    bool m_drain{false};
    double m_covered_fraction{1.0};
    std::uint32_t m_slots{1000};
    std::string m_reply{"ok"};
    std::uint64_t m_incarnation{0};
};

class upstream
{
  public:
    upstream(const endpoint& address, behaviour initial, std::uint64_t seed, bool records)
        : m_address(address), m_records(records), m_behaviour(std::move(initial)), m_random(seed),
          m_server(address, max_body, [this](const http_request& request) { return handle(request); })
    {
    }

  private:
    http_response handle(const http_request& request)
    {
        if (request.m_path == "/control")
        {
            return control(request);
        }
        if (request.m_path == "/seen")
        {
            return seen();
        }
        if (request.m_body.find("\"crash\"") != std::string::npos)
        {
            ::_exit(1);
        }
        return query(request);
    }

    http_response control(const http_request& request)
    {
        const json wanted = json::parse(request.m_body);
        const std::scoped_lock lock{m_mutex};
        m_behaviour.m_delay_ms = wanted.value("delay_ms", m_behaviour.m_delay_ms);
        m_behaviour.m_spread = wanted.value("spread", m_behaviour.m_spread);
        m_behaviour.m_slow_fraction = wanted.value("slow_fraction", m_behaviour.m_slow_fraction);
        m_behaviour.m_slow_factor = wanted.value("slow_factor", m_behaviour.m_slow_factor);
        m_behaviour.m_snapshots = wanted.value("snapshots", m_behaviour.m_snapshots);
        m_behaviour.m_shed = wanted.value("shed", m_behaviour.m_shed);
        m_behaviour.m_drain = wanted.value("drain", m_behaviour.m_drain);
        m_behaviour.m_covered_fraction = wanted.value("covered_fraction", m_behaviour.m_covered_fraction);
        m_behaviour.m_slots = wanted.value("slots", m_behaviour.m_slots);
        m_behaviour.m_reply = wanted.value("reply", m_behaviour.m_reply);
        m_behaviour.m_incarnation = wanted.value("new_incarnation", m_behaviour.m_incarnation);
        return {200, "application/json", "{}", {}, false};
    }

    http_response seen()
    {
        const std::scoped_lock lock{m_mutex};
        const json page = {
            {"requests", m_seen}, {"count", m_count}, {"largest_in_flight", m_largest_in_flight}};
        return {200, "application/json", page.dump(), {}, false};
    }

    http_response query(const http_request& request)
    {
        behaviour current;
        double delay_ms = 0.0;
        {
            std::unique_lock lock{m_mutex};
            record(request);
            ++m_in_flight;
            m_largest_in_flight = std::max(m_largest_in_flight, m_in_flight);
            m_slot_freed.wait(lock, [this] { return m_processing < m_behaviour.m_slots; });
            ++m_processing;
            current = m_behaviour;
            delay_ms = draw_delay_ms();
        }
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{delay_ms});
        http_response response = reply(request, current);
        {
            const std::scoped_lock lock{m_mutex};
            --m_in_flight;
            --m_processing;
        }
        m_slot_freed.notify_one();
        return response;
    }

    double draw_delay_ms()
    {
        std::lognormal_distribution<double> factor{0.0, m_behaviour.m_spread};
        std::uniform_real_distribution<double> unit{0.0, 1.0};
        const double slow = unit(m_random) < m_behaviour.m_slow_fraction ? m_behaviour.m_slow_factor : 1.0;
        return m_behaviour.m_delay_ms * factor(m_random) * slow;
    }

    void record(const http_request& request)
    {
        ++m_count;
        if (!m_records)
        {
            return;
        }
        json headers = json::object();
        for (const http_header& header : request.m_headers)
        {
            headers[header.m_name] = header.m_value;
        }
        m_seen.push_back({{"path", request.m_path}, {"headers", headers}, {"body", request.m_body}});
    }

    [[nodiscard]] static http_response not_run(unsigned status, const char* reason)
    {
        return {status, "application/json", "{}", {{wire_header::not_run, reason}}, false};
    }

    [[nodiscard]] http_response reply(const http_request& request, const behaviour& current) const
    {
        if (current.m_shed)
        {
            return not_run(503, "shed");
        }
        if (current.m_drain)
        {
            return not_run(503, "draining");
        }
        const auto header = [&request](const char* name)
        {
            return find_header(request.m_headers, name).value_or("");
        };
        const std::string snapshot = header(wire_header::snapshot);
        const auto& held = current.m_snapshots;
        const bool is_held = held.empty() || std::any_of(held.begin(), held.end(),
                                                         [&snapshot](std::uint64_t number)
                                                         { return std::to_string(number) == snapshot; });
        if (!is_held)
        {
            return not_run(409, "wrong_snapshot");
        }
        const std::string request_id =
            current.m_reply == "wrong_id" ? "other" : header(wire_header::request_id);
        const std::uint64_t keys = standin::query_number("n=" + header(wire_header::shard_keys), "n", 0);
        const auto covered =
            static_cast<std::uint64_t>(static_cast<double>(keys) * current.m_covered_fraction);
        return {200,
                "application/json",
                body(header(wire_header::service), header(wire_header::shard), current),
                {{wire_header::request_id, request_id},
                 {wire_header::service, header(wire_header::service)},
                 {wire_header::shard, header(wire_header::shard)},
                 {wire_header::shard_map, header(wire_header::shard_map)},
                 {wire_header::snapshot, snapshot},
                 {wire_header::incarnation, std::to_string(current.m_incarnation)},
                 {wire_header::covered_keys, std::to_string(covered)}},
                false};
    }

    [[nodiscard]] std::string body(const std::string& service, const std::string& shard,
                                   const behaviour& current) const
    {
        if (current.m_reply == "not_json")
        {
            return "{\"results\":[";
        }
        if (current.m_reply == "oversized")
        {
            return std::string(oversized_reply, ' ');
        }
        const double score = static_cast<double>(hash64(service + "/" + shard) % 1000) / 10.0;
        const json result = {
            {"service", service}, {"shard", shard}, {"upstream", m_address.to_string()}, {"score", score}};
        return json{{"results", json::array({result})}}.dump();
    }

    endpoint m_address;
    bool m_records;
    std::mutex m_mutex;
    behaviour m_behaviour;
    std::mt19937_64 m_random;
    std::condition_variable m_slot_freed;
    json m_seen = json::array();
    std::uint64_t m_count{0};
    std::uint32_t m_in_flight{0};
    std::uint32_t m_processing{0};
    std::uint32_t m_largest_in_flight{0};
    blocking_server m_server;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2)
    {
        std::cerr << "usage: standin-upstream IP:PORT[,IP:PORT...] [DELAY-MS [SPREAD [SLOW-FRACTION [SEED "
                     "[SLOTS]]]]]\n";
        return 2;
    }
    standin::block_stop_signals();
    behaviour initial;
    initial.m_delay_ms = argc > 2 ? std::atof(argv[2]) : initial.m_delay_ms;
    initial.m_spread = argc > 3 ? std::atof(argv[3]) : initial.m_spread;
    initial.m_slow_fraction = argc > 4 ? std::atof(argv[4]) : initial.m_slow_fraction;
    initial.m_slots = argc > 6 ? static_cast<std::uint32_t>(std::atoi(argv[6])) : initial.m_slots;
    std::uint64_t seed = argc > 5 ? std::strtoull(argv[5], nullptr, 10) : 1;
    const char* const recording = std::getenv("STANDIN_RECORD");
    const bool records = recording == nullptr || std::string{recording} != "off";
    std::vector<std::unique_ptr<upstream>> upstreams;
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    initial.m_incarnation = static_cast<std::uint64_t>(started.count());
    for (const std::string& address : standin::split(argv[1]))
    {
        upstreams.push_back(std::make_unique<upstream>(endpoint::parse(address), initial, ++seed, records));
    }
    standin::wait_for_stop();
    return 0;
}
