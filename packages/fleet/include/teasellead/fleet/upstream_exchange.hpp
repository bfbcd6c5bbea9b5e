#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "teasellead/fleet/messages.hpp"
#include "teasellead/fleet/peer_status.hpp"
#include "teasellead/forwarding/upstream_directory.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/random.hpp"

namespace teasellead
{

/// why an observation of a peer, or all of a notice, wasn't used
enum class observation_fault : std::uint8_t
{
    unknown_sender,   ///< the sender isn't a known node of this data centre
    too_frequent,     ///< the sender has sent more notices than it may
    too_many,         ///< the notice has more observations than it may have
    unknown_upstream, ///< this node doesn't know the upstream, or knows another process of it
    too_old,
    out_of_range ///< a figure isn't possible
};

inline constexpr std::size_t observation_faults = 6;

/// the name of a fault in logs and metrics
[[nodiscard]] std::string_view to_string(observation_fault fault) noexcept;

/// observations of one sender that weren't used
struct rejected_observations
{
    endpoint m_sender;
    observation_fault m_fault{observation_fault::unknown_sender};
    std::string m_instance; ///< of the first of them; empty if the whole notice was rejected
    std::size_t m_count{0};

    friend bool operator==(const rejected_observations&, const rejected_observations&) = default;
};

/// numbers for the metrics
struct exchange_counts
{
    std::uint64_t m_sent{0};     ///< observations sent, once for each receiver
    std::uint64_t m_received{0}; ///< observations used
    std::array<std::uint64_t, observation_faults> m_rejected{};
    std::size_t m_in_trouble{0}; ///< upstreams that this node itself saw in trouble at the latest tick

    friend bool operator==(const exchange_counts&, const exchange_counts&) = default;
};

/*!
@brief exchanges observations of upstreams in trouble between the nodes of a data centre

Each tick a node sends what it has just observed itself to a few other nodes of its data centre, in turn, and
relays what it has heard of others, each upstream only once for a while. Nothing is sent while no upstream is
in trouble, and a node to which no upstream has reported its load only relays.
@ref forwarding::upstream decides what
the observations mean. A state machine without I/O. Not safe for use by several threads.
*/
class upstream_exchange
{
  public:
    /*!
    @brief creates an exchange without other nodes

    @param[in] self         address of this node
    @param[in] data_centre  its data centre
    @param[in] directory    the upstreams; must outlive this object
    */
    upstream_exchange(endpoint self, data_centre_id data_centre,
                      const forwarding::upstream_directory& directory) noexcept
        : m_self(self), m_data_centre(data_centre), m_directory(directory)
    {
    }

    /// sets the other nodes; only responsive ones of this data centre that aren't leaving take part
    void on_members(const std::vector<peer_status>& others);

    /*!
    @brief passes observations to the upstreams that they concern

    A rejected observation doesn't affect the other ones of the notice.
    */
    void on_message(const endpoint& sender, const observation_notice& content, time_point now);

    /// returns the notices to send; must be called about every 100 ms
    [[nodiscard]] std::vector<outgoing_message> on_tick(random_source& random, time_point now);

    /// returns what was rejected since the last call, one entry for each sender and fault
    [[nodiscard]] std::vector<rejected_observations> take_rejected();

    [[nodiscard]] const exchange_counts& counts() const noexcept
    {
        return m_counts;
    }

    /// most observations in a notice
    static constexpr std::size_t max_observations = 16;

    /// number of nodes that receive a notice at each tick
    static constexpr std::size_t fanout = 3;

    /// most notices of one sender that are read in a second
    static constexpr std::size_t max_notices_per_s = 20;

  private:
    /// what was heard of an upstream that this node will relay
    struct relay
    {
        observed_upstream m_observed;
        time_point m_observed_at;
        std::size_t m_sends{0}; ///< ticks at which it was sent
    };

    /// notices that a sender has sent within a second
    struct sender_rate
    {
        time_point m_since;
        std::size_t m_notices{0};
    };

    [[nodiscard]] bool may_send(const endpoint& sender, time_point now);
    void reject(const endpoint& sender, observation_fault fault, const std::string& instance,
                std::size_t count);
    void apply(const endpoint& sender, const observed_upstream& observed, time_point now);
    void queue_relay(const observed_upstream& observed, const forwarding::upstream& target, time_point now);
    [[nodiscard]] std::vector<observed_upstream> own_observations(random_source& random, time_point now);
    void append_relays(std::vector<observed_upstream>& observations, time_point now);
    void forget_relays(time_point now);
    [[nodiscard]] std::vector<endpoint> next_receivers(random_source& random);

    endpoint m_self;
    data_centre_id m_data_centre;
    const forwarding::upstream_directory& m_directory;
    std::vector<endpoint> m_peers;          ///< sorted
    std::vector<endpoint> m_next_receivers; ///< in random order; each gets a notice before any gets another
    std::vector<relay> m_relays;
    std::unordered_map<std::string, time_point>
        m_relayed;                                     ///< when the latest relay was observed, by instance
    std::unordered_map<endpoint, sender_rate> m_rates; ///< by sender
    std::vector<rejected_observations> m_rejected;
    exchange_counts m_counts;
    bool m_is_enabled{false}; ///< whether an upstream has reported its load to this node
};

} // namespace teasellead
