#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/*!
@brief learns how much longer replies from other data centres take than replies from the own one

For each service it compares the lowest latencies of both places, in which waits and expensive requests hardly
show. A data centre without a service in common with the own one stays unknown.
*/
class network_distance
{
  public:
    /// @param[in] own_data_centre  data centre of this node
    explicit network_distance(std::string own_data_centre) : m_own_data_centre(std::move(own_data_centre))
    {
    }

    /// learns from the latency of a successful attempt
    void add(const std::string& service, const std::string& data_centre, duration latency);

    /// the additional time of a request and its reply; zero for the own data centre, empty if unknown
    [[nodiscard]] std::optional<duration> find(const std::string& data_centre) const;

    /// whether a data centre is the node's own
    [[nodiscard]] bool is_own(const std::string& data_centre) const noexcept
    {
        return data_centre == m_own_data_centre;
    }

  private:
    /// lowest recent latency
    struct lowest_latency
    {
        duration m_value{duration::max()};
        std::uint32_t m_replies{0};
    };

    struct learned_distance
    {
        duration m_mean{duration::zero()};
        std::uint32_t m_samples{0};
        std::unordered_map<std::string, lowest_latency> m_lowest; ///< by service
    };

    std::string m_own_data_centre;
    std::unordered_map<std::string, learned_distance> m_data_centres;
};

} // namespace teasellead::forwarding
