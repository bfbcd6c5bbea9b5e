#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "deployment.hpp"
#include "node_usage.hpp"
#include "open_loop.hpp"

namespace bench
{

/// measurements of one run
struct run_result
{
    std::string m_label;
    std::vector<sample> m_samples;
    std::uint64_t m_sub_requests{0};       ///< received by all upstreams
    std::uint64_t m_first_sub_requests{0}; ///< shards of all answered requests, one sub-request each
    unsigned m_nodes{1};
    node_usage m_usage; ///< of all nodes: processor time of the run, the rest at its end
};

/*!
@brief summary of a run as JSON: per account, overall, and over time in steps of one second

A refusal is wrongful if one ideal bucket with the account's full rate and burst, fed the same arrivals,
would have admitted the request.
*/
[[nodiscard]] nlohmann::ordered_json summarise(const deployment& target, const run_result& result);

/// the summary as text
[[nodiscard]] std::string to_text(const nlohmann::ordered_json& summary);

} // namespace bench
