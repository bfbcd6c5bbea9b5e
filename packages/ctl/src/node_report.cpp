#include "teasellead/ctl/node_report.hpp"

#include <nlohmann/json.hpp>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

using json = nlohmann::json;

constexpr int not_a_report_id = 540;

std::chrono::microseconds read_microseconds(const json& value)
{
    return std::chrono::microseconds{value.get<std::int64_t>()};
}

request_summary read_summary(const json& value)
{
    return {value.at("name").get<std::string>(),         value.at("complete").get<std::uint64_t>(),
            value.at("partial").get<std::uint64_t>(),    value.at("refused").get<std::uint64_t>(),
            value.at("over_limit").get<std::uint64_t>(), value.at("unauthorised").get<std::uint64_t>(),
            value.at("failed").get<std::uint64_t>(),     value.at("coverage").get<double>(),
            read_microseconds(value.at("p50_us")),       read_microseconds(value.at("p90_us")),
            read_microseconds(value.at("p99_us"))};
}

reported_state read_state(const std::string& name)
{
    if (name == "cold")
    {
        return reported_state::cold;
    }
    if (name == "warming")
    {
        return reported_state::warming;
    }
    if (name == "warm")
    {
        return reported_state::warm;
    }
    throw protocol_error(not_a_report_id, "unknown state \"" + name + "\" of an upstream");
}

reported_upstream read_upstream(const json& value)
{
    return {endpoint::parse(value.at("upstream").get<std::string>()),
            read_state(value.at("state").get<std::string>()), value.at("in_flight").get<std::uint64_t>(),
            value.at("draining").get<bool>(), value.at("services").get<std::vector<std::string>>()};
}

std::optional<reported_rejection> read_rejection(const json& value)
{
    if (value.is_null())
    {
        return std::nullopt;
    }
    return reported_rejection{value.at("revision").get<std::uint64_t>(),
                              value.at("reason").get<std::string>()};
}

template <typename Reader>
auto read_all(const json& values, Reader reader)
{
    std::vector<decltype(reader(values))> result;
    for (const json& value : values)
    {
        result.push_back(reader(value));
    }
    return result;
}

node_report read_report(const endpoint& node, const json& page)
{
    const auto age = static_cast<std::int64_t>(page.at("revision_age_s").get<double>());
    return {node,
            page.at("ready").get<bool>(),
            page.at("leaving").get<bool>(),
            page.at("revision").get<std::uint64_t>(),
            std::chrono::seconds{age},
            read_rejection(page.at("rejection")),
            read_all(page.at("routes"), read_summary),
            read_all(page.at("accounts"), read_summary),
            read_all(page.at("upstreams"), read_upstream)};
}

} // namespace

node_report parse_node_report(const endpoint& node, std::string_view text)
{
    const std::string prefix = "report of " + node.to_string() + ": ";
    try
    {
        return read_report(node, json::parse(text));
    }
    catch (const json::exception& error)
    {
        throw protocol_error(not_a_report_id, prefix + error.what());
    }
    catch (const protocol_error& error)
    {
        throw protocol_error(not_a_report_id, prefix + error.what());
    }
}

} // namespace teasellead
