#pragma once

#include "teasellead/fleet/relay_record.hpp"
#include "teasellead/runtime/decision_log.hpp"

namespace teasellead::detail
{

/// writes the log line for one decision of the configuration relay
void log_relay_record(decision_log& log, const relay_record& record);

} // namespace teasellead::detail
