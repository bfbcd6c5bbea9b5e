#include "teasellead/routing/attempt.hpp"

namespace teasellead
{

std::string_view to_string(attempt_kind kind) noexcept
{
    switch (kind)
    {
    case attempt_kind::first:
        return "first";
    case attempt_kind::retry:
        return "retry";
    case attempt_kind::hedge:
        return "hedge";
    }
    return "first";
}

std::string_view to_string(attempt_failure failure) noexcept
{
    switch (failure)
    {
    case attempt_failure::not_connected:
        return "not_connected";
    case attempt_failure::no_free_connection:
        return "no_free_connection";
    case attempt_failure::lost:
        return "lost";
    case attempt_failure::shed:
        return "shed";
    case attempt_failure::draining:
        return "draining";
    case attempt_failure::wrong_snapshot:
        return "wrong_snapshot";
    case attempt_failure::invalid_reply:
        return "invalid_reply";
    case attempt_failure::timed_out:
        return "timed_out";
    }
    return "lost";
}

verdict verdict_of(attempt_failure failure) noexcept
{
    switch (failure)
    {
    case attempt_failure::not_connected:
    case attempt_failure::no_free_connection:
    case attempt_failure::shed:
    case attempt_failure::draining:
    case attempt_failure::wrong_snapshot:
        return verdict::not_run;
    case attempt_failure::lost:
    case attempt_failure::invalid_reply:
    case attempt_failure::timed_out:
        return verdict::may_have_run;
    }
    return verdict::may_have_run;
}

} // namespace teasellead
