#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "teasellead/forwarding/route.hpp"
#include "teasellead/forwarding/sliding_count.hpp"
#include "teasellead/forwarding/upstream.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead::forwarding
{

/*!
@brief limits the requests that this node sends to cold upstreams, so that a limit for all nodes is kept

For each cold upstream, rendezvous hashing selects a few nodes, at most as many as the limit in requests a
second. Each of them may send an equal, whole number of requests in any second; the other nodes send none. So
the limit holds for all nodes together without messages between them and without a common clock. A node whose
view of the nodes hasn't converged yet sends none. Not safe for concurrent use by several threads.
*/
class cold_start_limiter
{
  public:
    /// @param[in] self  address of this node
    explicit cold_start_limiter(endpoint self) noexcept : m_self(self)
    {
    }

    /// sets the services of a new configuration
    void on_services(const std::vector<service>& services);

    /*!
    @brief sets the nodes that may be sending requests

    @param[in] others        addresses of the other nodes
    @param[in] is_converged  whether this node has been running for long enough to know all of them
    */
    void on_members(const std::vector<endpoint>& others, bool is_converged);

    /*!
    @brief whether a request may be sent to an upstream now

    @param[in] target  the upstream; a warm one is never limited
    @param[in] now     current time

    @complexity constant; linear in the number of nodes if the upstream is new or if the nodes or services
    have changed
    */
    [[nodiscard]] bool may_send(const upstream& target, time_point now);

    /// counts a request that is sent to an upstream
    void on_send(const upstream& target, time_point now);

  private:
    static constexpr std::size_t slots = 10;
    static constexpr duration window = std::chrono::seconds{1};

    struct cold_upstream
    {
        std::uint64_t m_version{0}; ///< version of the nodes and rates from which @ref m_allowed was derived
        std::uint64_t m_allowed{0}; ///< number of requests that this node may send in a window
        sliding_count<slots> m_sent{window};
    };

    cold_upstream& state_of(const upstream& target, double rate, time_point now);
    void remove_unused(time_point now);
    /// number of requests that this node may send to a cold upstream in a window
    [[nodiscard]] std::uint64_t share_of(const std::string& instance, double rate) const;
    [[nodiscard]] double rate_of(const upstream& target) const;

    endpoint m_self;
    std::vector<endpoint> m_others;
    bool m_is_converged{false};
    std::uint64_t m_version{1};                      ///< incremented when the nodes or the rates change
    std::unordered_map<std::string, double> m_rates; ///< requests a second by service, for those with a limit
    std::unordered_map<std::string, cold_upstream> m_cold_upstreams;
};

} // namespace teasellead::forwarding
