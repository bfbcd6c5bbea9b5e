#pragma once

#include "booking_simulation.hpp"

namespace booking_simulation
{

inline constexpr milliseconds send_window{80};
inline constexpr milliseconds answer_window{120};
inline constexpr milliseconds forward_window{150};

inline void simulation::start_node(std::size_t index)
{
    node& started = m_nodes[index];
    const bool keeps_memory = m_defect == defect::hashes_for_an_owner && started.m_memory != nullptr;
    std::unique_ptr<request_memory> kept = keeps_memory ? std::move(started.m_memory) : nullptr;
    started = node{};
    started.m_alive = true;
    started.m_incarnation = ++m_next_number;
    const std::uint64_t named = m_defect == defect::ignores_incarnation ? 1 : started.m_incarnation;
    const std::string secret =
        digest_hex(std::to_string(m_defect == defect::ignores_incarnation ? index : m_random.below(~0ULL)));
    started.m_issuer = std::make_unique<request_id_issuer>(
        address_of(index), named, secret, m_defect == defect::ignores_incarnation ? m_begin : m_queue.now(),
        id_lifetime);
    const request_memory_settings bounds{hashes() ? caller_count * 10 : 3, 3, 100, 3};
    started.m_memory = keeps_memory ? std::move(kept) : std::make_unique<request_memory>(bounds);
    started.m_random = std::make_unique<random_source>(m_random.below(~0ULL));
    started.m_table = std::make_unique<upstream_table>(booking_topology::make_table_settings(false));
    started.m_table->set_views({host_view{1, booking_topology::host, {booking_topology::host}}});
    refresh_view(index, started.m_incarnation);
}

inline std::size_t simulation::hashed_owner(const node& self, const std::string& key) const
{
    const auto score = [&key](std::size_t index)
    {
        return rendezvous_score(hash64(key), address_of(index).packed());
    };
    std::size_t best = self.m_view.empty() ? 0 : self.m_view.front();
    for (const std::size_t index : self.m_view)
    {
        best = score(index) > score(best) ? index : best;
    }
    return best;
}

inline void simulation::receive(std::size_t at, const request& wanted, bool forwarded,
                                const answer_function& answer)
{
    node& here = m_nodes[at];
    reach(step::received, at, wanted.m_caller);
    // some requests are refused for another reason, such as an exceeded limit
    const bool limited = !forwarded && chance(0.08);
    if (hashes())
    {
        const std::size_t owner = hashed_owner(here, wanted.m_id);
        if (owner != at && !forwarded)
        {
            forward(at, owner, wanted, answer);
            return;
        }
        const own_request_id key{hash64(wanted.m_id), m_begin + 2 * run_time};
        admit(at, wanted, key, limited, m_queue.now(), answer);
        return;
    }
    const time_point now = m_queue.now();
    std::visit(overloaded{[&](const own_request_id& id)
                          {
                              reach(step::validated, at, wanted.m_caller);
                              at_node(at, here.m_incarnation, thread_delay(),
                                      [=, this](node&) { admit(at, wanted, id, limited, now, answer); });
                          },
                          [&](const foreign_request_id& id)
                          {
                              if (forwarded || limited)
                              {
                                  const bool wrong = m_defect == defect::refuses_limited_as_not_run;
                                  answer(wrong ? verdict::not_run : verdict::may_have_run);
                                  return;
                              }
                              forward(at, id.issuing_host().address() - address_of(0).address(), wanted,
                                      answer);
                          },
                          [&](const refused_request_id& refused)
                          {
                              const bool expired = refused.error() == request_id_error::expired;
                              const bool gone = refused.error() == request_id_error::previous_incarnation;
                              m_tally->m_expired += expired ? 1 : 0;
                              m_tally->m_keeper_gone += gone ? 1 : 0;
                              const bool wrong = expired && m_defect == defect::refuses_expired_as_not_run;
                              answer(wrong ? verdict::not_run : verdict_of(refused.error()));
                          }},
               here.m_issuer->check(wanted.m_id, account, now));
}

inline void simulation::forward(std::size_t at, std::size_t keeper, const request& wanted,
                                const answer_function& answer)
{
    ++m_tally->m_forwarded;
    const std::uint64_t correlation = ++m_next_number;
    const std::uint64_t incarnation = m_nodes[at].m_incarnation;
    m_nodes[at].m_forwards.emplace(correlation, answer);
    const auto conclude = [this, at, incarnation, correlation](duration wait, verdict outcome)
    {
        at_node(at, incarnation, wait,
                [correlation, outcome](node& here)
                {
                    const auto waiting = here.m_forwards.extract(correlation);
                    if (!waiting.empty())
                    {
                        waiting.mapped()(outcome);
                    }
                });
    };
    send(
        [&](duration wait)
        {
            at_node(keeper, std::nullopt, wait,
                    [this, keeper, wanted, conclude](node&)
                    {
                        receive(keeper, wanted, true,
                                [this, conclude](verdict outcome)
                                { send([&](duration back) { conclude(back, outcome); }); });
                    });
        });
    const bool wrong = m_defect == defect::refuses_unreachable_as_not_run;
    conclude(forward_window, wrong ? verdict::not_run : verdict::may_have_run);
}

inline void simulation::admit(std::size_t at, const request& wanted, const own_request_id& id, bool limited,
                              time_point checked, const answer_function& answer)
{
    node& here = m_nodes[at];
    if (m_defect == defect::admits_every_repeat)
    {
        start(at, wanted, id, answer);
        return;
    }
    if (limited && m_defect == defect::forgets_refusals)
    {
        answer(verdict::not_run);
        return;
    }
    const std::string fingerprint =
        request_fingerprint(account, booking_topology::route_path, std::to_string(wanted.m_caller));
    const auto listener = [answer](const final_response& outcome)
    {
        answer(outcome.verdict());
    };
    std::visit(overloaded{[&](const request_admitted&)
                          {
                              if (limited)
                              {
                                  here.m_memory->complete(id, final_response{429, {}, verdict::not_run, {}});
                                  answer(verdict::not_run);
                                  return;
                              }
                              start(at, wanted, id, answer);
                          },
                          [&](const request_running&) { ++m_tally->m_waited; },
                          [&](const request_ended& ended)
                          {
                              ++m_tally->m_answered_from_memory;
                              answer(ended.response().verdict());
                          },
                          [&](const answer_dropped& dropped) { answer(dropped.verdict()); },
                          [&](const admission_refused& refused)
                          {
                              const bool full = refused.error() == admission_error::memory_full;
                              m_tally->m_memory_full += full ? 1 : 0;
                              answer(refused.verdict());
                          }},
               here.m_memory->admit(id, fingerprint, listener, checked));
}

inline void simulation::start(std::size_t at, const request& wanted, const own_request_id& id,
                              const answer_function& answer)
{
    node& here = m_nodes[at];
    reach(step::admitted, at, wanted.m_caller);
    const time_point now = m_queue.now();
    const auto running = std::make_shared<running_request>(running_request{wanted, id, nullptr, answer});
    running->m_attempt = std::make_unique<single_attempt>(
        single_request{wanted.m_id, m_plan, 0, now + send_window, now + answer_window}, *here.m_table,
        *here.m_random);
    at_node(at, here.m_incarnation, thread_delay(),
            [this, at, running](node&)
            { execute(at, running, running->m_attempt->start(m_revision->configuration(), m_queue.now())); });
}

/// carries out the next action of the state machine
inline void simulation::execute(std::size_t at, const shared_running& running,
                                const std::optional<single_send>& action)
{
    const std::uint64_t incarnation = m_nodes[at].m_incarnation;
    if (running->m_attempt->finished())
    {
        finish(at, running);
        return;
    }
    if (action)
    {
        reach(step::chosen, at, running->m_request.m_caller);
        at_node(at, incarnation, thread_delay(),
                [this, at, running, action](node&) { hand_over(at, running, *action); });
    }
    const duration wait = running->m_attempt->next_wakeup() - m_queue.now();
    at_node(at, incarnation, std::max(wait, duration::zero()),
            [this, at, running](node&) { wake(at, running); });
}

inline void simulation::wake(std::size_t at, const shared_running& running)
{
    if (!running->m_attempt->finished() && m_queue.now() >= running->m_attempt->next_wakeup())
    {
        execute(at, running, running->m_attempt->on_timer(m_revision->configuration(), m_queue.now()));
    }
}

inline void simulation::hand_over(std::size_t at, const shared_running& running, const single_send& action)
{
    const bool late = m_queue.now() >= action.send_by();
    if (late)
    {
        ++m_tally->m_withheld;
        running->m_attempt->on_not_sent(action.attempt(), m_queue.now());
        if (running->m_attempt->finished())
        {
            finish(at, running);
        }
        if (m_defect != defect::reports_paused_as_not_run)
        {
            return;
        }
    }
    const std::size_t chosen = action.chosen().upstream().address() - booking_topology::upstream(0).address();
    const std::uint64_t incarnation = m_nodes[at].m_incarnation;
    reach(step::handed_over, at, running->m_request.m_caller);
    m_queue.after(network_delay(), [=, this, attempt = action.attempt()]
                  { run_at_upstream(at, incarnation, running, attempt, chosen); });
}

inline void simulation::run_at_upstream(std::size_t at, std::uint64_t incarnation,
                                        const shared_running& running, attempt_id attempt, std::size_t chosen)
{
    const auto fails = [=, this](attempt_failure failure)
    {
        fail(at, incarnation, running, attempt, failure);
    };
    if (!m_upstreams[chosen].m_alive)
    {
        fails(attempt_failure::not_connected);
        return;
    }
    if (chance(0.12))
    {
        fails(chance(0.5) ? attempt_failure::shed : attempt_failure::draining);
        return;
    }
    if (chance(0.04))
    {
        fails(attempt_failure::lost);
        return;
    }
    const std::uint64_t started = m_upstreams[chosen].m_incarnation;
    m_queue.after(delay(0, 10),
                  [=, this]
                  {
                      if (m_upstreams[chosen].m_incarnation != started)
                      {
                          fails(attempt_failure::lost);
                          return;
                      }
                      const request& wanted = running->m_request;
                      ++m_tally->m_ran;
                      ++m_runs_by_id[wanted.m_id];
                      if (++m_runs_by_booking[wanted.m_caller] > 1)
                      {
                          violation("booking " + std::to_string(wanted.m_caller) + " ran twice");
                      }
                      reach(step::ran, at, wanted.m_caller);
                      if (m_upstreams[chosen].m_incarnation != started || chance(0.1))
                      {
                          ++m_tally->m_lost_after_running;
                          fails(attempt_failure::lost);
                          return;
                      }
                      at_node(at, incarnation, chance(0.1) ? delay(100, 400) : network_delay(),
                              [=, this](node&)
                              {
                                  const bool was_finished = running->m_attempt->finished();
                                  running->m_attempt->on_reply(
                                      attempt, booking_topology::make_reply(wanted.m_id, "booked"),
                                      m_queue.now());
                                  m_tally->m_late_replies += was_finished ? 1 : 0;
                                  reach(step::replied, at, wanted.m_caller);
                                  finish(at, running);
                              });
                  });
}

inline void simulation::fail(std::size_t at, std::uint64_t incarnation, const shared_running& running,
                             attempt_id attempt, attempt_failure failure)
{
    at_node(at, incarnation, network_delay(),
            [=, this](node&)
            {
                const bool resends =
                    failure == attempt_failure::lost && m_defect == defect::resends_after_loss;
                const auto taken = resends ? attempt_failure::not_connected : failure;
                const auto action = running->m_attempt->on_failure(
                    attempt, taken, m_revision->configuration(), m_queue.now());
                execute(at, running, action);
            });
}

/// records the outcome and reports it to the caller
inline void simulation::finish(std::size_t at, const shared_running& running)
{
    const single_result& result = running->m_attempt->result();
    const verdict outcome = verdict_of(result);
    const auto* const unknown = std::get_if<single_unknown>(&result);
    const bool timed_out = unknown != nullptr && unknown->failure() == attempt_failure::timed_out;
    if (timed_out && m_defect == defect::resends_after_timeout)
    {
        start(at, running->m_request, running->m_id, running->m_answer);
        return;
    }
    m_nodes[at].m_memory->complete(running->m_id, final_response{200, {}, outcome, {}});
    reach(step::completed, at, running->m_request.m_caller);
    at_node(at, m_nodes[at].m_incarnation, thread_delay(),
            [running, outcome](node&) { running->m_answer(outcome); });
}

} // namespace booking_simulation
