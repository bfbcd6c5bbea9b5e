#include "teasellead/ctl/replay.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

#include "detail/trace_step.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

using json = nlohmann::json;

struct trace_kind
{
    const char* m_name;
    detail::step_function (*m_make)(const json& header);
};

constexpr std::array kinds{
    trace_kind{"authentication", detail::replay_authentication}, trace_kind{"gather", detail::replay_gather},
    trace_kind{"limit", detail::replay_limit}, trace_kind{"request_memory", detail::replay_request_memory},
    trace_kind{"revision", detail::replay_revision}};

detail::step_function make_step_function(const json& header)
{
    const std::string name = detail::read_text(header, "kind");
    for (const trace_kind& kind : kinds)
    {
        if (name == kind.m_name)
        {
            return kind.m_make(header);
        }
    }
    detail::throw_trace_error("unknown kind \"" + name + "\"");
}

/// the replay of one trace
class replay
{
  public:
    void process_line(std::size_t line, const std::string& text)
    {
        const json step = json::parse(text);
        if (!m_run_step)
        {
            m_run_step = make_step_function(step);
            return;
        }
        const time_point now = detail::read_time(step, "at_ms");
        if (now < m_now)
        {
            detail::throw_trace_error("time decreases");
        }
        m_now = now;
        compare(line, step, m_run_step(step, now));
    }

    [[nodiscard]] const replay_result& result() const noexcept
    {
        return m_result;
    }

  private:
    void compare(std::size_t line, const json& step, const json& actual)
    {
        const auto expected = step.find("expect");
        if (expected == step.end())
        {
            return;
        }
        ++m_result.m_checked;
        if (*expected != actual)
        {
            m_result.m_differences.push_back({line, expected->dump(), actual.dump()});
        }
    }

    detail::step_function m_run_step;
    time_point m_now{detail::trace_start};
    replay_result m_result;
};

} // namespace

replay_result replay_trace(std::string_view text)
{
    std::istringstream lines{std::string{text}};
    std::size_t number = 0;
    replay running;
    try
    {
        for (std::string line; std::getline(lines, line);)
        {
            ++number;
            running.process_line(number, line);
        }
        if (running.result().m_checked == 0)
        {
            detail::throw_trace_error("no outcome is stated");
        }
    }
    catch (const std::exception& error)
    {
        detail::throw_trace_error("line " + std::to_string(number) + ": " + error.what());
    }
    return running.result();
}

} // namespace teasellead
