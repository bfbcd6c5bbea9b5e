#pragma once

#include <set>
#include <string>
#include <utility>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::runtime
{

/*!
@brief data centres whose evacuation is in force

An evacuation that the source of published items has lost stays in force for a while, in which the operator
publishes it again. Not safe for use by several threads.
*/
class evacuations
{
  public:
    /// records that an evacuation was published
    void on_published(const std::string& data_centre)
    {
        m_lost.erase(data_centre);
        m_in_force.insert(data_centre);
    }

    /// records that an evacuation was taken back
    void on_taken_back(const std::string& data_centre)
    {
        m_lost.erase(data_centre);
        m_in_force.erase(data_centre);
    }

    /*!
    @brief records that the source came back from a backup without an evacuation

    @return whether it was in force and stays so for now
    */
    bool on_lost(const std::string& data_centre)
    {
        if (m_in_force.count(data_centre) == 0)
        {
            return false;
        }
        m_lost.insert(data_centre);
        return true;
    }

    /// sets until when evacuations that the source has lost stay in force
    void keep_lost_until(time_point end) noexcept
    {
        m_lost_end = end;
    }

    /// ends the evacuations that weren't published again in time; returns their data centres
    std::set<std::string> end_lost(time_point now)
    {
        if (now < m_lost_end)
        {
            return {};
        }
        for (const std::string& data_centre : m_lost)
        {
            m_in_force.erase(data_centre);
        }
        return std::exchange(m_lost, {});
    }

    [[nodiscard]] const std::set<std::string>& in_force() const noexcept
    {
        return m_in_force;
    }

  private:
    std::set<std::string> m_in_force;
    std::set<std::string> m_lost; ///< those in force that the source doesn't hold any more
    time_point m_lost_end{};
};

} // namespace teasellead::runtime
