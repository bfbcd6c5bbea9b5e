#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "teasellead/fleet/messages.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/host_view.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead
{

/// settings of @ref text_fetcher
struct text_fetcher_settings
{
    std::chrono::milliseconds m_delta_timeout{300}; ///< time without a reply until another peer is asked
    std::chrono::milliseconds m_text_timeout{1000}; ///< the same if a full text was requested

    friend bool operator==(const text_fetcher_settings&, const text_fetcher_settings&) = default;
};

/// chooses the peer that is asked for the text of a newer revision; a state machine without I/O
class text_fetcher
{
  public:
    /// creates a fetcher that knows no peer
    explicit text_fetcher(text_fetcher_settings settings) : m_settings(settings)
    {
    }

    /// a peer has a newer revision
    void add_holder(const endpoint& peer, revision_number number);

    /// a peer has no newer revision or can't send it
    void remove_holder(const endpoint& peer);

    /// makes the next request due at once, since the last one failed
    void retry_now(time_point now) noexcept;

    /// delays the next request by a random time; its bound grows with the number of hosts that request the
    /// text
    void delay_request(std::size_t hosts, time_point now, random_source& random);

    /// requests full texts until the next @ref on_adopted, since a delta couldn't be applied
    void want_full_text() noexcept
    {
        m_wants_full_text = true;
    }

    /// a revision was adopted; removes the peers that have no higher one
    void on_adopted(revision_number number);

    /*!
    @brief returns the request that is due

    @param[in]     current_number  number of the current revision
    @param[in]     local_hosts     hosts of this node's data centre, which are preferred
    @param[in]     now             current time
    @param[in,out] random          for the choice among peers

    @return at most one request
    */
    [[nodiscard]] std::vector<outgoing_message> request(revision_number current_number,
                                                        const std::vector<listed_host>& local_hosts,
                                                        time_point now, random_source& random);

  private:
    [[nodiscard]] std::optional<endpoint> choose(const std::vector<listed_host>& local_hosts,
                                                 random_source& random) const;

    text_fetcher_settings m_settings;
    std::map<endpoint, revision_number> m_holders;
    std::optional<endpoint> m_asked;
    bool m_wants_full_text{false};
    time_point m_next_request;
};

} // namespace teasellead
