#include "detail/result_merger.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace teasellead::detail
{

namespace
{

using json = nlohmann::ordered_json;

constexpr const char* results_field = "results";
constexpr const char* score_field = "score";

double score_of(const json& result)
{
    const auto found = result.find(score_field);
    return found != result.end() && found->is_number() ? found->get<double>() : 0.0;
}

json coverage_of(const gather_result& result)
{
    json missing = json::array();
    for (const missing_shard& shard : result.coverage().missing())
    {
        missing.push_back(
            {{"service", shard.service()}, {"shard", shard.shard()}, {"reason", to_string(shard.reason())}});
    }
    return {{"fraction", result.coverage().fraction()},
            {"answered_keys", result.coverage().answered_keys()},
            {"total_keys", result.coverage().total_keys()},
            {"missing", std::move(missing)}};
}

json merge_results(const std::vector<std::string>& bodies)
{
    std::vector<json> merged;
    for (const std::string& body : bodies)
    {
        json reply = json::parse(body);
        for (json& result : reply[results_field])
        {
            merged.push_back(std::move(result));
        }
    }
    std::stable_sort(merged.begin(), merged.end(),
                     [](const json& lhs, const json& rhs) { return score_of(lhs) > score_of(rhs); });
    return json(std::move(merged));
}

std::string to_text(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

bool has_results(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
    {
        return false;
    }
    const auto results = parsed.find(results_field);
    return results != parsed.end() && results->is_array();
}

std::string search_response_body(const std::string& request_id, const gather_result& result)
{
    const json answer = {{"request_id", request_id},        {"verdict", to_string(result.verdict())},
                         {"snapshot", result.snapshot()},   {"partial", !result.coverage().complete()},
                         {"coverage", coverage_of(result)}, {results_field, merge_results(result.bodies())}};
    return to_text(answer);
}

std::string single_response_body(const std::string& request_id, const std::string& body)
{
    json reply = json::parse(body);
    const json answer = {{"request_id", request_id},
                         {"verdict", to_string(verdict::ran)},
                         {results_field, std::move(reply[results_field])}};
    return to_text(answer);
}

std::string error_response_body(const std::string& request_id, const std::string& error, verdict effect)
{
    json answer = {{"error", error}, {"verdict", to_string(effect)}};
    if (!request_id.empty())
    {
        answer["request_id"] = request_id;
    }
    return to_text(answer);
}

} // namespace teasellead::detail
