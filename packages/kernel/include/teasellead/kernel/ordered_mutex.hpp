#pragma once

#include <cassert>
#include <mutex>

namespace teasellead
{

/*!
@brief levels of the lock hierarchy, which prevents deadlocks

A thread that holds a lock may acquire only locks of a higher level. Debug builds assert this.
*/
enum class lock_level : int
{
    dispatch_queue = 10,   ///< queue between callers and workers
    fleet_state = 20,      ///< membership, limits and configuration relay
    upstream_table = 30,   ///< state of the upstreams
    extra_load = 40,       ///< budget of hedges and retries
    used_request_ids = 50, ///< request ids that were already used
    quarantine = 60,       ///< fingerprints of requests that crash upstreams
    completion = 80,       ///< replies to one search
    peer_outbox = 90,      ///< messages to peers
    revision = 95,         ///< current configuration revision
    stop = 97,             ///< times of a stop
    metrics = 100          ///< counters and histograms
};

namespace detail
{

/// level of the lock that the calling thread acquired last and still holds; 0 if there is none
inline int& held_lock_level() noexcept
{
    thread_local int level = 0;
    return level;
}

} // namespace detail

/*!
@brief a mutex with a level in the lock hierarchy

Meets the BasicLockable requirements, so it works with `std::scoped_lock` and `std::condition_variable_any`.

@tparam Level  level in the lock hierarchy
*/
template <lock_level Level>
class ordered_mutex
{
  public:
    void lock()
    {
        assert(detail::held_lock_level() < static_cast<int>(Level) && "locks taken out of order");
        m_mutex.lock();
        m_previous = detail::held_lock_level();
        detail::held_lock_level() = static_cast<int>(Level);
    }

    void unlock()
    {
        detail::held_lock_level() = m_previous;
        m_mutex.unlock();
    }

  private:
    std::mutex m_mutex;
    int m_previous{0};
};

} // namespace teasellead
