#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/*!
@brief distribution of recent latencies in buckets whose bounds grow by a constant ratio

Old samples lose weight: whenever the total reaches a limit, all counts are halved.
*/
class latency_histogram
{
  public:
    /*!
    @brief adds a sample

    @param[in] latency  time from sending to reply

    @complexity constant, amortised
    @exceptionsafety never throws
    */
    void add(duration latency) noexcept;

    /*!
    @brief a quantile of the latencies

    @param[in] fraction  fraction of the samples that don't exceed the quantile, in [0, 1]

    @return upper bound of the bucket in which the quantile lies; zero without samples

    @complexity linear in the number of buckets
    @exceptionsafety never throws
    */
    [[nodiscard]] duration quantile(double fraction) const noexcept;

    /*!
    @brief the fraction of the samples that exceed a latency, to the precision of the buckets

    @param[in] latency  the latency

    @return a fraction in [0, 1]; zero without samples

    @complexity linear in the number of buckets
    @exceptionsafety never throws
    */
    [[nodiscard]] double fraction_above(duration latency) const noexcept;

    /// number of weighted samples
    [[nodiscard]] std::uint32_t size() const noexcept
    {
        return m_total;
    }

  private:
    static constexpr std::size_t bucket_count = 128;

    [[nodiscard]] static std::size_t bucket_of(duration latency) noexcept;
    [[nodiscard]] static duration upper_bound_of(std::size_t bucket) noexcept;
    void halve() noexcept;

    std::array<std::uint32_t, bucket_count> m_counts{};
    std::uint32_t m_total{0};
};

} // namespace teasellead
