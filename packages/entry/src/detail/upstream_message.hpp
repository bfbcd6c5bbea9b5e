#pragma once

#include <string>
#include <variant>

#include "teasellead/entry/upstream_client.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/routing/attempt.hpp"
#include "teasellead/runtime/client_connection.hpp"

namespace teasellead::detail
{

/// serialises a sub-request; see docs/wire.md
[[nodiscard]] std::string sub_request_text(const sub_request& request, time_point now);

/// converts the result of a sub-request's HTTP exchange to the upstream's reply or a failure
[[nodiscard]] std::variant<upstream_reply, attempt_failure>
read_outcome(const runtime::exchange_result& result);

} // namespace teasellead::detail
