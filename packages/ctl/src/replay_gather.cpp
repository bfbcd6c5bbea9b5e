#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "detail/trace_step.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/routing/gather.hpp"

namespace teasellead::detail
{

namespace
{

using json = nlohmann::json;

attempt_failure read_failure(const json& step)
{
    const std::string name = read_text(step, "failure");
    for (const attempt_failure failure :
         {attempt_failure::not_connected, attempt_failure::lost, attempt_failure::shed,
          attempt_failure::draining, attempt_failure::wrong_snapshot, attempt_failure::invalid_reply,
          attempt_failure::timed_out})
    {
        if (name == to_string(failure))
        {
            return failure;
        }
    }
    throw_trace_error("unknown failure \"" + name + "\"");
}

std::string name_of(const shard_target& target)
{
    return target.service().name() + '/' + target.shard().name();
}

upstream_table_settings read_table_settings(const json& header)
{
    const json& warming = header.at("warm_up");
    return {make_replica_selector(read_text(header, "selector")),
            warm_up_settings{warming.at("replies_per_step").get<std::uint32_t>(),
                             std::chrono::milliseconds{warming.at("min_step_ms").get<std::int64_t>()},
                             std::chrono::milliseconds{warming.at("max_step_ms").get<std::int64_t>()}},
            true, std::chrono::milliseconds{header.at("drain_memory_ms").get<std::int64_t>()}};
}

/// a search and the target shard of each of its attempts
class traced_search
{
  public:
    traced_search(const std::string& request, shared_plan plan, gather_context context,
                  time_point response_deadline)
        : m_request(request), m_plan(plan), m_gather(request, std::move(plan), context, response_deadline)
    {
    }

    [[nodiscard]] gather& state_machine() noexcept
    {
        return m_gather;
    }

    json to_json(const std::vector<gather_action>& actions)
    {
        json result = json::array();
        for (const gather_action& action : actions)
        {
            result.push_back(std::visit(overloaded{[&](const send_attempt& send) { return describe(send); },
                                                   [](const cancel_attempt& cancel)
                                                   {
                                                       return json{{"cancel", cancel.attempt()}};
                                                   }},
                                        action));
        }
        return result;
    }

    /// makes a valid reply to an attempt; fields that the step contains replace the valid values
    [[nodiscard]] upstream_reply read_reply(const json& step) const
    {
        const shard_target& target = m_plan->targets().at(m_targets.at(step.at("attempt").get<attempt_id>()));
        return {step.value("request_id", m_request),
                step.value("service", target.service().name()),
                step.value("shard", target.shard().name()),
                step.value("shard_map", m_plan->shard_map()),
                step.value("snapshot", m_plan->snapshot()),
                step.value("incarnation", upstream_incarnation{1}),
                step.value("covered_keys", target.shard().keys().size()),
                ""};
    }

    [[nodiscard]] json result() const
    {
        if (!m_gather.finished())
        {
            return {{"finished", false}};
        }
        const gather_result result = m_gather.result();
        json missing = json::array();
        for (const missing_shard& each : result.coverage().missing())
        {
            missing.push_back(each.service() + '/' + each.shard() + ": " +
                              std::string{teasellead::to_string(each.reason())});
        }
        return {{"finished", true},
                {"snapshot", result.snapshot()},
                {"answered_keys", result.coverage().answered_keys()},
                {"total_keys", result.coverage().total_keys()},
                {"missing", missing},
                {"replies", result.bodies().size()},
                {"verdict", teasellead::to_string(result.verdict())}};
    }

  private:
    json describe(const send_attempt& send)
    {
        m_targets.insert_or_assign(send.attempt(), send.target());
        return {{"send", send.attempt()},
                {"shard", name_of(m_plan->targets().at(send.target()))},
                {"to", send.chosen().upstream().to_string()},
                {"kind", to_string(send.kind())}};
    }

    std::string m_request;
    shared_plan m_plan;
    gather m_gather;
    std::map<attempt_id, std::size_t> m_targets;
};

/// the searches of one host and its state of upstreams and hedging
class gather_trace
{
  public:
    explicit gather_trace(const json& header)
        : m_random(header.at("seed").get<std::uint64_t>()), m_table(read_table_settings(header)),
          m_hedging(make_hedging_rule(read_text(header, "hedging")),
                    extra_load_budget{header.at("extra_fraction").get<double>(),
                                      header.at("extra_burst").get<double>()})
    {
        const std::vector<listed_host> hosts = read_hosts(header);
        m_table.set_views({host_view{1, hosts.front(), hosts}});
    }

    json apply(const json& step, time_point now)
    {
        const std::string event = read_text(step, "event");
        if (event == "configure")
        {
            m_revision = read_revision(step);
            m_table.on_configuration(m_revision->configuration(), now);
            return nullptr;
        }
        if (event == "evidence")
        {
            m_table.on_peer_evidence(upstream_evidence{endpoint::parse(read_text(step, "upstream")),
                                                       step.at("incarnation").get<upstream_incarnation>(),
                                                       step.at("warm").get<bool>()},
                                     now);
            return nullptr;
        }
        const std::string request = read_text(step, "request");
        if (event == "start")
        {
            return start(request, step, now);
        }
        return apply_to_search(*m_searches.at(request), event, step, now);
    }

  private:
    json start(const std::string& request, const json& step, time_point now)
    {
        const route* requested = m_revision->configuration().find_route(read_text(step, "path"));
        if (requested == nullptr)
        {
            throw_trace_error("path \"" + read_text(step, "path") + "\" isn't declared");
        }
        auto search = std::make_unique<traced_search>(
            request, std::make_shared<const query_plan>(m_revision, *requested),
            gather_context{m_table, m_hedging, m_random}, now + requested->deadline());
        json actions = search->to_json(search->state_machine().start(m_revision->configuration(), now));
        m_searches.insert_or_assign(request, std::move(search));
        return actions;
    }

    json apply_to_search(traced_search& search, const std::string& event, const json& step, time_point now)
    {
        const configuration& current = m_revision->configuration();
        gather& running = search.state_machine();
        if (event == "reply")
        {
            return search.to_json(running.on_reply(step.at("attempt").get<attempt_id>(),
                                                   search.read_reply(step), current, now));
        }
        if (event == "failure")
        {
            return search.to_json(
                running.on_failure(step.at("attempt").get<attempt_id>(), read_failure(step), current, now));
        }
        if (event == "time")
        {
            return search.to_json(running.on_timer(current, now));
        }
        if (event == "result")
        {
            return search.result();
        }
        throw_trace_error("unknown event \"" + event + "\"");
    }

    shared_revision m_revision{std::make_shared<const configuration_revision>()};
    random_source m_random;
    upstream_table m_table;
    hedge_policy m_hedging;
    std::map<std::string, std::unique_ptr<traced_search>> m_searches;
};

} // namespace

step_function replay_gather(const json& header)
{
    return [trace = std::make_shared<gather_trace>(header)](const json& step, time_point now)
    {
        return trace->apply(step, now);
    };
}

} // namespace teasellead::detail
