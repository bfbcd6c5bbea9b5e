#pragma once

#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/*!
@brief a lease on the configuration in force

A withdrawn key must stop working on every node, also on one that can't hear of the withdrawal. So a request
with a key may be sent only while the node can prove that its configuration was current a short time ago. The
clock must count the time in which the host is suspended.
*/
class freshness
{
  public:
    /// @param[in] term  time for which a proof holds
    explicit freshness(duration term) noexcept : m_term(term)
    {
    }

    /*!
    @brief takes a proof that no newer configuration existed

    @param[in] asked_at  when the question that the proof answers was sent; an older proof is ignored
    */
    void on_proof(time_point asked_at) noexcept
    {
        m_proved_at = asked_at > m_proved_at ? asked_at : m_proved_at;
    }

    /// whether the configuration may still decide about keys
    [[nodiscard]] bool holds(time_point now) const noexcept
    {
        return m_proved_at != time_point{} && now - m_proved_at < m_term;
    }

    /// time since the last proof; the whole term and more if there is none
    [[nodiscard]] duration age(time_point now) const noexcept
    {
        return now - m_proved_at;
    }

  private:
    duration m_term;
    time_point m_proved_at{};
};

} // namespace teasellead::forwarding
