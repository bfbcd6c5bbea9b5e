#pragma once

#include <string_view>

namespace teasellead
{

/*!
@brief whether a request was executed by an upstream

A verdict only changes towards @ref verdict::ran, since an attempt that was sent to an upstream can't be
undone. Callers may repeat a non-idempotent request only on @ref verdict::not_run.
*/
enum class verdict
{
    not_run, ///< no byte of any attempt reached an upstream, or the upstream confirmed that it didn't run
    may_have_run, ///< an attempt was sent and its outcome is unknown
    ran           ///< an upstream reported completion
};

/*!
@brief combines the verdicts of two attempts of one request

@param[in] lhs  verdict of one attempt
@param[in] rhs  verdict of the other attempt

@return the greater of both; @ref verdict::not_run only if both are

@complexity constant
@exceptionsafety never throws
*/
[[nodiscard]] constexpr verdict combine(verdict lhs, verdict rhs) noexcept
{
    return lhs < rhs ? rhs : lhs;
}

/*!
@brief name of a verdict as used in responses, logs and traces

@param[in] value  the verdict

@return `not_run`, `may_have_run` or `ran`

@complexity constant
@exceptionsafety never throws
*/
[[nodiscard]] constexpr std::string_view to_string(verdict value) noexcept
{
    switch (value)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

} // namespace teasellead
