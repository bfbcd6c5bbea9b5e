#include <memory>
#include <nlohmann/json.hpp>

#include "detail/trace_step.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/routing/request_memory.hpp"

namespace teasellead::detail
{

namespace
{

using json = nlohmann::json;

json to_json(const request_admission& outcome)
{
    return std::visit(
        overloaded{[](const request_admitted&) {
                       return json{{"outcome", "admitted"}};
                   },
                   [](const request_running&) {
                       return json{{"outcome", "running"}};
                   },
                   [](const request_ended& ended)
                   {
                       return json{{"outcome", "ended"},
                                   {"status", ended.response().status()},
                                   {"verdict", to_string(ended.response().verdict())}};
                   },
                   [](const answer_dropped& dropped) {
                       return json{{"outcome", "answer_dropped"}, {"verdict", to_string(dropped.verdict())}};
                   },
                   [](const admission_refused& refused)
                   {
                       return json{{"outcome", "refused"},
                                   {"error", to_string(refused.error())},
                                   {"verdict", to_string(refused.verdict())}};
                   }},
        outcome);
}

verdict read_verdict(const json& step)
{
    const std::string name = read_text(step, "verdict");
    for (const verdict value : {verdict::not_run, verdict::may_have_run, verdict::ran})
    {
        if (name == to_string(value))
        {
            return value;
        }
    }
    throw_trace_error("unknown verdict \"" + name + "\"");
}

own_request_id read_id(const json& step)
{
    return own_request_id{step.at("id").get<request_sequence>(), read_time(step, "expires_ms")};
}

/// the request memory of one node
class request_memory_trace
{
  public:
    explicit request_memory_trace(const json& header)
        : m_memory(request_memory_settings{
              header.at("max_requests").get<std::size_t>(), header.at("max_refusals").get<std::size_t>(),
              header.at("max_body_size").get<std::size_t>(), header.at("max_waiters").get<std::size_t>()})
    {
    }

    json apply(const json& step, time_point now)
    {
        const std::string event = read_text(step, "event");
        if (event == "admit")
        {
            return to_json(m_memory.admit(
                read_id(step), read_text(step, "fingerprint"),
                [this](const final_response& /*answer*/) { ++m_answered_repeats; }, now));
        }
        if (event == "complete")
        {
            m_answered_repeats = 0;
            // bodies are left out of traces; only their size matters to the decision
            const std::string body(step.at("body_size").get<std::size_t>(), ' ');
            m_memory.complete(read_id(step),
                              final_response{step.at("status").get<std::uint32_t>(), body, read_verdict(step),
                                             std::chrono::milliseconds::zero()});
            return {{"answered_repeats", m_answered_repeats}};
        }
        throw_trace_error("unknown event \"" + event + "\"");
    }

  private:
    request_memory m_memory;
    std::uint64_t m_answered_repeats{0};
};

} // namespace

step_function replay_request_memory(const json& header)
{
    return [trace = std::make_shared<request_memory_trace>(header)](const json& step, time_point now)
    {
        return trace->apply(step, now);
    };
}

} // namespace teasellead::detail
