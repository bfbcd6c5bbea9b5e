#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "teasellead/forwarding/upstream.hpp"
#include "teasellead/runtime/client_connection.hpp"

namespace teasellead::runtime
{

/*!
@brief pool of this node's connections to all upstreams

All functions must be called by the thread that runs the loop.
*/
class upstream_pool
{
  public:
    /*!
    @brief creates a pool

    @param[in] loop             event loop
    @param[in] clock            clock for the timeouts of idle connections
    @param[in] connect_timeout  longest time to connect
    @param[in] budget           limits the bytes of all replies; no limit if null
    */
    upstream_pool(asio::io_context& loop, const monotonic_clock& clock,
                  std::chrono::milliseconds connect_timeout, std::shared_ptr<memory_budget> budget)
        : m_loop(loop), m_clock(clock), m_connect_timeout(connect_timeout), m_budget(std::move(budget))
    {
    }

    /*!
    @brief whether an idle connection to an upstream exists or a new one may be opened

    @param[in] target  the upstream
    @param[in] limit   largest number of connections of this node to it
    */
    [[nodiscard]] bool has_capacity(const forwarding::upstream& target, std::size_t limit) const;

    /// returns the most recently used idle connection to an upstream, or a new one if there is none
    [[nodiscard]] std::shared_ptr<client_connection> acquire(const forwarding::shared_upstream& target);

    /// number of connections opened so far
    [[nodiscard]] std::uint64_t opened() const noexcept
    {
        return m_opened;
    }

    /// number of connections that an upstream reset while the first request on them had no response yet
    [[nodiscard]] std::uint64_t reset_on_first_use() const noexcept
    {
        return m_reset_on_first_use;
    }

    /// number of open connections
    [[nodiscard]] std::size_t held() const noexcept;

    /// closes the idle connections to upstreams that are leaving
    void close_unused();

    /// returns the largest number of connections of this node to an upstream
    using limit_function = std::function<std::size_t(const forwarding::upstream&)>;

    /*!
    @brief closes idle connections beyond the limits, the least recently used first, and those that may not be
    used any more

    Connections in use are kept; a later call closes them if they are idle then.

    @param[in] limit_of  limit of each upstream, which may have changed since the connections were opened
    */
    void close_surplus(const limit_function& limit_of);

  private:
    struct upstream_connections
    {
        forwarding::shared_upstream m_upstream; ///< keeps the map's key from being reused for another object
        std::vector<std::shared_ptr<client_connection>> m_open;
    };

    asio::io_context& m_loop;
    const monotonic_clock& m_clock;
    std::chrono::milliseconds m_connect_timeout;
    std::shared_ptr<memory_budget> m_budget;
    std::unordered_map<const forwarding::upstream*, upstream_connections> m_connections;
    std::uint64_t m_opened{0};
    std::uint64_t m_reset_on_first_use{0};
};

} // namespace teasellead::runtime
