#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "teasellead/kernel/ordered_mutex.hpp"
#include "teasellead/routing/fair_queue.hpp"

namespace teasellead
{

/*!
@brief thread pool with a fair queue, weighted by client account

Safe for use by several threads.
*/
class worker_pool
{
  public:
    using job = std::function<void()>;

    /*!
    @brief starts the threads

    @param[in] workers   number of threads
    @param[in] capacity  largest number of queued jobs of one client account
    */
    worker_pool(std::size_t workers, std::size_t capacity);
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// see @ref stop
    ~worker_pool();

    /// runs all queued jobs, then stops the threads; jobs submitted later aren't run
    void stop();

    /*!
    @brief adds a job

    @param[in] account  client account of the job
    @param[in] weight   weight of the account
    @param[in] work     the job; must not throw

    @return false if the queue of the account is full
    */
    [[nodiscard]] bool submit(const std::string& account, std::uint32_t weight, job work);

    /// number of queued jobs
    [[nodiscard]] std::size_t waiting() const;

  private:
    void run();

    mutable ordered_mutex<lock_level::dispatch_queue> m_mutex;
    std::condition_variable_any m_changed;
    fair_queue<job> m_jobs;
    bool m_stopping{false};
    std::vector<std::thread> m_threads;
};

} // namespace teasellead
