#pragma once

#include <algorithm>
#include <chrono>
#include <cppunit/TestAssert.h>
#include <set>
#include <string>

#include "publication_fleet.hpp"

namespace teasellead::testing
{

/// time for which keys are fresh after a confirmation, as in all deployments with withdrawn keys
constexpr duration key_freshness = std::chrono::milliseconds{4700};

/// the longest time for which a node that had no fault itself was without a change
class lag_meter
{
  public:
    lag_meter(publication_fleet& fleet, std::size_t nodes) : m_fleet(fleet), m_nodes(nodes)
    {
    }

    /// leaves a node out from now on
    void excuse(std::size_t node)
    {
        m_excused.insert(node);
    }

    void run_for(duration length)
    {
        for (const time_point end = m_fleet.now() + length; m_fleet.now() < end;)
        {
            m_fleet.run_for(std::chrono::milliseconds{20});
            for (std::size_t node = 0; node < m_nodes; ++node)
            {
                if (m_excused.count(node) == 0)
                {
                    m_longest = std::max(m_longest, m_fleet.lag(node));
                }
            }
        }
    }

    [[nodiscard]] duration longest() const noexcept
    {
        return m_longest;
    }

  private:
    publication_fleet& m_fleet;
    std::size_t m_nodes;
    std::set<std::size_t> m_excused;
    duration m_longest{};
};

/// fails a test whose longest lag reaches the bound
inline void check_lag(const std::string& name, duration lag, duration bound)
{
    const auto lag_ms = std::chrono::duration_cast<std::chrono::milliseconds>(lag).count();
    CPPUNIT_ASSERT_MESSAGE(name + ": " + std::to_string(lag_ms) + " ms", lag < bound);
}

} // namespace teasellead::testing
