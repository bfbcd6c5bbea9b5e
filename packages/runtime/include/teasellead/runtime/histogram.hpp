#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::runtime
{

/// counts durations in buckets for the Prometheus text exposition format; not safe for use by several threads
class histogram
{
  public:
    /// records a duration
    void add(duration value) noexcept
    {
        const double value_ms = std::chrono::duration<double, std::milli>(value).count();
        const auto bound = std::lower_bound(bounds_ms.begin(), bounds_ms.end(), value_ms);
        ++m_buckets.at(static_cast<std::size_t>(bound - bounds_ms.begin()));
        m_sum_ms += value_ms;
        ++m_count;
    }

    /// number of recorded durations
    [[nodiscard]] std::uint64_t count() const noexcept
    {
        return m_count;
    }

    /*!
    @brief returns the lines of all buckets, the sum and the count, without a `TYPE` line

    @param[in] name    name of the metric
    @param[in] labels  labels, such as `route="a"`; may be empty
    */
    [[nodiscard]] std::string lines(std::string_view name, std::string_view labels = {}) const
    {
        const std::string_view separator = labels.empty() ? "" : ",";
        const std::string braced = labels.empty() ? std::string{} : "{" + std::string{labels} + "}";
        std::ostringstream text;
        std::uint64_t below = 0;
        for (std::size_t i = 0; i < bounds_ms.size(); ++i)
        {
            below += m_buckets.at(i);
            text << name << "_bucket{" << labels << separator << "le=\"" << bounds_ms.at(i) << "\"} " << below
                 << '\n';
        }
        text << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << m_count << '\n'
             << name << "_sum" << braced << ' ' << m_sum_ms << '\n'
             << name << "_count" << braced << ' ' << m_count << '\n';
        return text.str();
    }

  private:
    static constexpr std::array<double, 10> bounds_ms{5, 10, 25, 50, 75, 100, 250, 500, 1000, 5000};

    std::array<std::uint64_t, bounds_ms.size() + 1> m_buckets{};
    double m_sum_ms{0.0};
    std::uint64_t m_count{0};
};

} // namespace teasellead::runtime
