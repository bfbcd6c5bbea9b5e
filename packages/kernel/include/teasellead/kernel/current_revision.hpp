#pragma once

#include <mutex>
#include <utility>

#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/ordered_mutex.hpp"

namespace teasellead
{

/// thread-safe holder of the current configuration revision
class current_revision
{
  public:
    /// the current revision; never null
    [[nodiscard]] shared_revision get() const
    {
        const std::scoped_lock lock{m_mutex};
        return m_revision;
    }

    /*!
    @brief replaces the current revision if the given one has a higher number

    @param[in] revision  the new revision; must not be null

    @return whether the revision was replaced

    @exceptionsafety strong
    */
    bool advance(shared_revision revision)
    {
        const std::scoped_lock lock{m_mutex};
        if (revision->number() <= m_revision->number())
        {
            return false;
        }
        m_revision = std::move(revision);
        return true;
    }

  private:
    mutable ordered_mutex<lock_level::revision> m_mutex;
    shared_revision m_revision{std::make_shared<const configuration_revision>()};
};

} // namespace teasellead
