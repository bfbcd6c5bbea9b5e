#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "search_simulation.hpp"
#include "search_topology.hpp"

namespace teasellead::testing
{

/// how a measured host chooses replicas and hedges
struct policy_parameters
{
    std::string m_selector{"two-choices"};
    std::string m_hedging{"quantile"};
};

/// queries that arrive at random with a mean interval
struct arrival_phase
{
    duration m_length;
    duration m_mean_interval;
};

/// figures of the queries that arrived in one phase
struct phase_figures
{
    std::vector<duration> m_latencies;
    std::uint64_t m_extra{0};
    std::uint64_t m_shards{0};
    std::uint64_t m_missing{0};

    [[nodiscard]] double quantile_ms(double fraction)
    {
        const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(m_latencies.size()));
        const auto position = m_latencies.begin() + static_cast<std::ptrdiff_t>(rank);
        std::nth_element(m_latencies.begin(), position, m_latencies.end());
        return std::chrono::duration<double, std::milli>{*position}.count();
    }

    /// extra attempts for each attempt that the queries need
    [[nodiscard]] double extra() const
    {
        return static_cast<double>(m_extra) / static_cast<double>(m_shards);
    }

    [[nodiscard]] double missing() const
    {
        return static_cast<double>(m_missing) / static_cast<double>(m_shards);
    }
};

/// reply time of a sub-request whose upstream isn't busy
using service_time = std::function<duration(const sub_request&, random_source&)>;

/// log-normal times with a median of 5 ms, one in a hundred ten times slower
[[nodiscard]] inline duration straggling_time(random_source& random)
{
    constexpr std::chrono::duration<double, std::milli> median{5.0};
    constexpr double sigma = 0.4;
    constexpr double straggler_probability = 0.01;
    constexpr double straggler_factor = 10.0;
    const double spread = std::exp(std::normal_distribution<double>{0.0, sigma}(random.engine()));
    const double factor = random.unit() < straggler_probability ? straggler_factor : 1.0;
    return std::chrono::duration_cast<duration>(median * spread * factor);
}

/// upstreams that reply to each sub-request after its service time, however many are in flight
class independent_upstreams
{
  public:
    independent_upstreams(service_time time, random_source& random)
        : m_time(std::move(time)), m_random(&random)
    {
    }

    std::vector<delivery> operator()(const sub_request& request)
    {
        return {{m_time(request, *m_random), whole_reply(request)}};
    }

    [[nodiscard]] static upstream_reply whole_reply(const sub_request& request)
    {
        const shard& part = request.m_target->shard();
        return upstream_reply{request.m_request_id, request.m_target->service().name(),
                              part.name(),          request.m_shard_map,
                              request.m_snapshot,   1,
                              part.keys().size(),   ""};
    }

  private:
    service_time m_time;
    random_source* m_random;
};

/// upstreams with a queue for a few processors; they shed sub-requests that would wait too long, and
/// cancelled ones still use their processor
class queueing_upstreams
{
  public:
    queueing_upstreams(service_time time, random_source& random) : m_time(std::move(time)), m_random(&random)
    {
    }

    std::vector<delivery> operator()(const sub_request& request)
    {
        std::vector<time_point>& free = m_free[request.m_upstream];
        free.resize(processors);
        time_point& earliest = *std::min_element(free.begin(), free.end());
        const time_point start = std::max(earliest, request.m_arrival);
        if (start - request.m_arrival > longest_wait)
        {
            return {{std::chrono::milliseconds{1}, attempt_failure::shed}};
        }
        earliest = start + m_time(request, *m_random);
        return {{earliest - request.m_arrival, independent_upstreams::whole_reply(request)}};
    }

    static constexpr std::size_t processors = 4;
    static constexpr std::chrono::milliseconds longest_wait{150};

  private:
    service_time m_time;
    random_source* m_random;
    std::map<endpoint, std::vector<time_point>> m_free;
};

/*!
@brief runs arrival phases one after another on one host

@return the figures of each phase; equal parameters give equal figures
*/
[[nodiscard]] inline std::vector<phase_figures> measure(const policy_parameters& policy,
                                                        const topology_parameters& topology,
                                                        const std::vector<arrival_phase>& phases,
                                                        duration time_limit, random_source& random,
                                                        const upstream_model& model)
{
    upstream_table table{table_settings(policy.m_selector, false)};
    table.set_views(single_host_view(topology));
    hedge_policy hedging{make_hedging_rule(policy.m_hedging),
                         extra_load_budget{default_extra_load_ratio, default_extra_load_capacity}};
    std::vector<phase_figures> figures(phases.size());
    std::vector<time_point> ends;
    const auto count = [&figures, &ends](const search_record& record)
    {
        const auto phase = std::upper_bound(ends.begin(), ends.end(), record.m_started) - ends.begin();
        phase_figures& counted = figures[static_cast<std::size_t>(phase)];
        const std::size_t shards = record.m_plan->targets().size();
        counted.m_latencies.push_back(record.m_ended - record.m_started);
        counted.m_extra += record.m_attempts > shards ? record.m_attempts - shards : 0;
        counted.m_shards += shards;
        counted.m_missing += record.m_result.coverage().missing().size();
    };
    search_simulation simulation{gather_context{table, hedging, random}, model, count};
    simulation.set_revision(make_revision(1, topology));
    time_point when = simulation.events().now();
    for (const arrival_phase& phase : phases)
    {
        ends.push_back((ends.empty() ? when : ends.back()) + phase.m_length);
    }
    // each arrival schedules the next, so that the queue stays short
    std::function<void()> arrive = [&]
    {
        const auto phase =
            std::upper_bound(ends.begin(), ends.end(), simulation.events().now()) - ends.begin();
        if (phase == static_cast<std::ptrdiff_t>(phases.size()))
        {
            return;
        }
        simulation.search("q", "/find", time_limit);
        const double factor = -std::log(1.0 - random.unit());
        const auto interval = std::chrono::duration_cast<duration>(
            phases[static_cast<std::size_t>(phase)].m_mean_interval * factor);
        simulation.events().schedule(simulation.events().now() + interval, arrive);
    };
    simulation.events().schedule(when, arrive);
    simulation.events().run();
    return figures;
}

} // namespace teasellead::testing
