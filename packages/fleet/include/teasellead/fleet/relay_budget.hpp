#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

#include "teasellead/fleet/publication_position.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/*!
@brief limits the bytes of published items that a node sends to its peers

The node's own calls and the answers to its callers use the same link and mustn't wait behind items. Large
items are sent to a peer once while they may still be on their way. Not safe for use by several threads.
*/
class relay_budget
{
  public:
    /// @param[in] bytes_per_second  mean rate; 0 for no limit
    explicit relay_budget(double bytes_per_second) noexcept : m_bytes_per_second(bytes_per_second)
    {
    }

    /*!
    @brief whether items may be sent to a peer now

    @param[in] receiver  the peer
    @param[in] have      position up to which the peer has every change
    @param[in] now       current time
    */
    [[nodiscard]] bool may_send(const endpoint& receiver, const publication_position& have,
                                time_point now) const
    {
        const auto last = m_large.find(receiver);
        const bool is_on_its_way = last != m_large.end() && last->second.m_have == have &&
                                   now - last->second.m_sent_at < resend_delay;
        return now >= m_free_at && !is_on_its_way;
    }

    /*!
    @brief records items that were sent to a peer

    @param[in] receiver  the peer
    @param[in] have      position up to which the peer had every change
    @param[in] bytes     size of the items
    @param[in] now       current time
    */
    void on_sent(const endpoint& receiver, const publication_position& have, std::size_t bytes,
                 time_point now)
    {
        if (m_bytes_per_second <= 0.0)
        {
            return;
        }
        const std::chrono::duration<double> length{static_cast<double>(bytes) / m_bytes_per_second};
        m_free_at = std::max(m_free_at, now - burst) + std::chrono::duration_cast<duration>(length);
        if (bytes >= large_bytes)
        {
            m_large.insert_or_assign(receiver, large_reply{have, now});
        }
        std::erase_if(m_large,
                      [now](const auto& each) { return now - each.second.m_sent_at >= resend_delay; });
    }

  private:
    // time after which a peer that still lacks large items gets them again
    static constexpr std::chrono::milliseconds resend_delay{1000};
    // time of unused rate that is kept
    static constexpr std::chrono::milliseconds burst{100};
    static constexpr std::size_t large_bytes = 8192;

    struct large_reply
    {
        publication_position m_have;
        time_point m_sent_at;
    };

    double m_bytes_per_second;
    time_point m_free_at{}; ///< when the sent items are paid for
    std::map<endpoint, large_reply> m_large;
};

} // namespace teasellead
