#pragma once

#include <string>

#include "teasellead/forwarding/dispatch_context.hpp"

namespace teasellead::runtime
{

/// waiting attempts, refusals and extra attempts by priority, in the Prometheus text exposition format
[[nodiscard]] std::string dispatch_exposition(const forwarding::dispatch_context& context);

} // namespace teasellead::runtime
