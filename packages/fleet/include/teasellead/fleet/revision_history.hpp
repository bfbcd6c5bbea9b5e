#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "teasellead/fleet/messages.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/configuration.hpp"

namespace teasellead
{

/// keeps the last revisions that this node adopted as bases for deltas; not thread-safe
class revision_history
{
  public:
    /// adds the newly adopted revision; its number must be the highest
    void add(revision_number number, const std::string& text);

    /// the text of a revision, or null if it isn't kept
    [[nodiscard]] const std::string* find(revision_number number) const;

    /// digest of the newest text; empty before the first
    [[nodiscard]] const std::string& newest_digest() const noexcept
    {
        return m_newest_digest;
    }

    /*!
    @brief delta from a revision to the newest

    @param[in] base  number of the revision that the receiver has

    @return the delta; null if the base isn't kept or the delta isn't much smaller than the text

    @complexity linear in the size of the texts at the first call for a base, then constant
    */
    [[nodiscard]] const std::vector<text_edit>* delta_from(revision_number base);

  private:
    struct entry
    {
        revision_number m_number;
        std::string m_text;
    };

    std::deque<entry> m_entries;
    std::string m_newest_digest;
    std::map<revision_number, std::optional<std::vector<text_edit>>> m_deltas;
};

/// bounds the bytes that a node sends as full texts, on average and at once; not thread-safe
class transfer_budget
{
  public:
    /*!
    @brief creates a full budget

    @param[in] bytes_per_second  rate at which the budget is refilled
    @param[in] max_bytes         capacity: bytes that may be sent at once
    */
    transfer_budget(double bytes_per_second, double max_bytes)
        : m_bytes_per_second(bytes_per_second), m_max_bytes(max_bytes), m_bytes(max_bytes)
    {
    }

    /*!
    @brief takes bytes from the budget if enough are left

    @param[in] bytes  size of the transfer
    @param[in] now    current time

    @return whether the transfer may be sent
    */
    [[nodiscard]] bool take(std::size_t bytes, time_point now);

  private:
    double m_bytes_per_second;
    double m_max_bytes;
    double m_bytes;
    time_point m_updated;
};

} // namespace teasellead
