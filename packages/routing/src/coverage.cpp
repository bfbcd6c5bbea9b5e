#include "teasellead/routing/coverage.hpp"

namespace teasellead
{

std::string_view to_string(missing_reason reason) noexcept
{
    switch (reason)
    {
    case missing_reason::no_replica:
        return "no_replica";
    case missing_reason::cold:
        return "cold";
    case missing_reason::at_capacity:
        return "at_capacity";
    case missing_reason::deadline:
        return "deadline";
    case missing_reason::failed:
        return "failed";
    case missing_reason::wrong_snapshot:
        return "wrong_snapshot";
    case missing_reason::partial_reply:
        return "partial_reply";
    }
    return "failed";
}

} // namespace teasellead
