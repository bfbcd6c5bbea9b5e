#include "teasellead/entry/search_runner.hpp"

#include <optional>
#include <unordered_map>
#include <variant>

#include "detail/result_merger.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/routing/rerun.hpp"

namespace teasellead
{

namespace
{

/// a search in progress and its transfers
class running_search
{
  public:
    running_search(const search_request& request, const shared_plan& plan,
                   const search_runner::dependencies& dependencies, random_source& random)
        : m_request(request), m_plan(plan), m_dependencies(dependencies),
          m_gather(request.m_request_id, plan,
                   gather_context{dependencies.m_upstreams, dependencies.m_hedging, random},
                   request.m_response_deadline)
    {
    }

    search_outcome run()
    {
        execute(m_gather.start(current(), m_dependencies.m_clock.now()));
        while (!m_gather.finished() && !m_quarantined)
        {
            for (const attempt_completion& completion : m_completions->wait(m_gather.next_wakeup()))
            {
                on_completion(completion);
            }
            if (!m_gather.finished() && m_dependencies.m_clock.now() >= m_gather.next_wakeup())
            {
                execute(m_gather.on_timer(current(), m_dependencies.m_clock.now()));
            }
        }
        if (m_quarantined)
        {
            stop_all();
            return *m_quarantined;
        }
        return m_gather.result();
    }

  private:
    struct running_attempt
    {
        transfer_id m_transfer{0};
        endpoint m_upstream;
        shard_key m_shard{};
    };

    [[nodiscard]] const configuration& current()
    {
        m_current = m_dependencies.m_revisions.get();
        return m_current->configuration();
    }

    void on_completion(const attempt_completion& completion)
    {
        const time_point now = m_dependencies.m_clock.now();
        std::visit(overloaded{[&](const upstream_reply& reply)
                              {
                                  // a body that can't be merged counts as a failed attempt
                                  if (!detail::has_results(reply.body()))
                                  {
                                      on_attempt_failed(completion.m_attempt, attempt_failure::invalid_reply,
                                                        now);
                                      return;
                                  }
                                  end_attempt(completion.m_attempt, attempt_end::replied);
                                  execute(m_gather.on_reply(completion.m_attempt, reply, current(), now));
                              },
                              [&](attempt_failure failure)
                              {
                                  on_attempt_failed(completion.m_attempt, failure, now);
                              }},
                   completion.m_outcome);
    }

    void on_attempt_failed(attempt_id attempt, attempt_failure failure, time_point now)
    {
        log("attempt_failed", {{"attempt", std::uint64_t{attempt}}, {"failure", to_string(failure)}});
        const auto found = m_running.find(attempt);
        if (found == m_running.end())
        {
            // the attempt was cancelled when its completion was already queued
            return;
        }
        if (failure == attempt_failure::lost)
        {
            m_dependencies.m_quarantine.on_upstream_lost(found->second.m_upstream, now);
        }
        end_attempt(attempt, attempt_end::other);
        if (failure == attempt_failure::lost)
        {
            const quarantine_check crashes = m_dependencies.m_quarantine.check(m_request.m_fingerprint, now);
            if (const auto* const quarantined = std::get_if<request_quarantined>(&crashes))
            {
                m_quarantined = *quarantined;
                m_dependencies.m_upstreams.on_failure(found->second.m_upstream, failure, duration::zero(),
                                                      now);
                m_running.erase(attempt);
                return;
            }
        }
        m_running.erase(attempt);
        execute(m_gather.on_failure(attempt, failure, current(), now));
    }

    void execute(const std::vector<gather_action>& actions)
    {
        for (const gather_action& action : actions)
        {
            std::visit(overloaded{[this](const send_attempt& send) { start(send); },
                                  [this](const cancel_attempt& cancel)
                                  {
                                      stop(cancel.attempt());
                                  }},
                       action);
        }
    }

