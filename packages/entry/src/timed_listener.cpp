#include "detail/timed_listener.hpp"

#include <boost/asio/dispatch.hpp>
#include <memory>
#include <utility>

namespace teasellead::detail
{

namespace
{

/// a listener and its timer; accessed on the loop's thread only
struct pending_answer
{
    explicit pending_answer(runtime::asio::io_context& loop, response_listener listener)
        : m_timer(loop), m_listener(std::move(listener))
    {
    }

    void deliver(const final_response& answer)
    {
        m_timer.cancel();
        if (const response_listener listener = std::exchange(m_listener, nullptr))
        {
            listener(answer);
        }
    }

    runtime::asio::steady_timer m_timer;
    response_listener m_listener; ///< empty once called
};

} // namespace

response_listener make_timed_listener(runtime::loop_thread& loop, duration remaining,
                                      final_response timeout_answer, response_listener listener)
{
    const auto pending = std::make_shared<pending_answer>(loop.loop(), std::move(listener));
    runtime::asio::dispatch(loop.loop(),
                            [pending, remaining, timeout_answer = std::move(timeout_answer)]
                            {
                                pending->m_timer.expires_after(remaining);
                                pending->m_timer.async_wait(
                                    [pending, timeout_answer](const boost::system::error_code& error)
                                    {
                                        if (!error)
                                        {
                                            pending->deliver(timeout_answer);
                                        }
                                    });
                            });
    return [&loop, pending](const final_response& answer)
    {
        runtime::asio::dispatch(loop.loop(), [pending, answer] { pending->deliver(answer); });
    };
}

} // namespace teasellead::detail
