#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "admission.hpp"
#include "event_queue.hpp"
#include "fleet_events.hpp"
#include "node_state.hpp"
#include "simulated_source.hpp"
#include "simulated_upstreams.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead::testing
{

/// one request of a caller at a simulated process
struct simulated_request
{
    std::size_t m_event{0}; ///< index in the recorded requests
    std::string m_target;
};

/// dependencies of a simulated process
struct process_world
{
    event_queue& m_queue;
    simulated_store& m_store;
    simulated_upstreams& m_upstreams;
    fleet_events& m_events;
    std::function<void(std::size_t node, const std::vector<outgoing_message>&)> m_send;
    std::function<bool(std::size_t node, const endpoint& upstream)> m_reaches;
};

/// one incarnation of a node: runs the production decision code in simulated time
class simulated_process
{
  public:
    simulated_process(process_world& world, process_place& place,
                      const runtime::forwarding_settings& settings, std::size_t node,
                      std::uint64_t incarnation)
        : m_world(world), m_place(place), m_node(node), m_life(incarnation),
          m_requests(m_log, world.m_queue.clock()), m_platform(settings, world.m_queue, world.m_store, place),
          m_state(m_platform, m_loop, world.m_queue.clock(), m_requests, incarnation,
                  {[](const forwarding::upstream& target, std::size_t connections)
                   { return target.in_flight() < connections; },
                   [](const forwarding::shared_route_table&) {
                   }}),
          m_admission(m_state.configuration_lease())
    {
        tick();
    }

    simulated_process(const simulated_process&) = delete;
    simulated_process& operator=(const simulated_process&) = delete;

    [[nodiscard]] const runtime::node_state& state() const noexcept
    {
        return m_state;
    }

    /// begins a planned stop; callers are directed to other nodes from now on
    void leave()
    {
        m_is_leaving = true;
        m_world.m_send(m_node, m_state.leave());
    }

    [[nodiscard]] bool takes_callers() const
    {
        return !m_is_leaving && m_state.is_ready();
    }

    void on_message(const peer_message& message)
    {
        m_world.m_send(m_node, m_state.on_message(message));
        on_decisions();
    }

    /// processes a caller's request
    void take(const simulated_request& request)
    {
        request_event& event = event_of(request);
        runtime::http_request received;
        received.m_method = "GET";
        received.m_target = request.m_target;
        received.m_fields = {{"Host", "callers"}};
        const runtime::request_metadata terms{event.m_id, std::nullopt, event.m_key};
        runtime::admission_result decided =
            m_admission.decide(std::move(received), terms, m_state.table(), m_world.m_queue.now());
        std::visit(overloaded{[&](const runtime::rejection& rejected)
                              {
                                  constexpr unsigned unavailable = 503;
                                  end(request,
                                      rejected.m_response.m_status == unavailable ? request_end::refused
                                                                                  : request_end::denied,
                                      rejected.m_reason);
                              },
                              [&](runtime::admitted_request& admitted)
                              {
                                  limit(request, std::move(admitted));
                              }},
                   decided);
    }

  private:
    static constexpr duration tick_period = std::chrono::milliseconds{100};
    static constexpr duration waiting_check = std::chrono::milliseconds{20};
    static constexpr duration linger = std::chrono::milliseconds{300};

    /// an admitted request with its attempts
    struct running_request
    {
        running_request(simulated_request request, runtime::admitted_request admitted,
                        forwarding::dispatch_context& context, time_point now)
            : m_request(std::move(request)), m_admitted(std::move(admitted)),
              m_dispatch(m_admitted.m_dispatch, context, now)
        {
        }

        simulated_request m_request;
        runtime::admitted_request m_admitted;
        forwarding::dispatch m_dispatch;
        std::set<forwarding::attempt_number> m_attempts; ///< attempts in flight
        bool m_is_answered{false};
    };

    using shared_request = std::shared_ptr<running_request>;

    [[nodiscard]] request_event& event_of(const simulated_request& request)
    {
        return m_world.m_events.m_requests.at(request.m_event);
    }

    /// runs an action later, if this incarnation still runs, once the process isn't stalled
    void at(time_point time, std::function<void()> action)
    {
        const auto if_running = [alive = std::weak_ptr<int>{m_alive}, action = std::move(action)]
        {
            if (!alive.expired())
            {
                action();
            }
        };
        m_world.m_queue.at(time,
                           [this, alive = std::weak_ptr<int>{m_alive}, if_running]
                           {
                               if (!alive.expired())
                               {
                                   m_place.when_awake(if_running);
                               }
                           });
    }

    void tick()
    {
        m_world.m_send(m_node, m_state.on_tick(m_is_leaving));
        on_decisions();
        at(m_world.m_queue.now() + tick_period, [this] { tick(); });
    }

    void end(const simulated_request& request, request_end how, std::string_view reason)
    {
        request_event& event = event_of(request);
        event.m_end = how;
        event.m_reason = reason;
        event.m_ended = m_world.m_queue.now();
    }

    void limit(const simulated_request& request, runtime::admitted_request admitted)
    {
        request_event& event = event_of(request);
        event.m_version = admitted.m_table->version();
        event.m_process = m_life;
        event.m_admitted = m_world.m_queue.now();
        if (admitted.m_dispatch.m_scatter)
        {
            event.m_shards = admitted.m_dispatch.m_services;
        }
        const quota_ticket ticket = ++m_last_ticket;
        const quota_answer answer =
            m_state.quotas().request(admitted.m_account, ticket, m_world.m_queue.now());
        m_world.m_send(m_node, m_state.take_messages());
        std::visit(overloaded{[&](const quota_granted&) { start(request, std::move(admitted)); },
                              [&](const quota_refused&) { end(request, request_end::refused, "over_limit"); },
                              [&](const quota_pending&)
                              {
                                  m_waiting.emplace(ticket, std::pair{request, std::move(admitted)});
                                  watch_waiting();
                              }},
                   answer);
    }

    void watch_waiting()
    {
        if (m_is_watching || !m_state.quotas().has_waiting())
        {
            return;
        }
        m_is_watching = true;
        at(m_world.m_queue.now() + waiting_check,
           [this]
           {
               m_is_watching = false;
               m_state.quotas().on_tick(m_world.m_queue.now());
               m_world.m_send(m_node, m_state.take_messages());
               on_decisions();
               watch_waiting();
           });
    }

    void on_decisions()
    {
        for (const quota_decision& decision : m_state.quotas().take_decisions())
        {
            const auto found = m_waiting.find(decision.m_ticket);
            if (found == m_waiting.end())
            {
                continue;
            }
            auto [request, admitted] = std::move(found->second);
            m_waiting.erase(found);
            if (decision.m_is_granted)
            {
                start(request, std::move(admitted));
            }
            else
            {
                end(request, request_end::refused, "over_limit");
            }
        }
    }

    void start(const simulated_request& request, runtime::admitted_request admitted)
    {
        const auto running = std::make_shared<running_request>(
            request, std::move(admitted), m_state.dispatch_context(), m_world.m_queue.now());
        execute(running, running->m_dispatch.start(m_world.m_queue.now()));
    }

    void execute(const shared_request& running, const std::vector<forwarding::dispatch_action>& actions)
    {
        for (const forwarding::dispatch_action& action : actions)
        {
            std::visit(overloaded{[&](const forwarding::send_attempt& each) { send(running, each); },
                                  [&](const forwarding::release_attempt& each)
                                  {
                                      abandon_later(running, each.m_attempt);
                                  }},
                       action);
        }
        m_world.m_send(m_node, m_state.take_messages());
        if (running->m_dispatch.is_finished())
        {
            finish(running);
            return;
        }
        if (running->m_dispatch.next_wakeup() != time_point::max())
        {
            at(running->m_dispatch.next_wakeup(),
               [this, running]
               {
                   const time_point now = m_world.m_queue.now();
                   if (!running->m_is_answered && now >= running->m_dispatch.next_wakeup())
                   {
                       execute(running, running->m_dispatch.on_timer(now));
                   }
               });
        }
    }

    void send(const shared_request& running, const forwarding::send_attempt& action)
    {
        const time_point now = m_world.m_queue.now();
        const forwarding::attempt_number number = action.m_attempt;
        running->m_attempts.insert(number);
        if (!m_state.configuration_lease().is_valid(now) ||
            now >= running->m_admitted.m_dispatch.m_response_deadline)
        {
            at(now,
               [this, running, number] { on_end(running, number, {forwarding::attempt_failure::not_sent}); });
            return;
        }
        const request_event& event = event_of(running->m_request);
        const endpoint address = action.m_upstream->entry().m_address;
        const auto on_end =
            [this, alive = std::weak_ptr<int>{m_alive}, running, number](const simulated_outcome& outcome)
        {
            if (!alive.expired())
            {
                at(m_world.m_queue.now(),
                   [this, running, number, outcome] { this->on_end(running, number, outcome); });
            }
        };
        m_world.m_upstreams.send(
            {event.m_id, event.m_account, action.m_upstream->entry().m_instance, address, m_node, m_life,
             event.m_sent, event.m_crashes_upstreams,
             [&world = m_world, node = m_node, address] { return world.m_reaches(node, address); }, on_end});
    }

    void on_end(const shared_request& running, forwarding::attempt_number attempt,
                const simulated_outcome& outcome)
    {
        if (running->m_attempts.erase(attempt) == 0)
        {
            return;
        }
        const time_point now = m_world.m_queue.now();
        take_notice(*running, attempt, outcome, now);
        execute(running, std::visit(overloaded{[&](const forwarding::upstream_reply& reply)
                                               { return running->m_dispatch.on_reply(attempt, reply, now); },
                                               [&](forwarding::attempt_failure failure)
                                               {
                                                   return running->m_dispatch.on_failure(attempt, failure,
                                                                                         now);
                                               }},
                                    outcome.m_result));
    }

    void take_notice(running_request& running, forwarding::attempt_number attempt,
                     const simulated_outcome& outcome, time_point now)
    {
        const forwarding::upstream_notice& notice = outcome.m_notice;
        running.m_dispatch.on_notice(attempt, notice, now);
        if (!notice.is_request())
        {
            return;
        }
        m_world.m_events.m_notices.push_back(
            {m_node, m_life, running.m_dispatch.upstream_of(attempt).entry().m_instance, notice.m_is_leaving,
             outcome.m_answered, now, notice.m_pause.value_or(std::chrono::milliseconds{0})});
    }

    void abandon_later(const shared_request& running, forwarding::attempt_number attempt)
    {
        at(m_world.m_queue.now() + linger,
           [this, running, attempt]
           {
               if (running->m_attempts.erase(attempt) > 0)
               {
                   running->m_dispatch.on_abandoned(attempt, m_world.m_queue.now());
               }
           });
    }

    void finish(const shared_request& running)
    {
        if (running->m_is_answered)
        {
            return;
        }
        running->m_is_answered = true;
        request_event& event = event_of(running->m_request);
        const request_end how = std::visit(
            overloaded{[](const forwarding::forwarded& result)
                       { return result.m_reply.is_success() ? request_end::served : request_end::failed; },
                       [&event](const forwarding::gathered& result)
                       {
                           for (const forwarding::upstream_reply& part : result.m_shard_replies)
                           {
                               event.m_parts.push_back(part.m_body);
                           }
                           event.m_missing = result.m_missing;
                           return request_end::served;
                       },
                       [](const forwarding::unanswered& result)
                       {
                           return result.m_verdict == verdict::not_run ? request_end::refused
                                                                       : request_end::failed;
                       }},
            running->m_dispatch.result());
        end(running->m_request, how, reason_of(running->m_dispatch.result()));
        const std::set<forwarding::attempt_number> left = running->m_attempts;
        for (const forwarding::attempt_number attempt : left)
        {
            abandon_later(running, attempt);
        }
    }

    static std::string_view reason_of(const forwarding::dispatch_result& result)
    {
        const auto* const none = std::get_if<forwarding::unanswered>(&result);
        return none == nullptr ? std::string_view{} : forwarding::to_string(none->m_reason);
    }

    process_world& m_world;
    process_place& m_place;
    std::size_t m_node;
    std::uint64_t m_life;
    std::shared_ptr<int> m_alive{std::make_shared<int>(0)};
    runtime::asio::io_context m_loop{1}; ///< unused: the source has no sockets
    decision_log m_log{log_format::json, log_level::off};
    runtime::request_log m_requests;
    simulated_deployment m_platform;
    runtime::node_state m_state;
    runtime::request_admission m_admission;
    std::map<quota_ticket, std::pair<simulated_request, runtime::admitted_request>> m_waiting;
    quota_ticket m_last_ticket{0};
    bool m_is_watching{false};
    bool m_is_leaving{false};
};

} // namespace teasellead::testing
