#include "teasellead/forwarding/extra_reserve.hpp"

namespace teasellead::forwarding
{

namespace
{

// fractions of the budget that the most urgent requests leave for those of their attempts that matter more
constexpr double retry_fraction = 0.1;
constexpr double optional_fraction = 0.25;
// added for requests that are less urgent than others
constexpr double urgent_fraction = 0.25;

double fraction_for_kind(extra_attempt kind) noexcept
{
    switch (kind)
    {
    case extra_attempt::completing:
        return 0.0;
    case extra_attempt::retry:
        return retry_fraction;
    case extra_attempt::optional:
        return optional_fraction;
    }
    return optional_fraction;
}

} // namespace

double reserved_fraction(extra_attempt kind, const priority_standing& standing) noexcept
{
    if (standing.is_only())
    {
        return 0.0;
    }
    return fraction_for_kind(kind) + (standing.m_more_urgent > 0 ? urgent_fraction : 0.0);
}

} // namespace teasellead::forwarding
