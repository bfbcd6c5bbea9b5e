#pragma once

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "teasellead/forwarding/upstream.hpp"
#include "teasellead/runtime/client_connection.hpp"

namespace teasellead::runtime
{

/*!
@brief this node's connections to all upstreams

All functions must be called by the thread that runs the loop.
*/
class upstream_pool
{
  public:
    /*!
    @brief creates a pool

    @param[in] loop             event loop
    @param[in] clock            time of the idle connections
    @param[in] connect_timeout  longest time to connect
    */
    upstream_pool(asio::io_context& loop, const monotonic_clock& clock,
                  std::chrono::milliseconds connect_timeout)
        : m_loop(loop), m_clock(clock), m_connect_timeout(connect_timeout)
    {
    }

    /*!
    @brief whether an attempt can start at an upstream at once

    @param[in] target  the upstream
    @param[in] limit   connections that this node may have to it
    */
    [[nodiscard]] bool has_room(const forwarding::upstream& target, std::size_t limit) const;

    /// an idle connection to an upstream, the one that was used last, or a new one
    [[nodiscard]] std::shared_ptr<client_connection> acquire(const forwarding::shared_upstream& target);

    /// connections that were opened so far
    [[nodiscard]] std::uint64_t opened() const noexcept
    {
        return m_opened;
    }

    /// closes the idle connections of upstreams that have left
    void close_unused();

  private:
    /// of the unfinished responses of all upstreams together
    static constexpr std::size_t max_received_bytes = 48 * 1024 * 1024;

    struct connections
    {
        forwarding::shared_upstream m_upstream; ///< keeps the address of the key from being used again
        std::vector<std::shared_ptr<client_connection>> m_open;
    };

    asio::io_context& m_loop;
    const monotonic_clock& m_clock;
    std::chrono::milliseconds m_connect_timeout;
    std::shared_ptr<receive_budget> m_budget{std::make_shared<receive_budget>(max_received_bytes)};
    std::unordered_map<const forwarding::upstream*, connections> m_connections;
    std::uint64_t m_opened{0};
};

} // namespace teasellead::runtime
