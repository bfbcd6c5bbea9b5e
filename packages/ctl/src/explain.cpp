#include "teasellead/ctl/explain.hpp"

#include <array>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string_view>

#include "teasellead/ctl/commands.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

using nlohmann::json;

constexpr int unreadable_file_id = 205;

struct reason_text
{
    std::string_view m_reason;
    std::string_view m_text;
};

constexpr std::array reasons{
    reason_text{"", "it was answered as asked"},
    reason_text{"over_limit", "its account had used up its limit over all nodes; it didn't run"},
    reason_text{"unknown_key", "no account of the configuration in force holds its key; it didn't run"},
    reason_text{"unknown_route",
                "the configuration in force has no route for its host and path; it didn't run"},
    reason_text{"no_configuration", "the node hadn't read a configuration yet; it didn't run"},
    reason_text{
        "configuration_too_old",
        "the node couldn't confirm that its configuration, and so the key, was current; it didn't run"},
    reason_text{"no_request_id", "it had no request id; it didn't run"},
    reason_text{"no_upstream",
                "no upstream that it needs could be used: all had left, were evacuated or had failed"},
    reason_text{
        "overloaded",
        "no upstream had free capacity within the time that a request may wait, or none was expected"},
    reason_text{"unlikely_whole",
                "so many attempts at its shards fail that it would hardly have been complete; it didn't run"},
    reason_text{"upstreams_failed", "its attempts failed, and no further one was allowed or affordable"},
    reason_text{"upstreams_paused", "its upstreams had requested a pause; it didn't run"},
    reason_text{"isolated",
                "equal requests lost their upstreams; they are tried one at a time until one is answered"},
    reason_text{"crashes_upstreams", "equal requests ended the upstreams that ran them; see request_refused"},
    reason_text{"timed_out", "its time was over before enough upstreams had answered"},
    reason_text{"stopping", "the node was stopping and couldn't wait for its end; see the status"},
    reason_text{"upstream_status", "the upstream itself answered with this status"},
    reason_text{"caller_gone", "the caller closed its connection before the answer"},
};

/// events that show the state of a node: its configuration, its source of configurations and its peers
constexpr std::array<std::string_view, 9> node_state_events{
    "started",     "configuration",   "configuration_fresh", "configuration_too_old",
    "source_lost", "source_regained", "source_restored",     "nodes",
    "stopping"};

