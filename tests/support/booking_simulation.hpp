#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "booking_faults.hpp"
#include "booking_topology.hpp"
#include "event_queue.hpp"
#include "teasellead/kernel/fingerprint.hpp"
#include "teasellead/kernel/hashing.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/routing/request_id.hpp"
#include "teasellead/routing/request_memory.hpp"
#include "teasellead/routing/single_attempt.hpp"

namespace booking_simulation
{

using namespace teasellead;
using std::chrono::milliseconds;

inline constexpr std::size_t node_count = 4;
inline constexpr std::uint32_t upstream_count = 3;
inline constexpr std::size_t caller_count = 12;
inline constexpr milliseconds id_lifetime{1500};
inline constexpr milliseconds run_time{30000};
inline constexpr const char* account = "school";

/// simulates hosts, upstreams and callers of bookings in one thread, with random faults from a seed
class simulation
{
  public:
    simulation(std::uint64_t seed, defect injected, tally& counted)
        : m_random(seed), m_defect(injected), m_tally(&counted), m_seed(seed),
          m_revision(booking_topology::make_revision(upstream_count, upstream_limits{4, 40, 1})),
          m_plan(booking_topology::make_plan(m_revision)), m_nodes(node_count), m_upstreams(upstream_count),
          m_callers(caller_count)
    {
        for (std::size_t index = 0; index < node_count; ++index)
        {
            start_node(index);
        }
        for (std::size_t index = 0; index < caller_count; ++index)
        {
            m_queue.after(delay(0, 300), [this, index] { obtain_id(index); });
        }
    }

    void run()
    {
        m_queue.drain_until(m_queue.now() + run_time);
        m_tally->m_bookings += caller_count;
        for (const auto& [id, booking] : m_refused)
        {
            if (m_runs_by_id[id] > 0)
            {
                violation("booking " + std::to_string(booking) + " was told not_run and ran");
            }
        }
    }

  private:
    using answer_function = std::function<void(verdict)>;

    struct request
    {
        std::size_t m_caller;
        std::string m_id;
    };

    struct running_request
    {
        request m_request;
        own_request_id m_id;
        std::unique_ptr<single_attempt> m_attempt;
        answer_function m_answer;
    };

    struct node
    {
        bool m_alive{false};
        std::uint64_t m_incarnation{0};
        time_point m_paused_until;
        std::unique_ptr<request_id_issuer> m_issuer;
        std::unique_ptr<request_memory> m_memory;
        std::unique_ptr<upstream_table> m_table;
        std::unique_ptr<random_source> m_random;
        std::map<std::uint64_t, answer_function> m_forwards;
        std::vector<std::size_t> m_view;
    };

    struct upstream
    {
        bool m_alive{true};
        std::uint64_t m_incarnation{1};
    };

    struct caller
    {
        std::string m_id;
        std::uint64_t m_turn{0}; ///< number of the current request; responses to earlier ones are ignored
        int m_repeats{0};
        int m_rounds{0};
        bool m_done{false};
    };

    using shared_running = std::shared_ptr<running_request>;

    // randomness

    duration delay(std::uint64_t from, std::uint64_t to)
    {
        return milliseconds{from + m_random.below(to - from + 1)};
    }

    bool chance(double probability)
    {
        return m_random.unit() < probability;
    }

    /// delay of a message: a few milliseconds, rarely seconds
    duration network_delay()
    {
        return chance(0.03) ? delay(200, 2500) : delay(0, 4);
    }

    /// delay before the next step of a thread; rarely, only this thread is paused before it
    duration thread_delay()
    {
        return chance(0.02) ? delay(50, 2000) : delay(0, 1);
    }

    /// delivers a message never, once or twice
    template <class Function>
    void send(Function deliver)
    {
        if (chance(0.05))
        {
            return;
        }
        deliver(network_delay());
        if (chance(0.05))
        {
            deliver(network_delay());
        }
    }

