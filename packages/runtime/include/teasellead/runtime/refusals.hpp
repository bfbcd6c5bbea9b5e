#pragma once

#include <chrono>

#include "teasellead/runtime/http_message.hpp"

namespace teasellead::runtime
{

inline constexpr unsigned unauthorised = 401;
inline constexpr unsigned not_found = 404;
inline constexpr unsigned too_many_requests = 429;
inline constexpr unsigned service_unavailable = 503;

/*!
@brief creates the response to a request that wasn't and won't be executed, with a Retry-After field

@param[in] status       429 or 503
@param[in] retry_after  time after which the caller may try again
*/
[[nodiscard]] http_response refusal(unsigned status, std::chrono::milliseconds retry_after);

/// the refusal of a node that stops; other nodes can serve the request at once
[[nodiscard]] http_response stopping_refusal();

/// refusal of a request for which there is no memory at the moment
[[nodiscard]] http_response memory_refusal();

} // namespace teasellead::runtime
