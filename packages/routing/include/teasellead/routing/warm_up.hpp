#pragma once

#include <compare>
#include <cstdint>

#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/// how fast the allowance of a cold upstream grows
class warm_up_settings
{
  public:
    /*!
    @brief creates settings

    @param[in] replies_per_step  fast replies per allowed request before the allowance grows by one
    @param[in] min_step          shortest time between two steps
    @param[in] max_step          longest time between two steps after repeated refusals
    */
    constexpr warm_up_settings(std::uint32_t replies_per_step, duration min_step, duration max_step) noexcept
        : m_replies_per_step(replies_per_step), m_min_step(min_step), m_max_step(max_step)
    {
    }

    [[nodiscard]] constexpr std::uint32_t replies_per_step() const noexcept
    {
        return m_replies_per_step;
    }

    [[nodiscard]] constexpr duration min_step() const noexcept
    {
        return m_min_step;
    }

    [[nodiscard]] constexpr duration max_step() const noexcept
    {
        return m_max_step;
    }

    friend constexpr bool operator==(const warm_up_settings&, const warm_up_settings&) noexcept = default;

  private:
    std::uint32_t m_replies_per_step;
    duration m_min_step;
    duration m_max_step;
};

/// how far an upstream has got after a cold start
enum class warm_up_state
{
    cold,    ///< how many requests it can take is unknown
    warming, ///< its allowance grows with fast replies
    warm     ///< the host may use its full share
};

/*!
@brief progress of one upstream's cold start, as measured by one host

An immutable value; each event produces a new one. The allowance is the number of requests that the host may
have in flight at the upstream.
*/
class warm_up
{
  public:
    /// a cold upstream
    constexpr warm_up() noexcept = default;

    [[nodiscard]] constexpr warm_up_state state() const noexcept
    {
        return m_state;
    }

    /*!
    @brief number of requests that may be in flight

    @param[in] cold_requests  this host's allowance while the upstream is cold
    @param[in] full           this host's share of a warm upstream
    */
    [[nodiscard]] constexpr std::uint32_t allowance(std::uint32_t cold_requests,
                                                    std::uint32_t full) const noexcept
    {
        switch (m_state)
        {
        case warm_up_state::cold:
            return cold_requests < full ? cold_requests : full;
        case warm_up_state::warming:
            return m_allowance < full ? m_allowance : full;
        case warm_up_state::warm:
            return full;
        }
        return 0;
    }

    /*!
    @brief the state after a fast reply

    @param[in] cold_requests  this host's allowance while the upstream is cold
    @param[in] target         allowance at which the upstream counts as warm
    @param[in] settings       how fast the allowance grows
    @param[in] started        start of the request; a request that started before the last change of the
                              allowance doesn't count
    @param[in] now            time of the reply
    */
    [[nodiscard]] warm_up after_fast_reply(std::uint32_t cold_requests, std::uint32_t target,
                                           const warm_up_settings& settings, time_point started,
                                           time_point now) const noexcept;

    /*!
    @brief the state after the upstream refused a request for overload, or a connection to it broke

    @param[in] full      this host's share of a warm upstream
    @param[in] settings  how fast the allowance grows
    @param[in] now       current time
    */
    [[nodiscard]] warm_up after_shed(std::uint32_t full, const warm_up_settings& settings,
                                     time_point now) const noexcept;

    /// the state of an upstream that is confirmed to be warm
    [[nodiscard]] static constexpr warm_up already_warm() noexcept
    {
        warm_up result;
        result.m_state = warm_up_state::warm;
        return result;
    }

    friend constexpr auto operator<=>(const warm_up&, const warm_up&) noexcept = default;

  private:
    warm_up_state m_state{warm_up_state::cold};
    std::uint32_t m_allowance{0};
    std::uint32_t m_fast_replies{0};
    duration m_step{duration::zero()};
    time_point m_last_step;
};

} // namespace teasellead
