#include "teasellead/entry/single_runner.hpp"

#include <memory>
#include <variant>

#include "detail/result_merger.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead
{

namespace
{

/// a non-idempotent request in progress and its current transfer
class running_single
{
  public:
    running_single(const single_run& request, const single_runner::dependencies& dependencies,
                   random_source& random)
        : m_request(request), m_dependencies(dependencies), m_target(request.m_plan->targets().front()),
          m_shard(key_of(m_target)),
          m_attempt(single_request{request.m_request_id, request.m_plan, 0, request.m_send_deadline,
                                   request.m_response_deadline},
                    dependencies.m_upstreams, random)
    {
    }

    single_result run()
    {
        execute(m_attempt.start(current(), m_dependencies.m_clock.now()));
        while (!m_attempt.finished())
        {
            for (const attempt_completion& completion : m_completions->wait(m_attempt.next_wakeup()))
            {
                on_completion(completion);
            }
            if (!m_attempt.finished() && m_dependencies.m_clock.now() >= m_attempt.next_wakeup())
            {
                execute(m_attempt.on_timer(current(), m_dependencies.m_clock.now()));
            }
        }
        end_running(attempt_end::other);
        return m_attempt.result();
    }

  private:
    [[nodiscard]] const configuration& current()
    {
        m_current = m_dependencies.m_revisions.get();
        return m_current->configuration();
    }

    void execute(const std::optional<single_send>& action)
    {
        if (!action)
        {
            return;
        }
        m_running = action->chosen().upstream();
        m_dependencies.m_quarantine.on_attempt_started(*m_running, m_shard, m_request.m_fingerprint);
        log("route", {{"attempt", std::uint64_t{action->attempt()}}, {"upstream", m_running->to_string()}});
        sub_request request = make_sub_request(*m_request.m_plan, m_target, action->chosen(),
                                               action->attempt(), m_request.m_response_deadline);
        m_send_deadline = action->send_by();
        request.m_send_deadline = m_send_deadline;
        request.m_request_id = m_request.m_request_id;
        request.m_body = m_request.m_body;
        (void)m_dependencies.m_client.send(std::move(request), m_completions);
    }

    void on_completion(const attempt_completion& completion)
    {
        const time_point now = m_dependencies.m_clock.now();
        std::visit(overloaded{[&](const upstream_reply& reply)
                              {
                                  if (!detail::has_results(reply.body()))
                                  {
                                      on_attempt_failed(completion.m_attempt, attempt_failure::invalid_reply,
                                                        now);
                                      return;
                                  }
                                  end_running(attempt_end::replied);
                                  m_attempt.on_reply(completion.m_attempt, reply, now);
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
        if (failure == attempt_failure::lost && m_running)
        {
            m_dependencies.m_quarantine.on_upstream_lost(*m_running, now);
        }
        end_running(attempt_end::other);
        if (failure == attempt_failure::not_connected && now >= m_send_deadline)
        {
            m_attempt.on_not_sent(attempt, now);
            return;
        }
        execute(m_attempt.on_failure(attempt, failure, current(), now));
    }

    void end_running(attempt_end end)
    {
        if (m_running)
        {
            m_dependencies.m_quarantine.on_attempt_ended(*m_running, m_shard, m_request.m_fingerprint, end,
                                                         m_dependencies.m_clock.now());
            m_running.reset();
        }
    }

    void log(std::string_view event, std::vector<log_field> fields)
    {
        fields.insert(fields.begin(), log_field{"request", m_request.m_request_id});
        m_dependencies.m_log.write(log_level::info, event, fields);
    }

    const single_run& m_request;
    const single_runner::dependencies& m_dependencies;
    const shard_target& m_target;
    shard_key m_shard;
    single_attempt m_attempt;
    shared_revision m_current;
    time_point m_send_deadline; ///< latest time of sending of the current attempt
    std::optional<endpoint> m_running;
    std::shared_ptr<completion_queue> m_completions{std::make_shared<completion_queue>()};
};

} // namespace

single_runner::single_runner(dependencies injected) : m_dependencies(injected)
{
}

single_result single_runner::run(const single_run& request)
{
    random_source random{request.m_seed};
    return running_single{request, m_dependencies, random}.run();
}

} // namespace teasellead
