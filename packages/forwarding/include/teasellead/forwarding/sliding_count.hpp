#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/*!
@brief counts events in a sliding window; the count is never less than the true number

The window is divided into slots; the oldest slot is counted in full until all of it has left the window.

@tparam Slots  number of slots of a window
*/
template <std::size_t Slots>
class sliding_count
{
  public:
    /// @param[in] window  length of the window
    explicit sliding_count(duration window) noexcept : m_slot(window / static_cast<duration::rep>(Slots))
    {
    }

    /// counts events
    void add(time_point now, std::uint64_t events = 1) noexcept
    {
        advance(now);
        m_counts[m_head] += events;
        m_total += events;
    }

    /// number of events in the window that ends now
    [[nodiscard]] std::uint64_t total(time_point now) noexcept
    {
        advance(now);
        return m_total;
    }

  private:
    // one slot more than the window has, so that the oldest is dropped only once all of it has left the
    // window
    static constexpr std::size_t size = Slots + 1;

    void advance(time_point now) noexcept
    {
        const std::int64_t slot = now.time_since_epoch() / m_slot;
        if (slot <= m_number)
        {
            return;
        }
        const std::int64_t steps = slot - m_number;
        for (std::int64_t i = 0; i < steps && i < static_cast<std::int64_t>(size); ++i)
        {
            m_head = (m_head + 1) % size;
            m_total -= m_counts[m_head];
            m_counts[m_head] = 0;
        }
        m_number = slot;
    }

    duration m_slot;
    std::array<std::uint64_t, size> m_counts{};
    std::size_t m_head{0};
    std::int64_t m_number{0};
    std::uint64_t m_total{0};
};

} // namespace teasellead::forwarding
