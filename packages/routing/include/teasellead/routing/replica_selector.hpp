#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/kernel/random.hpp"
#include "teasellead/kernel/registry.hpp"

namespace teasellead
{

/// an upstream that may be chosen, with the values that the choice depends on
class replica_candidate
{
  public:
    /*!
    @brief creates a candidate

    @param[in] upstream   address
    @param[in] in_flight  requests that this host has in flight at it
    @param[in] latency    recent latency
    @param[in] local      whether it is in this host's data centre
    */
    constexpr replica_candidate(endpoint upstream, std::uint32_t in_flight, duration latency,
                                bool local) noexcept
        : m_upstream(upstream), m_in_flight(in_flight), m_latency(latency), m_local(local)
    {
    }

    [[nodiscard]] constexpr const endpoint& upstream() const noexcept
    {
        return m_upstream;
    }

    [[nodiscard]] constexpr std::uint32_t in_flight() const noexcept
    {
        return m_in_flight;
    }

    [[nodiscard]] constexpr duration latency() const noexcept
    {
        return m_latency;
    }

    [[nodiscard]] constexpr bool local() const noexcept
    {
        return m_local;
    }

    friend constexpr bool operator==(const replica_candidate&, const replica_candidate&) noexcept = default;

  private:
    endpoint m_upstream;
    std::uint32_t m_in_flight;
    duration m_latency;
    bool m_local;
};

/// the better of two random candidates by requests in flight and recent latency; prefers local candidates
struct two_choices_selector
{
};

/// a random candidate; serves as a baseline in measurements
struct random_selector
{
};

/// strategy that chooses a replica; the strategies are registered by name with the kernel
using replica_selector = std::variant<two_choices_selector, random_selector>;

/*!
@brief chooses one of several candidates

@param[in] selector    the strategy
@param[in] candidates  the candidates, at least one
@param[in] random      source of randomness

@return position of the chosen candidate

@complexity linear in the number of candidates
*/
[[nodiscard]] std::size_t choose(const replica_selector& selector,
                                 const std::vector<replica_candidate>& candidates, random_source& random);

/// the selector of a registered name; @throw settings_error 203 if there is none
[[nodiscard]] replica_selector make_replica_selector(const std::string& name);

} // namespace teasellead