    void start(const send_attempt& action)
    {
        const shard_target& target = m_plan->targets()[action.target()];
        const endpoint upstream = action.chosen().upstream();
        log("route", {{"attempt", std::uint64_t{action.attempt()}},
                      {"kind", to_string(action.kind())},
                      {"service", target.service().name()},
                      {"shard", target.shard().name()},
                      {"upstream", upstream.to_string()}});
        running_attempt& running = m_running[action.attempt()];
        running.m_upstream = upstream;
        running.m_shard = key_of(target);
        m_dependencies.m_quarantine.on_attempt_started(upstream, running.m_shard, m_request.m_fingerprint);
        sub_request request =
            make_sub_request(*m_plan, target, action.chosen(), action.attempt(), action.reply_deadline());
        request.m_request_id = m_request.m_request_id;
        request.m_body = m_request.m_body;
        running.m_transfer = m_dependencies.m_client.send(std::move(request), m_completions);
    }

    void stop(attempt_id attempt)
    {
        const auto found = m_running.find(attempt);
        if (found != m_running.end())
        {
            m_dependencies.m_client.cancel(found->second.m_transfer);
            end_attempt(attempt, attempt_end::other);
            m_running.erase(found);
        }
    }

    /// cancels the running attempts of a search that is put into quarantine
    void stop_all()
    {
        const time_point now = m_dependencies.m_clock.now();
        for (const auto& [attempt, running] : m_running)
        {
            m_dependencies.m_client.cancel(running.m_transfer);
            m_dependencies.m_upstreams.on_cancelled(running.m_upstream, duration::zero(), now);
            end_attempt(attempt, attempt_end::other);
        }
        m_running.clear();
    }

    void end_attempt(attempt_id attempt, attempt_end end)
    {
        const auto found = m_running.find(attempt);
        if (found != m_running.end())
        {
            m_dependencies.m_quarantine.on_attempt_ended(found->second.m_upstream, found->second.m_shard,
                                                         m_request.m_fingerprint, end,
                                                         m_dependencies.m_clock.now());
        }
        if (end == attempt_end::replied)
        {
            m_running.erase(attempt);
        }
    }

    void log(std::string_view event, std::vector<log_field> fields)
    {
        if (m_dependencies.m_log.is_enabled(log_level::info))
        {
            fields.insert(fields.begin(), log_field{"request", m_request.m_request_id});
            m_dependencies.m_log.write(log_level::info, event, fields);
        }
    }

    const search_request& m_request;
    const shared_plan& m_plan;
    const search_runner::dependencies& m_dependencies;
    gather m_gather;
    shared_revision m_current;
    std::optional<request_quarantined> m_quarantined;
    std::shared_ptr<completion_queue> m_completions{std::make_shared<completion_queue>()};
    std::unordered_map<attempt_id, running_attempt> m_running;
};

} // namespace

search_runner::search_runner(dependencies injected) : m_dependencies(injected)
{
}

search_outcome search_runner::run_plan(const search_request& request, const shared_plan& plan)
{
    random_source random{request.m_seed};
    return running_search{request, plan, m_dependencies, random}.run();
}

search_outcome search_runner::run(const search_request& request)
{
    const time_point started = m_dependencies.m_clock.now();
    search_outcome first = run_plan(request, request.m_plan);
    if (const auto* const result = std::get_if<gather_result>(&first))
    {
        return rerun_if_useful(request, *result, started);
    }
    return first;
}

search_outcome search_runner::rerun_if_useful(const search_request& request, const gather_result& first,
                                              time_point started)
{
    const finished_run finished{
        request.m_plan, first, false, started, m_dependencies.m_clock.now(), request.m_response_deadline};
    const rerun_decision decision =
        try_rerun(finished, m_dependencies.m_revisions.get(), m_dependencies.m_hedging);
    const auto* const again = std::get_if<run_again>(&decision);
    if (again == nullptr)
    {
        return first;
    }
    m_dependencies.m_log.write(log_level::info, "rerun",
                               {{"request", request.m_request_id}, {"snapshot", again->plan()->snapshot()}});
    search_outcome second = run_plan(request, again->plan());
    if (const auto* const result = std::get_if<gather_result>(&second))
    {
        return better_of(first, *result);
    }
    return second;
}

} // namespace teasellead
