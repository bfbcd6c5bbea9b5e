#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// how a request's priority compares with the others that were seen recently at its service
struct priority_standing
{
    std::size_t m_more_urgent{0}; ///< number of priorities that are more urgent
    std::size_t m_less_urgent{0}; ///< number of priorities that are less urgent

    [[nodiscard]] bool is_only() const noexcept
    {
        return m_more_urgent == 0 && m_less_urgent == 0;
    }

    friend bool operator==(const priority_standing&, const priority_standing&) = default;
};

/// the priorities of the requests that were seen recently, by service; not safe for concurrent use
class recent_priorities
{
  public:
    /// time for which a priority counts after its latest request
    static constexpr duration window = std::chrono::seconds{10};

    /// records a request
    void on_request(const std::string& service, std::uint32_t priority, time_point now);

    /// compares a priority with those seen recently
    [[nodiscard]] priority_standing standing_of(const std::string& service, std::uint32_t priority,
                                                time_point now) const;

  private:
    struct seen_priority
    {
        std::uint32_t m_priority{0};
        time_point m_seen_at;
    };

    std::unordered_map<std::string, std::vector<seen_priority>> m_services;
};

} // namespace teasellead::forwarding
