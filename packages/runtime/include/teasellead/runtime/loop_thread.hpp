#pragma once

#include <functional>
#include <thread>

#include "teasellead/runtime/asio.hpp"

namespace teasellead::runtime
{

/*!
@brief an event loop that runs on its own thread

Thread-safe.
*/
class loop_thread
{
  public:
    loop_thread();
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    /// calls @ref stop
    ~loop_thread();

    [[nodiscard]] asio::io_context& loop() noexcept
    {
        return m_loop;
    }

    /*!
    @brief runs a function on the loop's thread and waits until it returns

    After @ref stop, or when called on the loop's thread, the function runs directly on the calling thread.

    @throw whatever the function throws
    */
    void run(const std::function<void()>& function);

    /// stops the loop and joins its thread; handlers that haven't run yet are not run any more
    void stop();

  private:
    asio::io_context m_loop{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace teasellead::runtime
