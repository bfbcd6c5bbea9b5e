#pragma once

#include <string>
#include <vector>

#include "teasellead/forwarding/dispatch.hpp"

namespace teasellead::test
{

using namespace std::chrono_literals;

constexpr time_point dispatch_start{1h};

/// a directory entry of one of the two upstreams of a service, `SERVICE-0` and `SERVICE-1`
inline forwarding::upstream_entry entry_of(const std::string& service, int replica)
{
    forwarding::upstream_entry entry;
    entry.m_instance = service + "-" + std::to_string(replica);
    entry.m_service = service;
    entry.m_address = endpoint{static_cast<std::uint32_t>(replica + 1), 80};
    entry.m_data_centre = "north";
    entry.m_capacity = 3;
    entry.m_incarnation = 1;
    return entry;
}

/// a directory of services with some replicas, a budget and a request under test
class dispatch_fixture
{
  public:
    explicit dispatch_fixture(const std::vector<std::string>& services, int replicas = 2,
                              double slack = 1000.0)
        : m_directory("north"), m_budget({0.2, slack, 10s}), m_cold_starts(endpoint{1, 7000}),
          m_random(7), m_context{m_directory,
                                 m_budget,
                                 m_cold_starts,
                                 m_crashes,
                                 m_random,
                                 [this](const forwarding::upstream&)
                                 {
                                     return m_has_room;
                                 }}
    {
        m_budget.set_slack_share(1.0);
        for (const std::string& service : services)
        {
            for (int replica = 0; replica < replicas; ++replica)
            {
                m_directory.on_change({service + "-" + std::to_string(replica), entry_of(service, replica)},
                                      dispatch_start);
            }
        }
    }

    /// a request to one service with a latency objective of 100 ms and a deadline in one second
    forwarding::dispatch single(forwarding::repeatability kind, std::uint32_t max_attempts = 2,
                                std::uint32_t priority = 0)
    {
        forwarding::dispatch_request request;
        request.m_fingerprint = "f00d";
        request.m_priority = priority;
        request.m_repeatability = kind;
        request.m_services = {"a"};
        request.m_max_attempts = max_attempts;
        request.m_objective = 100ms;
        request.m_arrived = dispatch_start;
        request.m_response_deadline = dispatch_start + 1s;
        return {request, m_context, dispatch_start};
    }

    /// a scatter over shards with a latency objective of 100 ms and a deadline in one second
    forwarding::dispatch over_shards(const std::vector<std::string>& shards, double least_coverage,
                                     time_point admitted = dispatch_start)
    {
        return {search_over(shards, least_coverage, dispatch_start), m_context, admitted};
    }

    /// the request of such a scatter
    static forwarding::dispatch_request search_over(const std::vector<std::string>& shards,
                                                    double least_coverage, time_point arrived)
    {
        forwarding::dispatch_request request;
        request.m_fingerprint = "f00d";
        request.m_repeatability = forwarding::repeatability::idempotent;
        request.m_services = shards;
        request.m_scatter = forwarding::scatter{shards, 10, least_coverage};
        request.m_max_attempts = 2;
        request.m_objective = 100ms;
        request.m_arrived = arrived;
        request.m_response_deadline = arrived + 1s;
        return request;
    }

    /// isolates the fixture's requests: they lose their connections to two upstreams of a service
    void isolate(const std::string& service)
    {
        for (const char* const replica : {"-0", "-1"})
        {
            m_crashes.on_lost("f00d", service, {service + replica, 1}, false, dispatch_start);
        }
    }

    forwarding::upstream_directory m_directory;
    forwarding::attempt_budget m_budget;
    forwarding::cold_start_limiter m_cold_starts;
    forwarding::crash_guard m_crashes;
    random_source m_random;
    bool m_has_room{true};
    forwarding::dispatch_context m_context;
};

/// numbers of the attempts that a list of actions sends
inline std::vector<forwarding::attempt_number>
sends_of(const std::vector<forwarding::dispatch_action>& actions)
{
    std::vector<forwarding::attempt_number> result;
    for (const forwarding::dispatch_action& action : actions)
    {
        if (const auto* send = std::get_if<forwarding::send_attempt>(&action))
        {
            result.push_back(send->m_attempt);
        }
    }
    return result;
}

/// a complete reply with a status
inline forwarding::upstream_reply reply_of(unsigned status, std::string body = {})
{
    return {status, {}, std::move(body), "signature"};
}

} // namespace teasellead::test
