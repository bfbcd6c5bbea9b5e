#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "teasellead/fleet/remote_members.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/*!
@brief decides which data centre a node asks for tokens of one account

Each data centre holds a part of the account's limit. A node asks its own data centre first, and the others,
in an order of its own, while that one has no tokens or its holder doesn't reply. A state machine without I/O.
Not safe for use by several threads.
*/
class token_sources
{
  public:
    /// number of a data centre; 0 is the node's own
    using index = std::size_t;

    static constexpr index local = 0;

    /// creates the state of a node that knows no other data centre; @param[in] key  hash of the account's
    /// name
    explicit token_sources(std::uint64_t key) : m_key(key), m_sources(1)
    {
    }

    /// sets the nodes of the other data centres
    void on_members(const remote_members& others);

    /*!
    @brief the data centre to ask next; empty if none can be expected to give tokens now

    @param[in] skips_local  whether the own data centre has no bucket at present; it is asked only if no other
    can be
    @param[in] now          current time
    */
    [[nodiscard]] std::optional<index> next(bool skips_local, time_point now) const;

    /// the node to ask in another data centre; @pre the index was returned by @ref next and isn't @ref local
    [[nodiscard]] endpoint target(index source, time_point now) const;

    /// records that a node of another data centre named the holder
    void on_holder_hint(index source, const endpoint& holder, time_point now);

    /*!
    @brief records that a data centre has no tokens

    @param[in] source       the data centre
    @param[in] ask_again_at when it may have the next token
    @param[in] retry_at     when callers may come back: later, if others are expected back before them
    */
    void on_refusal(index source, time_point ask_again_at, time_point retry_at) noexcept;

    /// records that a data centre didn't reply, and isn't asked again before a time
    void on_silence(index source, time_point until) noexcept;

    /// earliest time at which a caller that is refused now may come back; the current time if unknown
    [[nodiscard]] time_point retry_at(time_point now) const;

  private:
    struct known_source
    {
        data_centre_id m_data_centre{0};
        std::vector<endpoint> m_nodes;    ///< responsive nodes in the order in which they are asked
        std::optional<endpoint> m_holder; ///< the holder that one of them has named
        time_point m_holder_until{};
        time_point m_refused_until{};
        time_point m_retry_at{};
        time_point m_silent_until{};
    };

    [[nodiscard]] bool is_available(index source, time_point now) const;

    std::uint64_t m_key;
    std::uint64_t m_members_version{0};
    std::vector<known_source>
        m_sources; ///< the own data centre, then the others in the order in which they are asked
};

} // namespace teasellead
