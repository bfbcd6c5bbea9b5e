#include "teasellead/forwarding/extra_reserve.hpp"

namespace teasellead::forwarding
{

namespace
{

// percentages of the budget that the most urgent requests leave for those of their attempts that matter more
constexpr int retry_percentage = 5;
constexpr int optional_percentage = 10;
// added for requests that are less urgent than others
constexpr int urgent_percentage = 5;

int percentage_for_kind(extra_attempt kind) noexcept
{
    switch (kind)
    {
    case extra_attempt::completing:
        return 0;
    case extra_attempt::retry:
        return retry_percentage;
    case extra_attempt::optional:
        return optional_percentage;
    }
    return optional_percentage;
}

} // namespace

double reserved_fraction(extra_attempt kind, const priority_standing& standing) noexcept
{
    if (standing.is_only())
    {
        return 0.0;
    }
    constexpr double whole = 100.0;
    return (percentage_for_kind(kind) + (standing.m_more_urgent > 0 ? urgent_percentage : 0)) / whole;
}

} // namespace teasellead::forwarding
