#pragma once

#include <string>
#include <vector>

#include "teasellead/kernel/configuration.hpp"

namespace teasellead
{

/*!
@brief describes the differences between two configurations in sentences

The order of declarations has no effect and isn't compared.

@param[in] older  configuration in force
@param[in] newer  configuration that would replace it

@return one sentence for each change, in the order data centres, indexes, services, routes, client accounts,
        keys; empty if there is none

@complexity n log n in the number of declarations; shards and replicas count as declarations
*/
[[nodiscard]] std::vector<std::string> describe_changes(const configuration& older,
                                                        const configuration& newer);

} // namespace teasellead