    [[nodiscard]] bool hashes() const
    {
        return m_defect == defect::hashes_for_an_owner || m_defect == defect::hashes_and_restarts;
    }

    // nodes and upstreams

    static endpoint address_of(std::size_t index)
    {
        return endpoint{0x0A000001 + static_cast<std::uint32_t>(index), 7100};
    }

    void start_node(std::size_t index);

    /// updates the list of live nodes of one node, at random intervals
    void refresh_view(std::size_t index, std::uint64_t incarnation)
    {
        at_node(index, incarnation, delay(20, 200),
                [this, index, incarnation](node& self)
                {
                    self.m_view.clear();
                    for (std::size_t other = 0; other < node_count; ++other)
                    {
                        if (m_nodes[other].m_alive)
                        {
                            self.m_view.push_back(other);
                        }
                    }
                    refresh_view(index, incarnation);
                });
    }

    /// runs an action at a node unless it was killed; a paused node runs it after the pause
    void at_node(std::size_t index, std::optional<std::uint64_t> incarnation, duration wait,
                 std::function<void(node&)> run)
    {
        m_queue.after(wait,
                      [this, index, incarnation, run]
                      {
                          node& here = m_nodes[index];
                          if (!here.m_alive || (incarnation && here.m_incarnation != *incarnation))
                          {
                              return;
                          }
                          if (m_queue.now() < here.m_paused_until)
                          {
                              at_node(index, here.m_incarnation, here.m_paused_until - m_queue.now(), run);
                              return;
                          }
                          run(here);
                      });
    }

    void kill_upstream(std::size_t index)
    {
        ++m_upstreams[index].m_incarnation;
        m_upstreams[index].m_alive = false;
        m_queue.after(delay(10, 200), [this, index] { m_upstreams[index].m_alive = true; });
    }

    /// injects a random fault, with some probability, when a request reaches a step at a node
    void reach(step at, std::size_t index, std::size_t from)
    {
        if (!chance(0.06))
        {
            return;
        }
        const auto hit = static_cast<fault>(m_random.below(faults));
        ++m_tally->m_faults[static_cast<std::size_t>(at)][static_cast<std::size_t>(hit)];
        switch (hit)
        {
        case fault::node_killed:
            m_nodes[index].m_alive = false;
            m_queue.after(delay(5, 300), [this, index] { start_node(index); });
            break;
        case fault::node_paused:
            m_nodes[index].m_paused_until = m_queue.now() + delay(20, 3000);
            break;
        case fault::upstream_killed:
            kill_upstream(m_random.below(upstream_count));
            break;
        case fault::caller_cut:
            repeat(from, m_callers[from].m_turn);
            break;
        }
    }

    // callers

    void obtain_id(std::size_t from)
    {
        const std::uint64_t turn = ++m_callers[from].m_turn;
        const std::size_t at = m_random.below(node_count);
        at_node(at, std::nullopt, network_delay(),
                [this, from, turn, at](node& here)
                {
                    const std::string text = here.m_issuer->issue(account, m_queue.now());
                    reach(step::id_issued, at, from);
                    m_queue.after(network_delay(),
                                  [this, from, turn, text]
                                  {
                                      if (m_callers[from].m_turn == turn)
                                      {
                                          m_callers[from].m_id = text;
                                          ask(from);
                                      }
                                  });
                });
        m_queue.after(milliseconds{400}, [this, from, turn] { repeat(from, turn); });
    }

    void ask(std::size_t from)
    {
        caller& asking = m_callers[from];
        const std::uint64_t turn = ++asking.m_turn;
        const request wanted{from, asking.m_id};
        const std::size_t at = m_random.below(node_count);
        send(
            [&](duration wait)
            {
                at_node(at, std::nullopt, wait,
                        [this, at, wanted, turn](node&)
                        {
                            receive(at, wanted, false,
                                    [this, wanted, turn](verdict outcome)
                                    { answer_caller(wanted, turn, outcome); });
                        });
            });
        m_queue.after(milliseconds{300}, [this, from, turn] { repeat(from, turn); });
    }