std::string field_text(const json& line, const char* name)
{
    const auto found = line.find(name);
    if (found == line.end())
    {
        return "?";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string missing_shards_of(const json& line)
{
    const auto found = line.find("missing_shards");
    const bool is_named =
        found != line.end() && found->is_string() && !found->get_ref<const std::string&>().empty();
    return is_named ? " (" + found->get<std::string>() + ")" : "";
}

/// the part of the latency spent waiting for the limit, or nothing if the line doesn't have it
std::string limit_wait_of(const json& line)
{
    return line.contains("limit_wait_ms") ? " (" + field_text(line, "limit_wait_ms") + " for its limit)" : "";
}

std::string_view meaning_of(const std::string& reason)
{
    for (const reason_text& each : reasons)
    {
        if (each.m_reason == reason)
        {
            return each.m_text;
        }
    }
    return "the reason isn't known to this program";
}

/// collects from one node's log what explains the end of a request
class request_explanation
{
  public:
    request_explanation(std::string name, std::string request_id)
        : m_name(std::move(name)), m_request_id(std::move(request_id))
    {
    }

    void add(const json& line)
    {
        const std::string event = field_text(line, "event");
        if (event == "started")
        {
            m_name = field_text(line, "node");
        }
        if (event == "request" && field_text(line, "request_id") == m_request_id)
        {
            describe(line);
            return;
        }
        if (event == "attempt_failed" && field_text(line, "request_id") == m_request_id)
        {
            m_attempts += "  attempt " + field_text(line, "attempt") + " at " + field_text(line, "instance") +
                          " of " + field_text(line, "service") + ": " + field_text(line, "failure") + ".\n";
            return;
        }
        if (event == "request_isolated" || event == "request_refused" || event == "request_cleared")
        {
            m_restrictions[field_text(line, "request")] = line;
            return;
        }
        for (const std::string_view each : node_state_events)
        {
            if (each == event)
            {
                m_node_events[event] = line;
            }
        }
    }

    [[nodiscard]] std::string text() const
    {
        return m_text.str();
    }

  private:
    void describe(const json& line)
    {
        const std::string reason = field_text(line, "reason");
        m_text << m_name << ": request " << m_request_id << " ended as " << field_text(line, "outcome")
               << " with status " << field_text(line, "status") << " after " << field_text(line, "latency_ms")
               << " ms" << limit_wait_of(line) << ", at " << field_text(line, "time") << ".\n"
               << "  why: " << (reason.empty() ? "" : reason + ": ") << meaning_of(reason) << ".\n"
               << "  route " << field_text(line, "route") << ", account " << field_text(line, "account")
               << ", " << field_text(line, "attempts") << " attempts, " << field_text(line, "missing")
               << " shards missing" << missing_shards_of(line) << ".\n"
               << m_attempts << "  decided by configuration " << field_text(line, "version")
               << ", known to be current " << field_text(line, "version_age_ms") << " ms before.\n";
        if (const auto restriction = m_restrictions.find(field_text(line, "request"));
            restriction != m_restrictions.end())
        {
            m_text << "  before: " << field_text(restriction->second, "time") << " "
                   << field_text(restriction->second, "event") << fields_of(restriction->second) << "\n";
        }
        for (const auto& [event, node_event] : m_node_events)
        {
            m_text << "  before: " << field_text(node_event, "time") << " " << event << fields_of(node_event)
                   << "\n";
        }
    }

    static std::string fields_of(const json& line)
    {
        std::string result;
        for (const auto& [name, value] : line.items())
        {
            if (name != "time" && name != "level" && name != "event")
            {
                result += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
            }
        }
        return result;
    }

    std::string m_name;
    std::string m_request_id;
    std::string m_attempts;                     ///< descriptions of the failed attempts of the request so far
    std::map<std::string, json> m_restrictions; ///< last event of each request that may crash upstreams
    std::map<std::string, json> m_node_events;
    std::ostringstream m_text;
};

/// parses the JSON object of a log line, which may have a prefix
std::optional<json> object_of(const std::string& line)
{
    const auto begin = line.find('{');
    if (begin == std::string::npos)
    {
        return std::nullopt;
    }
    json parsed = json::parse(line.substr(begin), nullptr, false);
    return parsed.is_object() ? std::optional<json>{std::move(parsed)} : std::nullopt;
}

node_log read_log(const std::string& path)
{
    std::ifstream file{path};
    if (!file)
    {
        throw settings_error(unreadable_file_id, "file \"" + path + "\" can't be read");
    }
    node_log log{path, {}};
    for (std::string line; std::getline(file, line);)
    {
        log.m_lines.push_back(line);
    }
    return log;
}

} // namespace

std::string explain_request(const std::string& request_id, const std::vector<node_log>& logs)
{
    std::string result;
    for (const node_log& log : logs)
    {
        request_explanation explanation{log.m_name, request_id};
        for (const std::string& line : log.m_lines)
        {
            if (const auto object = object_of(line))
            {
                explanation.add(*object);
            }
        }
        result += explanation.text();
    }
    return result;
}

exit_code run_explain(const command_arguments& arguments, std::ostream& output)
{
    std::vector<node_log> logs;
    for (std::size_t i = 1; i < arguments.size(); ++i)
    {
        logs.push_back(read_log(arguments[i]));
    }
    const std::string text = explain_request(arguments.front(), logs);
    if (text.empty())
    {
        output << "no line about request " << arguments.front()
               << "; lines_left_out in the logs counts those that were not written\n";
        return exit_code::failure;
    }
    output << text;
    return exit_code::ok;
}

} // namespace teasellead
