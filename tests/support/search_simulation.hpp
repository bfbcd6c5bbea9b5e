#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/routing/gather.hpp"

namespace teasellead::testing
{

/// actions in the order of their simulated time; those of one time run in the order of scheduling
class event_queue
{
  public:
    using action = std::function<void()>;

    [[nodiscard]] time_point now() const noexcept
    {
        return m_clock.now();
    }

    void schedule(time_point when, action run)
    {
        m_events.push(std::make_shared<event>(event{when, m_scheduled++, std::move(run)}));
    }

    /// runs until no action is left
    void run()
    {
        while (!m_events.empty())
        {
            const std::shared_ptr<event> next = m_events.top();
            m_events.pop();
            m_clock.set(std::max(m_clock.now(), next->m_when));
            next->m_run();
        }
    }

  private:
    struct event
    {
        time_point m_when;
        std::uint64_t m_number;
        action m_run;
    };

    struct is_later
    {
        bool operator()(const std::shared_ptr<event>& lhs, const std::shared_ptr<event>& rhs) const
        {
            return std::pair{lhs->m_when, lhs->m_number} > std::pair{rhs->m_when, rhs->m_number};
        }
    };

    manual_clock m_clock;
    std::uint64_t m_scheduled{0};
    std::priority_queue<std::shared_ptr<event>, std::vector<std::shared_ptr<event>>, is_later> m_events;
};

/// a sub-request as a simulated upstream receives it
struct sub_request
{
    std::string m_request_id;
    const shard_target* m_target;
    shard_map_id m_shard_map;
    snapshot_id m_snapshot;
    endpoint m_upstream;
    attempt_kind m_kind;
    time_point m_arrival;
};

/// reply or failure that arrives for a sub-request after a delay; there may be none, one or several
struct delivery
{
    duration m_delay;
    std::variant<upstream_reply, attempt_failure> m_content;
};

/// behaviour of all simulated upstreams
using upstream_model = std::function<std::vector<delivery>(const sub_request&)>;

/// record of a finished search
struct search_record
{
    std::string m_request_id;
    gather_result m_result;
    shared_plan m_plan;
    time_point m_started;
    time_point m_ended;
    time_point m_answer_by;
    std::size_t m_attempts;
};

/*!
@brief runs searches against simulated upstreams on a manual clock

Checks how the search uses its attempts: each is numbered in order, ends exactly once, and none is sent after
the end of the search. Violations are collected in @ref violations.
*/
class search_simulation
{
  public:
    using on_finished = std::function<void(const search_record&)>;

    search_simulation(gather_context context, upstream_model model, on_finished finished)
        : m_context(context), m_model(std::move(model)), m_finished(std::move(finished))
    {
    }

    [[nodiscard]] event_queue& events() noexcept
    {
        return m_events;
    }

    [[nodiscard]] const shared_revision& revision() const noexcept
    {
        return m_revision;
    }

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept
    {
        return m_violations;
    }

    void set_revision(shared_revision revision)
    {
        m_revision = std::move(revision);
    }

    /// starts a search now, on the current revision
    void search(const std::string& request_id, const std::string& path, duration time_limit)
    {
        const route& requested = *m_revision->configuration().find_route(path);
        search(request_id, std::make_shared<const query_plan>(m_revision, requested),
               m_events.now() + time_limit);
    }

    /// starts a search now, with a plan
    void search(const std::string& request_id, const shared_plan& plan, time_point answer_by)
    {
        auto started = std::make_shared<running>(running{
            request_id, plan, gather{request_id, plan, m_context, answer_by}, m_events.now(), answer_by, {}});
        act(started, started->m_gather.start(m_revision->configuration(), m_events.now()));
    }

  private:
    struct running
    {
        std::string m_request_id;
        shared_plan m_plan;
        gather m_gather;
        time_point m_started;
        time_point m_answer_by;
        std::vector<bool> m_open;
        time_point m_wakeup{};
        std::uint32_t m_wakeups{0};
        bool m_ended{false};
    };

    using shared_running = std::shared_ptr<running>;

