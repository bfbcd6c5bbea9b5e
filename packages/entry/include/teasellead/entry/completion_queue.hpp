#pragma once

#include <condition_variable>
#include <mutex>
#include <utility>
#include <variant>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/ordered_mutex.hpp"
#include "teasellead/routing/attempt.hpp"

namespace teasellead
{

/// the outcome of an attempt, reported by the event loop
struct attempt_completion
{
    attempt_id m_attempt{0};
    std::variant<upstream_reply, attempt_failure> m_outcome;

    friend bool operator==(const attempt_completion&, const attempt_completion&) = default;
};

/// passes the completed attempts of one request from the event loop to the worker that runs the request
class completion_queue
{
  public:
    /// adds a completion and wakes the worker
    void push(attempt_completion completion)
    {
        {
            const std::scoped_lock lock{m_mutex};
            m_completions.push_back(std::move(completion));
        }
        m_arrived.notify_one();
    }

    /*!
    @brief waits for completions

    @param[in] until  latest time to return

    @return the completions received so far; empty if there were none until @a until
    */
    [[nodiscard]] std::vector<attempt_completion> wait(time_point until)
    {
        std::unique_lock lock{m_mutex};
        m_arrived.wait_until(lock, until, [this] { return !m_completions.empty(); });
        return std::exchange(m_completions, {});
    }

  private:
    ordered_mutex<lock_level::completion> m_mutex;
    std::condition_variable_any m_arrived;
    std::vector<attempt_completion> m_completions;
};

} // namespace teasellead
