#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>

#include "event_queue.hpp"
#include "fleet_events.hpp"
#include "simulated_store.hpp"
#include "teasellead/forwarding/dispatch.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead::testing
{

/// how an attempt at a simulated upstream ends
struct simulated_outcome
{
    std::variant<forwarding::upstream_reply, forwarding::attempt_failure> m_result;
    forwarding::upstream_notice m_notice{}; ///< leaving or pause announced by the upstream
    time_point m_answered{};                ///< when the upstream replied
};

/// an attempt in flight
struct simulated_attempt
{
    std::string m_request;
    std::string m_account;
    std::string m_instance; ///< the process that it is addressed to
    endpoint m_address;
    std::size_t m_node{0};
    std::uint64_t m_process{0}; ///< incarnation of the node
    time_point m_request_sent;
    bool m_crashes_upstreams{false};
    std::function<bool()> m_reaches; ///< whether its node reaches a data centre
    std::function<void(simulated_outcome)> m_on_end;
};

/// faulty behaviour of an upstream
enum class upstream_fault
{
    none,
    loses_answers,
    hangs,
    fails,
    asks_for_a_pause ///< refuses requests and announces for how long
};

/// the upstreams of a simulated platform with their entries in the store
class simulated_upstreams
{
  public:
    simulated_upstreams(event_queue& queue, simulated_store& store, fleet_events& events, std::uint64_t seed)
        : m_queue(queue), m_store(store), m_events(events), m_random(seed)
    {
    }

    /// starts a process of a service at an address and publishes it
    void start(const endpoint& address, const std::string& service, const std::string& data_centre)
    {
        process next;
        next.m_entry.m_instance = service + "-" + std::to_string(++m_last_number);
        next.m_entry.m_service = service;
        next.m_entry.m_address = address;
        next.m_entry.m_data_centre = data_centre;
        next.m_entry.m_capacity = capacity;
        next.m_entry.m_incarnation = static_cast<std::int64_t>(m_last_number);
        next.m_entry.m_warm_up_left = warm_up;
        next.m_cold_until = m_queue.now() + warm_up;
        m_processes[address] = next;
        publish(address);
    }

    /// the process at an address ends without notice; its entry expires later
    void crash(const endpoint& address)
    {
        const process ended = take(address);
        m_queue.after(entry_lifetime, [this, ended] { withdraw(ended.m_entry.m_instance); });
    }

    /// the process at an address announces its end; it ends after a while
    void drain(const endpoint& address, duration until_end)
    {
        process& leaving = m_processes.at(address);
        leaving.m_entry.m_is_draining = true;
        publish(address);
        m_events.m_left.emplace(leaving.m_entry.m_instance, m_queue.now());
        m_queue.after(until_end,
                      [this, address, instance = leaving.m_entry.m_instance]
                      {
                          if (instance_at(address) == instance)
                          {
                              take(address);
                              withdraw(instance);
                          }
                      });
    }

    /// the process at an address announces only in its replies that it is leaving; it ends after a while
    void leave_unlisted(const endpoint& address, duration until_end)
    {
        process& leaving = m_processes.at(address);
        leaving.m_says_leaving = true;
        m_queue.after(until_end,
                      [this, address, instance = leaving.m_entry.m_instance]
                      {
                          if (instance_at(address) == instance)
                          {
                              take(address);
                              withdraw(instance);
                          }
                      });
    }

    void set_fault(const endpoint& address, upstream_fault fault)
    {
        if (const auto known = m_processes.find(address); known != m_processes.end())
        {
            known->second.m_fault = fault;
        }
    }

    [[nodiscard]] std::string instance_at(const endpoint& address) const
    {
        const auto known = m_processes.find(address);
        return known == m_processes.end() ? std::string{} : known->second.m_entry.m_instance;
    }

    [[nodiscard]] bool is_drained(const endpoint& address) const
    {
        return m_processes.at(address).m_entry.m_is_draining;
    }

    /// service of the process at an address; empty if none runs
    [[nodiscard]] std::string service_at(const endpoint& address) const
    {
        const auto known = m_processes.find(address);
        return known == m_processes.end() ? std::string{} : known->second.m_entry.m_service;
    }

    /// sends an attempt from its node
    void send(const simulated_attempt& attempt)
    {
        const time_point sent = m_queue.now();
        m_queue.after(one_way(), [this, attempt, sent] { arrive(attempt, sent); });
    }

    /// removes and later republishes the entries of about half of the processes, as after a store outage
    void publish_again()
    {
        for (const auto& [address, each] : m_processes)
        {
            if (m_random.unit() < 0.5)
            {
                m_store.remove(upstream_key + each.m_entry.m_instance);
                m_queue.after(std::chrono::milliseconds{200 + m_random.below(1500)},
                              [this, where = address, instance = each.m_entry.m_instance]
                              {
                                  if (instance_at(where) == instance)
                                  {
                                      publish(where);
                                  }
                              });
            }
        }
    }

  private:
    static constexpr std::uint32_t capacity = 4;
    static constexpr std::uint32_t most_waiting = 12;
    static constexpr std::chrono::milliseconds warm_up{3000};
    static constexpr duration entry_lifetime = std::chrono::seconds{2};

    struct process
    {
        forwarding::upstream_entry m_entry;
        time_point m_cold_until;
        std::uint32_t m_in_flight{0};
        upstream_fault m_fault{upstream_fault::none};
        bool m_says_leaving{false};
    };

    [[nodiscard]] duration one_way()
    {
        return std::chrono::microseconds{500 + m_random.below(2500)};
    }

    process take(const endpoint& address)
    {
        const process taken = m_processes.at(address);
        m_processes.erase(address);
        return taken;
    }

    void publish(const endpoint& address)
    {
        process& known = m_processes.at(address);
        ++known.m_entry.m_sequence;
        known.m_entry.m_warm_up_left =
            std::max(std::chrono::milliseconds{0},
                     std::chrono::ceil<std::chrono::milliseconds>(known.m_cold_until - m_queue.now()));
        m_store.publish(upstream_key + known.m_entry.m_instance,
                        runtime::upstream_published{{known.m_entry.m_instance, known.m_entry}});
    }

    void withdraw(const std::string& instance)
    {
        m_store.remove(upstream_key + instance);
        m_events.m_left.emplace(instance, m_queue.now());
    }

    void arrive(const simulated_attempt& attempt, time_point sent)
    {
        using forwarding::attempt_failure;
        const auto known = m_processes.find(attempt.m_address);
        if (!attempt.m_reaches())
        {
            end_after(std::chrono::milliseconds{400}, attempt, {attempt_failure::not_connected});
            return;
        }
        if (known == m_processes.end())
        {
            end_after(one_way(), attempt, {attempt_failure::not_connected});
            return;
        }
        process& target = known->second;
        const bool is_addressed = target.m_entry.m_instance == attempt.m_instance;
        const bool is_full = target.m_in_flight >= capacity + most_waiting;
        const bool is_paused = target.m_fault == upstream_fault::asks_for_a_pause;
        record(attempt, target, sent, is_addressed && !is_full && !is_paused);
        if (!is_addressed)
        {
            end_after(one_way(), attempt, {attempt_failure::wrong_instance});
            return;
        }
        if (target.m_fault == upstream_fault::asks_for_a_pause)
        {
            simulated_outcome refused{attempt_failure::shed, notice_of(target), m_queue.now()};
            refused.m_notice.m_pause = std::chrono::milliseconds{300 + m_random.below(4000)};
            end_after(one_way(), attempt, refused);
            return;
        }
        if (is_full)
        {
            end_after(one_way(), attempt, {attempt_failure::shed, notice_of(target), m_queue.now()});
            return;
        }
        work(attempt, target);
    }

    void record(const simulated_attempt& attempt, const process& target, time_point sent, bool runs)
    {
        if (target.m_entry.m_instance != attempt.m_instance)
        {
            // the attempt is addressed to an earlier process, so it isn't recorded for this one
            return;
        }
        const bool is_first = m_visited.insert({attempt.m_request, target.m_entry.m_service}).second;
        m_events.m_arrivals.push_back({attempt.m_request, attempt.m_account, target.m_entry.m_service,
                                       target.m_entry.m_instance, target.m_entry.m_data_centre,
                                       attempt.m_node, attempt.m_process, attempt.m_request_sent, sent,
                                       m_queue.now(), runs, m_queue.now() < target.m_cold_until, is_first});
    }

    /// crashes the process that begins to run a request and replaces it some seconds later
    void crash_under(const simulated_attempt& attempt)
    {
        const endpoint address = attempt.m_address;
        if (instance_at(address) != attempt.m_instance)
        {
            end_after(one_way(), attempt, {forwarding::attempt_failure::broken});
            return;
        }
        const process ended = m_processes.at(address);
        m_events.m_crashes.push_back({attempt.m_request, attempt.m_instance, m_queue.now()});
        crash(address);
        end_after(one_way(), attempt, {forwarding::attempt_failure::broken});
        m_queue.after(std::chrono::milliseconds{1500 + m_random.below(3500)},
                      [this, address, entry = ended.m_entry]
                      {
                          if (instance_at(address).empty())
                          {
                              start(address, entry.m_service, entry.m_data_centre);
                          }
                      });
    }

    void work(const simulated_attempt& attempt, process& target)
    {
        if (attempt.m_crashes_upstreams)
        {
            m_queue.after(std::chrono::milliseconds{1 + m_random.below(5)},
                          [this, attempt] { crash_under(attempt); });
            return;
        }
        ++target.m_in_flight;
        const std::uint32_t rounds = 1 + (target.m_in_flight - 1) / capacity;
        const duration time = rounds * std::chrono::milliseconds{5 + m_random.below(15)};
        m_queue.after(time, [this, attempt, fault = target.m_fault] { finish(attempt, fault); });
    }

    void finish(const simulated_attempt& attempt, upstream_fault fault)
    {
        using forwarding::attempt_failure;
        const auto known = m_processes.find(attempt.m_address);
        if (known == m_processes.end() || known->second.m_entry.m_instance != attempt.m_instance)
        {
            end_after(one_way(), attempt, {attempt_failure::broken});
            return;
        }
        --known->second.m_in_flight;
        switch (fault)
        {
        case upstream_fault::none:
        case upstream_fault::asks_for_a_pause: // refused on arrival
            end_after(one_way(), attempt, {reply_of(known->second), notice_of(known->second), m_queue.now()});
            return;
        case upstream_fault::loses_answers:
            end_after(one_way(), attempt, {attempt_failure::broken});
            return;
        case upstream_fault::fails:
            end_after(one_way(), attempt, {attempt_failure::failed});
            return;
        case upstream_fault::hangs:
            return;
        }
    }

    [[nodiscard]] static forwarding::upstream_notice notice_of(const process& from)
    {
        return {from.m_says_leaving, std::nullopt, forwarding::reported_load{from.m_in_flight, 0, capacity}};
    }

    [[nodiscard]] static forwarding::upstream_reply reply_of(const process& from)
    {
        forwarding::upstream_reply reply;
        reply.m_status = 200;
        reply.m_body = from.m_entry.m_service;
        return reply;
    }

    void end_after(duration delay, const simulated_attempt& attempt, const simulated_outcome& outcome)
    {
        m_queue.after(delay,
                      [attempt, outcome]
                      {
                          // a reply can't cross a network partition; the node's own timeout ends the attempt
                          const bool is_own =
                              std::holds_alternative<forwarding::attempt_failure>(outcome.m_result);
                          if (is_own || attempt.m_reaches())
                          {
                              attempt.m_on_end(outcome);
                          }
                      });
    }

    event_queue& m_queue;
    simulated_store& m_store;
    fleet_events& m_events;
    random_source m_random;
    std::map<endpoint, process> m_processes;
    std::set<std::pair<std::string, std::string>> m_visited; ///< services that each request has reached
    std::uint64_t m_last_number{0};
};

} // namespace teasellead::testing
