#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/host_view.hpp"

namespace teasellead::detail
{

/// runs one step of a trace in the decision code at the time of the step and returns the outcome
using step_function = std::function<nlohmann::json(const nlohmann::json& step, time_point now)>;

/// time at which every trace starts
inline constexpr time_point trace_start{std::chrono::hours{1}};

/// throws protocol_error 541 for an invalid step
[[noreturn]] void throw_trace_error(const std::string& text);

/// reads a text field
[[nodiscard]] std::string read_text(const nlohmann::json& step, const char* field);

/// reads a field that holds a time in milliseconds since the start of the trace
[[nodiscard]] time_point read_time(const nlohmann::json& step, const char* field);

/// reads the services text from the field `configuration`, an array of lines
[[nodiscard]] std::string read_services_text(const nlohmann::json& step);

/// reads a configuration revision from the fields `revision` and `configuration`
[[nodiscard]] shared_revision read_revision(const nlohmann::json& step);

/// reads the hosts from the field `hosts`, an array of objects with `peer` and `data_centre`
[[nodiscard]] std::vector<listed_host> read_hosts(const nlohmann::json& header);

/// traces of kind `authentication`: checks of keys under changing configuration revisions
[[nodiscard]] step_function replay_authentication(const nlohmann::json& header);

/// traces of kind `gather`: searches of one host with changing upstreams and configurations
[[nodiscard]] step_function replay_gather(const nlohmann::json& header);

/// traces of kind `limit`: admission of client accounts' requests on several hosts
[[nodiscard]] step_function replay_limit(const nlohmann::json& header);

/// traces of kind `request_memory`: admission of requests that run at most once, by request id
[[nodiscard]] step_function replay_request_memory(const nlohmann::json& header);

/// traces of kind `revision`: adoption of configuration revisions
[[nodiscard]] step_function replay_revision(const nlohmann::json& header);

} // namespace teasellead::detail
