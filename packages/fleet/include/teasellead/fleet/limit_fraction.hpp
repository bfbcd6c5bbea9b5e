#pragma once

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/configuration.hpp"

namespace teasellead
{

/*!
@brief the fraction of its data centre's limits that a host may use, with the times at which it expires

Computed by @ref membership. @ref account_limiter checks the times whenever it admits a request, so that a
process that resumes after a stall uses no more than its evidence of membership still allows.
*/
struct limit_fraction
{
    double m_fraction{0.0};          ///< fraction while the evidence of membership is valid
    double m_reserved_fraction{0.0}; ///< fraction while the host is isolated
    time_point m_fraction_until;     ///< when the evidence expires
    time_point m_reserved_until;     ///< when the isolation window ends
    revision_number m_min_revision{
        0}; ///< every other host is known to have adopted this revision or a later one

    /// smallest fraction of all limits that a peer uses for the data centre
    double m_peers_data_centre_fraction{1.0};

    /*!
    @brief the fraction that may be used at a given time

    @param[in] now  current time

    @complexity constant
    */
    [[nodiscard]] double fraction_at(time_point now) const noexcept
    {
        if (now < m_fraction_until)
        {
            return m_fraction;
        }
        return now < m_reserved_until ? m_reserved_fraction : 0.0;
    }

    friend bool operator==(const limit_fraction&, const limit_fraction&) = default;
};

} // namespace teasellead
