#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "detail/trace_step.hpp"
#include "teasellead/kernel/authentication.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead::detail
{

namespace
{

using json = nlohmann::json;

json to_json(const authenticated& outcome)
{
    return {{"outcome", "authenticated"}, {"client_account", outcome.m_client_account}};
}

json to_json(const authentication& outcome)
{
    return std::visit(overloaded{[](const authenticated& accepted) { return to_json(accepted); },
                                 [](const key_missing&) {
                                     return json{{"outcome", "key_missing"}};
                                 },
                                 [](const key_malformed&) {
                                     return json{{"outcome", "key_malformed"}};
                                 },
                                 [](const key_rejected&)
                                 {
                                     return json{{"outcome", "key_rejected"}};
                                 }},
                      outcome);
}

json to_json(const reauthentication& outcome)
{
    return std::visit(overloaded{[](const authenticated& accepted) { return to_json(accepted); },
                                 [](const key_withdrawn&) {
                                     return json{{"outcome", "key_withdrawn"}};
                                 },
                                 [](const key_moved&)
                                 {
                                     return json{{"outcome", "key_moved"}};
                                 }},
                      outcome);
}

/// requests that are authenticated under one revision and may be dispatched under another
class authentication_trace
{
  public:
    json apply(const json& step)
    {
        const std::string event = read_text(step, "event");
        if (event == "configure")
        {
            m_revision = read_revision(step);
            return nullptr;
        }
        if (event == "arrive")
        {
            return arrive(step);
        }
        if (event == "dispatch")
        {
            return to_json(
                reauthenticate(m_revision->configuration(), m_queued.at(read_text(step, "request"))));
        }
        throw_trace_error("unknown event \"" + event + "\"");
    }

  private:
    json arrive(const json& step)
    {
        const authentication outcome =
            authenticate(m_revision->configuration(), read_text(step, "presented"));
        if (const auto* accepted = std::get_if<authenticated>(&outcome))
        {
            m_queued.insert_or_assign(read_text(step, "request"), *accepted);
        }
        return to_json(outcome);
    }

    shared_revision m_revision{std::make_shared<const configuration_revision>()};
    std::map<std::string, authenticated> m_queued;
};

} // namespace

step_function replay_authentication(const json& /*header*/)
{
    return [trace = std::make_shared<authentication_trace>()](const json& step, time_point /*now*/)
    {
        return trace->apply(step);
    };
}

} // namespace teasellead::detail
