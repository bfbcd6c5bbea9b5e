#include <memory>
#include <nlohmann/json.hpp>

#include "detail/trace_step.hpp"
#include "teasellead/fleet/revision_adopter.hpp"

namespace teasellead::detail
{

namespace
{

using json = nlohmann::json;

/// the revision adopter of one node, which receives revision numbers and texts
class revision_trace
{
  public:
    explicit revision_trace(const json& header)
        : m_adopter(m_cell, m_log, std::chrono::milliseconds{header.at("hold_ms").get<std::int64_t>()})
    {
    }

    json apply(const json& step, time_point now)
    {
        const std::string event = read_text(step, "event");
        if (event == "hear")
        {
            (void)m_adopter.record_announced(step.at("revision").get<revision_number>());
            return state(false);
        }
        if (event == "offer")
        {
            return state(m_adopter.offer(step.at("revision").get<revision_number>(), read_services_text(step),
                                         std::nullopt, now));
        }
        if (event == "tick")
        {
            return state(m_adopter.on_tick(now));
        }
        throw_trace_error("unknown event \"" + event + "\"");
    }

  private:
    [[nodiscard]] json state(bool is_adopted) const
    {
        const std::optional<rejected_revision>& rejection = m_adopter.rejection();
        return {{"adopted", is_adopted},
                {"in_force", m_adopter.current_number()},
                {"rejected", rejection ? json(rejection->m_number) : json(nullptr)}};
    }

    current_revision m_cell;
    relay_log m_log;
    revision_adopter m_adopter;
};

} // namespace

step_function replay_revision(const json& header)
{
    return [trace = std::make_shared<revision_trace>(header)](const json& step, time_point now)
    {
        return trace->apply(step, now);
    };
}

} // namespace teasellead::detail
