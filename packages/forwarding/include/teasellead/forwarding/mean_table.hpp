#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace teasellead::forwarding
{

/// a moving mean and the number of values that it comes from
struct moving_mean
{
    float m_mean{0.0F};
    std::uint32_t m_count{0};

    friend bool operator==(const moving_mean&, const moving_mean&) = default;
};

/*!
@brief moving means by a 64-bit key, in a fixed amount of memory

Keys are kept in small groups. Within a group the entry that was used least recently is replaced.
*/
class mean_table
{
  public:
    /*!
    @brief creates an empty table

    @param[in] entries    number of entries; rounded up to a power of two of groups
    @param[in] smoothing  largest divisor of a value's deviation from the mean
    */
    mean_table(std::size_t entries, std::uint32_t smoothing);

    /// the mean of a key; of no values if the key is unknown. @complexity constant
    [[nodiscard]] moving_mean find(std::uint64_t key) const noexcept;

    /// adds a value to the mean of a key. @complexity constant
    void add(std::uint64_t key, double value) noexcept;

    /// number of bytes that the entries use
    [[nodiscard]] std::size_t memory_bytes() const noexcept
    {
        return m_entries.size() * sizeof(entry);
    }

  private:
    struct entry
    {
        std::uint64_t m_key{0};
        moving_mean m_value;
        std::uint32_t m_used{0}; ///< number of the latest addition
    };

    static constexpr std::size_t group_size = 8;

    /// index of the first entry of a key's group
    [[nodiscard]] std::size_t group_of(std::uint64_t key) const noexcept;

    std::vector<entry> m_entries;
    std::uint32_t m_smoothing;
    std::uint32_t m_additions{0};
};

} // namespace teasellead::forwarding
