#pragma once

#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/*!
@brief time-limited permission to accept keys according to this node's configuration

A withdrawn key must stop working on every node, also on a node that can't receive the new configuration.
Therefore a request with a key may be sent only if the configuration was confirmed to be current within the
lease's term. The clock must include the time during which the host is suspended.
*/
class configuration_lease
{
  public:
    /// @param[in] term  time for which a confirmation is valid
    explicit configuration_lease(duration term) noexcept : m_term(term)
    {
    }

    /*!
    @brief renews the lease after a confirmation that no newer configuration existed

    @param[in] requested_at  when the request that the confirmation answers was sent; ignored if it is earlier
    than that of a previous confirmation
    */
    void renew(time_point requested_at) noexcept
    {
        m_confirmed_at = requested_at > m_confirmed_at ? requested_at : m_confirmed_at;
    }

    /// whether keys may still be accepted
    [[nodiscard]] bool is_valid(time_point now) const noexcept
    {
        return m_confirmed_at != time_point{} && now - m_confirmed_at < m_term;
    }

    /// time since the request of the latest confirmation; longer than the term if there is none
    [[nodiscard]] duration age(time_point now) const noexcept
    {
        return now - m_confirmed_at;
    }

  private:
    duration m_term;
    time_point m_confirmed_at{};
};

} // namespace teasellead::forwarding
