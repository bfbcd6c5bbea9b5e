#pragma once

#include <string>

#include "teasellead/forwarding/dispatch.hpp"

namespace teasellead::runtime
{

/*!
@brief counters of the choices of upstreams and of the accuracy of the expected work, by route

@param[in] context  objects that the requests of a node share

@return lines in the Prometheus text exposition format; at most 200 routes by name, the others as `other`
*/
[[nodiscard]] std::string work_exposition(const forwarding::dispatch_context& context);

} // namespace teasellead::runtime
