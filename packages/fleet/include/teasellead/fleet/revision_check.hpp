#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "teasellead/fleet/membership.hpp"
#include "teasellead/fleet/messages.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead
{

/// settings of @ref revision_check
struct revision_check_settings
{
    std::size_t m_peers_per_side{6};             ///< peers asked inside and outside of the own data centre
    std::chrono::milliseconds m_ask_period{250}; ///< time until a request without a reply is repeated
    std::chrono::milliseconds m_start_timeout{3000}; ///< time limit of a check after a start
    std::chrono::milliseconds m_stall_timeout{2000}; ///< time limit of a check after a stall of the process
    std::chrono::milliseconds m_fetch_timeout{5000}; ///< the same if a newer revision can't be fetched
    std::chrono::milliseconds m_platform_grace{800}; ///< time for peers to reply if the platform has replied

    friend bool operator==(const revision_check_settings&, const revision_check_settings&) = default;
};

/// why a node checks whether its revision is the newest
enum class check_reason
{
    start, ///< the process has just started
    stall  ///< the process was stalled
};

/// value of revision_request::m_have that requests only the number of the receiver's revision, without its
/// text
inline constexpr revision_number number_only = ~revision_number{0};

/*!
@brief checks with peers and the platform whether a node's revision is the newest

Only replies to requests of this check count, since messages that were buffered in a socket while the process
was stalled may be outdated. A state machine without I/O.
*/
class revision_check
{
  public:
    /*!
    @brief starts a check

    @param[in] reason    why the check is needed
    @param[in] id        number that identifies replies to this check; not 0
    @param[in] settings  periods and limits
    @param[in] now       current time
    */
    revision_check(check_reason reason, std::uint64_t id, revision_check_settings settings, time_point now);

    /*!
    @brief returns the requests that are due

    @param[in]     self    this node
    @param[in]     peers   listed peers
    @param[in]     now     current time
    @param[in,out] random  for the choice of peers

    @return requests to peers that haven't replied
    */
    [[nodiscard]] std::vector<outgoing_message> on_tick(const listed_host& self,
                                                        const std::vector<peer_status>& peers, time_point now,
                                                        random_source& random);

    /// processes a peer's reply
    void on_reply(const endpoint& peer, const revision_reply& reply);

    /// the platform replied to a read that began after the start of the check
    void on_platform_answer() noexcept
    {
        m_has_platform_answer = true;
    }

    /*!
    @brief whether the check has ended

    @param[in] is_up_to_date  whether the current revision is as high as any that was announced
    @param[in] now            current time
    */
    [[nodiscard]] bool is_complete(bool is_up_to_date, time_point now) const;

    /// whether the platform, or a peer whose own revision is confirmed, has replied
    [[nodiscard]] bool is_confirmed() const noexcept
    {
        return m_has_confirmed_reply || m_has_platform_answer;
    }

    [[nodiscard]] check_reason reason() const noexcept
    {
        return m_reason;
    }

    [[nodiscard]] time_point started() const noexcept
    {
        return m_started;
    }

  private:
    struct asked_peer
    {
        time_point m_next_request;
        bool m_has_answered{false};
    };

    void choose(const listed_host& self, const std::vector<peer_status>& peers, time_point now,
                random_source& random);
    [[nodiscard]] bool have_all_answered() const;

    check_reason m_reason;
    std::uint64_t m_id;
    revision_check_settings m_settings;
    time_point m_started;
    std::map<endpoint, asked_peer> m_asked;
    std::size_t m_asked_inside{0};
    std::size_t m_asked_outside{0};
    bool m_has_confirmed_reply{false};
    bool m_has_platform_answer{false};
};

} // namespace teasellead
