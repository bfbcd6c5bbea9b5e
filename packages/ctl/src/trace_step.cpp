#include "detail/trace_step.hpp"

#include <nlohmann/json.hpp>

#include "teasellead/kernel/configuration_parser.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead::detail
{

using json = nlohmann::json;

void throw_trace_error(const std::string& text)
{
    constexpr int invalid_trace_id = 541;
    throw protocol_error(invalid_trace_id, text);
}

std::string read_text(const json& step, const char* field)
{
    return step.at(field).get<std::string>();
}

time_point read_time(const json& step, const char* field)
{
    return trace_start + std::chrono::milliseconds{step.at(field).get<std::int64_t>()};
}

std::string read_services_text(const json& step)
{
    std::string text;
    for (const json& line : step.at("configuration"))
    {
        text += line.get<std::string>() + '\n';
    }
    return text;
}

shared_revision read_revision(const json& step)
{
    std::string text = read_services_text(step);
    auto declared = std::make_shared<const configuration>(parse_configuration(text));
    return std::make_shared<const configuration_revision>(step.at("revision").get<revision_number>(),
                                                          std::move(text), std::move(declared));
}

std::vector<listed_host> read_hosts(const json& header)
{
    std::vector<listed_host> hosts;
    for (const json& host : header.at("hosts"))
    {
        hosts.emplace_back(endpoint::parse(read_text(host, "peer")), read_text(host, "data_centre"));
    }
    return hosts;
}

} // namespace teasellead::detail
