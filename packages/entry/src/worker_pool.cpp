#include "teasellead/entry/worker_pool.hpp"

#include <utility>

namespace teasellead
{

worker_pool::worker_pool(std::size_t workers, std::size_t capacity) : m_jobs(capacity)
{
    m_threads.reserve(workers);
    for (std::size_t worker = 0; worker < workers; ++worker)
    {
        m_threads.emplace_back([this] { run(); });
    }
}

worker_pool::~worker_pool()
{
    stop();
}

void worker_pool::stop()
{
    {
        const std::scoped_lock lock{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    for (std::thread& thread : m_threads)
    {
        thread.join();
    }
    m_threads.clear();
}

bool worker_pool::submit(const std::string& account, std::uint32_t weight, job work)
{
    {
        const std::scoped_lock lock{m_mutex};
        if (!m_jobs.push(account, weight, std::move(work)))
        {
            return false;
        }
    }
    m_changed.notify_one();
    return true;
}

std::size_t worker_pool::waiting() const
{
    const std::scoped_lock lock{m_mutex};
    return m_jobs.size();
}

void worker_pool::run()
{
    while (true)
    {
        job next;
        {
            std::unique_lock lock{m_mutex};
            m_changed.wait(lock, [this] { return m_stopping || m_jobs.size() > 0; });
            auto taken = m_jobs.pop();
            if (!taken)
            {
                return;
            }
            next = std::move(*taken);
        }
        next();
    }
}

} // namespace teasellead