    void violate(const running& search, const std::string& what)
    {
        m_violations.push_back(search.m_request_id + ": " + what);
    }

    void act(const shared_running& search, const std::vector<gather_action>& actions)
    {
        for (const gather_action& action : actions)
        {
            std::visit(overloaded{[&](const send_attempt& sent) { send(search, sent); },
                                  [&](const cancel_attempt& cancelled)
                                  {
                                      cancel(*search, cancelled);
                                  }},
                       action);
        }
        if (search->m_gather.finished())
        {
            end(*search);
            return;
        }
        wake_up(search);
    }

    void send(const shared_running& search, const send_attempt& sent)
    {
        if (search->m_ended || sent.attempt() != search->m_open.size())
        {
            violate(*search, "attempt " + std::to_string(sent.attempt()) + " out of order");
            return;
        }
        search->m_open.push_back(true);
        const query_plan& plan = *search->m_plan;
        const sub_request request{search->m_request_id, &plan.targets()[sent.target()], plan.shard_map(),
                                  plan.snapshot(),      sent.chosen().upstream(),       sent.kind(),
                                  m_events.now()};
        for (delivery& arriving : m_model(request))
        {
            m_events.schedule(m_events.now() + arriving.m_delay, [this, search, attempt = sent.attempt(),
                                                                  content = std::move(arriving.m_content)]
                              { deliver(search, attempt, content); });
        }
    }

    void cancel(running& search, const cancel_attempt& cancelled)
    {
        if (cancelled.attempt() >= search.m_open.size() || !search.m_open[cancelled.attempt()])
        {
            violate(search, "attempt " + std::to_string(cancelled.attempt()) + " cancelled after its end");
            return;
        }
        search.m_open[cancelled.attempt()] = false;
    }

    void deliver(const shared_running& search, attempt_id attempt,
                 const std::variant<upstream_reply, attempt_failure>& content)
    {
        const bool was_open = search->m_open[attempt];
        search->m_open[attempt] = false;
        const configuration& current = m_revision->configuration();
        const std::vector<gather_action> actions = std::visit(
            overloaded{[&](const upstream_reply& reply)
                       { return search->m_gather.on_reply(attempt, reply, current, m_events.now()); },
                       [&](attempt_failure failure)
                       {
                           return search->m_gather.on_failure(attempt, failure, current, m_events.now());
                       }},
            content);
        if (!was_open)
        {
            if (!actions.empty())
            {
                violate(*search, "late delivery to attempt " + std::to_string(attempt) + " had an effect");
            }
            return;
        }
        act(search, actions);
    }

    void wake_up(const shared_running& search)
    {
        const time_point next = search->m_gather.next_wakeup();
        if (next == search->m_wakeup)
        {
            return;
        }
        constexpr std::uint32_t max_wakeups = 10000;
        if (++search->m_wakeups > max_wakeups)
        {
            violate(*search, "wakes up without end");
            return;
        }
        search->m_wakeup = next;
        m_events.schedule(next,
                          [this, search]
                          {
                              if (!search->m_ended)
                              {
                                  search->m_wakeup = time_point{};
                                  act(search,
                                      search->m_gather.on_timer(m_revision->configuration(), m_events.now()));
                              }
                          });
    }

    void end(running& search)
    {
        if (search.m_ended)
        {
            return;
        }
        search.m_ended = true;
        for (std::size_t attempt = 0; attempt < search.m_open.size(); ++attempt)
        {
            if (search.m_open[attempt])
            {
                violate(search, "attempt " + std::to_string(attempt) + " hasn't ended");
            }
        }
        m_finished(search_record{search.m_request_id, search.m_gather.result(), search.m_plan,
                                 search.m_started, m_events.now(), search.m_answer_by,
                                 search.m_gather.attempts()});
    }

    event_queue m_events;
    gather_context m_context;
    upstream_model m_model;
    on_finished m_finished;
    shared_revision m_revision{std::make_shared<const configuration_revision>()};
    std::vector<std::string> m_violations;
};

} // namespace teasellead::testing
