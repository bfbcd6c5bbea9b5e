#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "booking_topology.hpp"
#include "event_queue.hpp"
#include "teasellead/kernel/random.hpp"
#include "teasellead/routing/quarantine.hpp"

namespace crash_simulation
{

using namespace teasellead;
using std::chrono::milliseconds;

/// how reports of crashes reach the other hosts
enum class reports
{
    in_time,   ///< within @ref longest_report
    some_lost, ///< as in_time, but half of the reports are lost
    none       ///< never
};

/// parameters of a run
struct scenario
{
    std::size_t m_hosts{9};
    std::size_t m_crashing{1}; ///< callers that repeat the one request that crashes upstreams
    std::size_t m_others{6};   ///< callers that repeat requests of their own
    reports m_reports{reports::in_time};
    bool m_quarantined{true}; ///< false for the baseline, in which nothing is refused
    bool m_retried{true};     ///< whether the host retries a lost request once
};

/// counters of one run
struct outcome
{
    std::uint64_t m_lost_upstreams{0};    ///< upstreams lost to the request that crashes them
    std::uint64_t m_crashing_refusals{0}; ///< refusals of the request that crashes upstreams
    std::uint64_t m_other_answers{0};
    std::uint64_t m_other_refusals{0};
    std::uint64_t m_other_losses{0}; ///< other requests that failed because an upstream was lost
};

inline constexpr milliseconds longest_report{20};
inline constexpr milliseconds shortest_pause{50}; ///< between a response and the caller's next request
inline constexpr milliseconds run_time{10000};
inline constexpr milliseconds refusal_term{30000};
inline constexpr std::uint32_t upstream_count = 6;
inline constexpr shard_key only_shard{1};

/// hosts that share upstreams, callers whose request crashes each upstream, and callers of harmless requests
class simulation
{
  public:
    simulation(std::uint64_t seed, const scenario& parameters)
        : m_random(seed), m_scenario(parameters), m_incarnations(upstream_count)
    {
        for (std::size_t host = 0; host < parameters.m_hosts; ++host)
        {
            m_hosts.push_back(std::make_unique<quarantine>(
                quarantine_settings{milliseconds{60000}, refusal_term, 100, 100}));
        }
        for (std::size_t index = 0; index < parameters.m_crashing + parameters.m_others; ++index)
        {
            m_queue.after(delay(0, 100), [this, index] { ask(index); });
        }
    }

    [[nodiscard]] outcome run()
    {
        m_queue.drain_until(m_queue.now() + run_time);
        return m_outcome;
    }

  private:
    struct attempt
    {
        std::size_t m_caller;
        std::size_t m_host;
        std::size_t m_upstream;
        std::uint64_t m_incarnation; ///< of the upstream when the attempt started
        bool m_second;               ///< retry after a first attempt whose upstream was lost
    };

    duration delay(std::uint64_t from, std::uint64_t to)
    {
        return milliseconds{from + m_random.below(to - from + 1)};
    }

    [[nodiscard]] bool is_crashing(std::size_t caller) const
    {
        return caller < m_scenario.m_crashing;
    }

    [[nodiscard]] std::string fingerprint_of(std::size_t caller) const
    {
        return is_crashing(caller) ? "crashing" : "other " + std::to_string(caller);
    }

    void come_back(std::size_t caller)
    {
        m_queue.after(delay(shortest_pause.count(), 400), [this, caller] { ask(caller); });
    }

    /// sends a caller's request to a random host
    void ask(std::size_t caller)
    {
        start(caller, m_random.below(m_scenario.m_hosts), false);
    }

    void start(std::size_t caller, std::size_t host, bool second)
    {
        const quarantine_check checked = m_hosts[host]->check(fingerprint_of(caller), m_queue.now());
        if (m_scenario.m_quarantined && std::holds_alternative<request_quarantined>(checked))
        {
            ++(is_crashing(caller) ? m_outcome.m_crashing_refusals : m_outcome.m_other_refusals);
            come_back(caller);
            return;
        }
        const std::size_t chosen = m_random.below(upstream_count);
        const attempt started{caller, host, chosen, m_incarnations[chosen], second};
        m_hosts[host]->on_attempt_started(booking_topology::upstream(chosen), only_shard,
                                          fingerprint_of(caller));
        m_queue.after(is_crashing(caller) ? delay(1, 10) : delay(1, 40), [this, started] { end(started); });
        m_running.push_back(started);
    }

    void end(const attempt& ended)
    {
        if (m_incarnations[ended.m_upstream] != ended.m_incarnation)
        {
            return; // the attempt was lost when its upstream crashed
        }
        if (is_crashing(ended.m_caller))
        {
            ++m_outcome.m_lost_upstreams;
            crash(ended.m_upstream);
            return;
        }
        m_hosts[ended.m_host]->on_attempt_ended(booking_topology::upstream(ended.m_upstream), only_shard,
                                                fingerprint_of(ended.m_caller), attempt_end::replied,
                                                m_queue.now());
        forget(ended);
        share(ended.m_host);
        ++m_outcome.m_other_answers;
        come_back(ended.m_caller);
    }

    void forget(const attempt& ended)
    {
        const auto same = [&ended](const attempt& other)
        {
            return other.m_caller == ended.m_caller && other.m_host == ended.m_host;
        };
        m_running.erase(std::find_if(m_running.begin(), m_running.end(), same));
    }

    /// fails all requests in flight at the upstream, on every host; an idempotent one is retried once
    void crash(std::size_t crashed)
    {
        ++m_incarnations[crashed];
        std::vector<attempt> lost;
        const auto is_there = [crashed](const attempt& each)
        {
            return each.m_upstream == crashed;
        };
        std::copy_if(m_running.begin(), m_running.end(), std::back_inserter(lost), is_there);
        std::erase_if(m_running, is_there);
        for (const attempt& each : lost)
        {
            quarantine& host = *m_hosts[each.m_host];
            host.on_upstream_lost(booking_topology::upstream(crashed), m_queue.now());
            host.on_attempt_ended(booking_topology::upstream(crashed), only_shard,
                                  fingerprint_of(each.m_caller), attempt_end::other, m_queue.now());
            share(each.m_host);
        }
        for (const attempt& each : lost)
        {
            if (m_scenario.m_retried && !each.m_second)
            {
                start(each.m_caller, each.m_host, true);
                continue;
            }
            m_outcome.m_other_losses += is_crashing(each.m_caller) ? 0 : 1;
            come_back(each.m_caller);
        }
    }

    void share(std::size_t from)
    {
        for (const quarantine_report& report : m_hosts[from]->take_reports())
        {
            for (std::size_t to = 0; to < m_hosts.size(); ++to)
            {
                const bool lost = m_scenario.m_reports == reports::none ||
                                  (m_scenario.m_reports == reports::some_lost && m_random.below(2) == 0);
                if (to != from && !lost)
                {
                    m_queue.after(delay(0, longest_report.count()),
                                  [this, to, report] { m_hosts[to]->on_peer_report(report, m_queue.now()); });
                }
            }
        }
    }

    teasellead::testing::event_queue m_queue;
    random_source m_random;
    scenario m_scenario;
    outcome m_outcome;
    std::vector<std::uint64_t> m_incarnations;
    std::vector<std::unique_ptr<quarantine>> m_hosts;
    std::vector<attempt> m_running;
};

} // namespace crash_simulation
