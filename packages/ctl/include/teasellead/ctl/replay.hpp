#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace teasellead
{

/// a step of a trace whose outcome differs from the expected one
struct trace_difference
{
    std::size_t m_line{0}; ///< line number in the trace, from 1
    std::string m_expected;
    std::string m_actual;

    friend bool operator==(const trace_difference&, const trace_difference&) = default;
};

/// result of the replay of one trace
struct replay_result
{
    std::size_t m_checked{0}; ///< number of steps with an expected outcome
    std::vector<trace_difference> m_differences;

    friend bool operator==(const replay_result&, const replay_result&) = default;
};

/*!
@brief replays the inputs of a trace in the decision code and compares the outcomes with the expected ones

The first line gives the kind of decision; each further line is a step, see docs/traces.md. Time and random
seeds are read from the trace, so that a replay is reproducible.

@param[in] text  the trace, JSON Lines

@return the differences, in the order of lines

@throw protocol_error 541 if a line isn't a step of the trace's kind, time decreases, or no step expects an
       outcome; the message names the line
*/
[[nodiscard]] replay_result replay_trace(std::string_view text);

} // namespace teasellead
