#pragma once

#include "teasellead/kernel/clock.hpp"
#include "teasellead/routing/request_memory.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace teasellead::detail
{

/*!
@brief adds a timeout to a listener

The listener is called exactly once, on the loop's thread: with the first answer, or with @a timeout_answer
after the timeout.

@param[in] loop            loop that runs the timer; must outlive the result
@param[in] remaining       time until the timeout
@param[in] timeout_answer  answer for the listener in case of a timeout
@param[in] listener        receives the answer

@return function that takes answers on any thread; those after the first or after the timeout are dropped
*/
[[nodiscard]] response_listener make_timed_listener(runtime::loop_thread& loop, duration remaining,
                                                    final_response timeout_answer,
                                                    response_listener listener);

} // namespace teasellead::detail
