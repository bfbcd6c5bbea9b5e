#pragma once

#include <string>
#include <vector>

#include "teasellead/routing/gather.hpp"

namespace teasellead::detail
{

/// whether an upstream's body is a JSON object with an array `results`
[[nodiscard]] bool has_results(const std::string& body);

/*!
@brief makes the response body of a search from the replies of its shards

The results of all replies are merged by descending `score`; equal scores keep the order of the query plan.

@param[in] request_id  id of the request
@param[in] result      the gathered replies, each of which passed @ref has_results

@return JSON text

@complexity O(n log n) in the number of results
*/
[[nodiscard]] std::string search_response_body(const std::string& request_id, const gather_result& result);

/// the response body of a request that one upstream ran and whose reply passed @ref has_results
[[nodiscard]] std::string single_response_body(const std::string& request_id, const std::string& body);

/// the response body of a request without results; see docs/wire.md
[[nodiscard]] std::string error_response_body(const std::string& request_id, const std::string& error,
                                              verdict effect);

} // namespace teasellead::detail
