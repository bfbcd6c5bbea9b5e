#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teasellead/fleet/messages.hpp"

namespace teasellead
{

/// changes that bring another node's items up to date
struct publication_delta
{
    std::vector<published_item> m_items;
    std::vector<std::string> m_unchanged; ///< keys of the other items; only if every published item is listed
    publication_position m_as_of;         ///< up to which the items are complete
    bool m_is_full{false};                ///< whether every published item is listed, not only the changes

    /// size of the keys and values
    [[nodiscard]] std::size_t bytes() const noexcept;

    friend bool operator==(const publication_delta&, const publication_delta&) = default;
};

/// items and listings that a copy of the published items passed over because it has later ones
struct outdated_publications
{
    std::uint64_t m_items{0};
    std::uint64_t m_listings{0};     ///< also changes of an older epoch, as a whole
    std::string m_key;               ///< key of the first item; empty if there are only listings
    publication_position m_position; ///< of the first item or listing
    publication_position m_known;    ///< what the copy has instead

    [[nodiscard]] bool is_empty() const noexcept
    {
        return m_items + m_listings == 0;
    }

    friend bool operator==(const outdated_publications&, const outdated_publications&) = default;
};

/*!
@brief this node's copy of the items that a deployment publishes, with a history of recent changes

All items and the history belong to the epoch of @ref as_of.
Not safe for use by several threads.
*/
class publication_log
{
  public:
    /*!
    @brief applies a listing of all published items; one of a newer epoch replaces all that is known

    @param[in] items      the items
    @param[in] unchanged  keys of further items that this copy has in their current revision
    @param[in] as_of      position of the listing; all later changes will be received

    @return the changes, including removals; empty if the listing is older than this copy
    */
    std::vector<published_item> on_listing(const std::vector<published_item>& items,
                                           const std::vector<std::string>& unchanged,
                                           const publication_position& as_of);

    /// applies a listing of all published items with their values
    std::vector<published_item> on_listing(const std::vector<published_item>& items,
                                           const publication_position& as_of)
    {
        return on_listing(items, {}, as_of);
    }

    /*!
    @brief applies changes in the order of their revisions; those of another epoch are passed over

    @param[in] items  changed and removed items
    @param[in] as_of  position up to which nothing is missing

    @return the items that changed this copy
    */
    std::vector<published_item> on_changes(const std::vector<published_item>& items,
                                           const publication_position& as_of);

    /// returns and forgets what was passed over as outdated; items that are merely repeated don't count
    [[nodiscard]] outdated_publications take_outdated()
    {
        return std::exchange(m_outdated, {});
    }

    /// position up to which this copy is complete; without items before the first listing
    [[nodiscard]] const publication_position& as_of() const noexcept
    {
        return m_as_of;
    }

    /// number of items
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_items.size();
    }

    /*!
    @brief returns the changes since a position

    @param[in] have  position up to which the requesting node has every change

    @complexity linear in the number of changes, or of items if the history doesn't reach back so far
    */
    [[nodiscard]] publication_delta since(const publication_position& have) const;

  private:
    struct change
    {
        std::uint64_t m_revision{0};
        std::string m_key;
    };

    bool apply(const published_item& item);
    /// replaces all items by those of a newer epoch; returns the changes
    std::vector<published_item> begin_epoch(const std::vector<published_item>& items,
                                            const publication_position& as_of);
    /// removes items that a listing doesn't have, and appends their removals to the changes
    void remove_missing(const std::vector<std::string>& keys, const publication_position& as_of,
                        std::vector<published_item>& changes);
    /// appends a change to the history
    void record(std::uint64_t revision, const std::string& key);
    /// lists all items; those that the requesting node has in their current revision only by their keys
    [[nodiscard]] publication_delta all_items(const publication_position& have) const;
    /// records an item if it differs from the later one that is known
    void note_outdated(const published_item& item, const published_item& known);
    void note_outdated(const publication_position& listing);

    std::unordered_map<std::string, published_item> m_items;
    std::unordered_map<std::string, std::uint64_t> m_removed; ///< revisions of removals in the history
    std::deque<change> m_history;
    std::uint64_t m_history_from{0}; ///< changes after this revision are in the history
    publication_position m_as_of;
    outdated_publications m_outdated;
};

} // namespace teasellead