    /// repeats the request of a caller that received no response, perhaps through another host
    void repeat(std::size_t from, std::uint64_t turn)
    {
        caller& waiting = m_callers[from];
        if (waiting.m_done || waiting.m_turn != turn)
        {
            return;
        }
        ++waiting.m_turn;
        if (waiting.m_id.empty())
        {
            obtain_id(from);
            return;
        }
        if (++waiting.m_repeats > 12)
        {
            waiting.m_done = true;
            return;
        }
        const std::uint64_t next = waiting.m_turn;
        m_queue.after(delay(1, 400),
                      [this, from, next]
                      {
                          if (!m_callers[from].m_done && m_callers[from].m_turn == next)
                          {
                              ask(from);
                          }
                      });
    }

    void answer_caller(const request& asked, std::uint64_t turn, verdict outcome)
    {
        m_queue.after(network_delay(), [this, asked, turn, outcome] { hear(asked, turn, outcome); });
    }

    void hear(const request& asked, std::uint64_t turn, verdict outcome)
    {
        caller& waiting = m_callers[asked.m_caller];
        if (waiting.m_done || waiting.m_turn != turn)
        {
            return;
        }
        switch (outcome)
        {
        case verdict::ran:
            ++m_tally->m_told_ran;
            waiting.m_done = true;
            if (m_runs_by_id[asked.m_id] != 1)
            {
                violation("booking " + std::to_string(asked.m_caller) + " was told ran without a run");
            }
            break;
        case verdict::may_have_run:
            ++m_tally->m_told_may_have_run;
            repeat(asked.m_caller, turn);
            break;
        case verdict::not_run:
            ++m_tally->m_told_not_run;
            m_refused.emplace(asked.m_id, asked.m_caller);
            waiting.m_done = ++waiting.m_rounds > 3;
            waiting.m_id.clear();
            repeat(asked.m_caller, turn);
            break;
        }
    }

    void violation(const std::string& text)
    {
        m_tally->m_violations.push_back("seed " + std::to_string(m_seed) + ": " + text);
    }

    // steps of a host, in which it calls the decision logic as the entry package does; see
    // docs/at-most-once.md

    void receive(std::size_t at, const request& wanted, bool forwarded, const answer_function& answer);
    void forward(std::size_t at, std::size_t keeper, const request& wanted, const answer_function& answer);
    void admit(std::size_t at, const request& wanted, const own_request_id& id, bool limited,
               time_point checked, const answer_function& answer);
    void start(std::size_t at, const request& wanted, const own_request_id& id,
               const answer_function& answer);
    void execute(std::size_t at, const shared_running& running, const std::optional<single_send>& action);
    void hand_over(std::size_t at, const shared_running& running, const single_send& action);
    void fail(std::size_t at, std::uint64_t incarnation, const shared_running& running, attempt_id attempt,
              attempt_failure failure);
    void run_at_upstream(std::size_t at, std::uint64_t incarnation, const shared_running& running,
                         attempt_id attempt, std::size_t chosen);
    void finish(std::size_t at, const shared_running& running);
    void wake(std::size_t at, const shared_running& running);
    [[nodiscard]] std::size_t hashed_owner(const node& self, const std::string& key) const;

    teasellead::testing::event_queue m_queue;
    const time_point m_begin{m_queue.now()};
    random_source m_random;
    defect m_defect;
    tally* m_tally;
    std::uint64_t m_seed;
    shared_revision m_revision;
    shared_plan m_plan;
    std::vector<node> m_nodes;
    std::vector<upstream> m_upstreams;
    std::vector<caller> m_callers;
    std::uint64_t m_next_number{1};
    std::map<std::string, std::uint64_t> m_runs_by_id;
    std::map<std::size_t, std::uint64_t> m_runs_by_booking;
    std::map<std::string, std::size_t> m_refused; ///< ids whose callers received not_run, with the booking
};

} // namespace booking_simulation

#include "booking_simulation_host.hpp"
