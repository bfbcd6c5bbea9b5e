#pragma once

#include <compare>
#include <cstdint>

namespace teasellead
{

/*!
@brief a place in the history of the published items

The source may come back from a backup. Then it has lost its latest changes and gives their revisions out
again to others, and its epoch has increased. So the epoch goes first in the order of positions. Immutable.
*/
class publication_position
{
  public:
    /// the position of a node that has no items yet
    constexpr publication_position() = default;

    /*!
    @param[in] epoch     number of the source's history; 0 if the source doesn't number them
    @param[in] revision  revision within that history
    */
    constexpr publication_position(std::uint64_t epoch, std::uint64_t revision) noexcept
        : m_epoch(epoch), m_revision(revision)
    {
    }

    [[nodiscard]] constexpr std::uint64_t epoch() const noexcept
    {
        return m_epoch;
    }

    [[nodiscard]] constexpr std::uint64_t revision() const noexcept
    {
        return m_revision;
    }

    /// whether there is any item up to here
    [[nodiscard]] constexpr bool has_items() const noexcept
    {
        return m_revision > 0;
    }

    friend auto operator<=>(const publication_position&, const publication_position&) = default;

  private:
    std::uint64_t m_epoch{0};
    std::uint64_t m_revision{0};
};

} // namespace teasellead
