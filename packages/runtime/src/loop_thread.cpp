#include "teasellead/runtime/loop_thread.hpp"

#include <boost/asio/post.hpp>
#include <future>
#include <memory>

namespace teasellead::runtime
{

loop_thread::loop_thread() : m_work(m_loop.get_executor()), m_thread([this] { m_loop.run(); })
{
}

loop_thread::~loop_thread()
{
    stop();
}

void loop_thread::run(const std::function<void()>& function)
{
    if (!m_thread.joinable() || m_thread.get_id() == std::this_thread::get_id())
    {
        function();
        return;
    }
    // shared ownership: the loop's thread may still be inside the task when the wait for its result returns
    const auto task = std::make_shared<std::packaged_task<void()>>(function);
    asio::post(m_loop, [task] { (*task)(); });
    task->get_future().get();
}

void loop_thread::stop()
{
    if (m_thread.joinable())
    {
        m_loop.stop();
        m_thread.join();
    }
}

} // namespace teasellead::runtime
