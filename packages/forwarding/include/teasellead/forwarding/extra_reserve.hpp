#pragma once

#include "teasellead/forwarding/recent_priorities.hpp"

namespace teasellead::forwarding
{

/// what an attempt beyond the first of a request is for
enum class extra_attempt
{
    completing, ///< a retry of a request to one service, or the last that a search needs for its coverage
    retry,      ///< a retry of a search that needs many more shards
    optional    ///< a hedge, or a retry of a search that has its coverage already
};

/*!
@brief fraction of the attempt budget of a service that an attempt must leave for others

Zero if all requests that were seen recently have the same priority.
*/
[[nodiscard]] double reserved_fraction(extra_attempt kind, const priority_standing& standing) noexcept;

} // namespace teasellead::forwarding
