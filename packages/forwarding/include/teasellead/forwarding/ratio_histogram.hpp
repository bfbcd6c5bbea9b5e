#pragma once

#include <array>
#include <cstddef>
#include <optional>

namespace teasellead::forwarding
{

/*!
@brief distribution of the ratios of actual to expected values, in which recent values count more

Has a fixed size. A value's weight halves with about every 180 later ones.
*/
class ratio_histogram
{
  public:
    /// adds a ratio; values beyond the range count in the outermost bucket
    void add(double ratio) noexcept;

    /*!
    @brief the ratio that a fraction of the values doesn't exceed

    @param[in] fraction  greater than 0, at most 1

    @return the ratio, interpolated within its bucket; empty until there are enough values
    */
    [[nodiscard]] std::optional<double> quantile(double fraction) const noexcept;

  private:
    // from a sixteenth to 16 times the expected value
    static constexpr int steps_per_doubling = 4;
    static constexpr int doublings = 4;
    static constexpr std::size_t buckets = 2 * doublings * steps_per_doubling;

    std::array<float, buckets> m_weights{};
    float m_total{0.0F};
    float m_next_weight{1.0F};
    unsigned m_count{0};
};

} // namespace teasellead::forwarding
