#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "teasellead/fleet/configuration_relay.hpp"
#include "teasellead/fleet/text_delta.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/current_revision.hpp"

namespace teasellead::testing
{

/// a services text; `salt` makes texts distinct, `entries` sets the size
inline std::string services_text(std::uint64_t salt, std::size_t entries)
{
    std::string text;
    for (std::size_t number = 0; number < entries; ++number)
    {
        const std::size_t rate = number == salt % entries ? 20 + salt : 10;
        text += "[[client_account]]\nname = \"account-" + std::to_string(number) +
                "\"\nrate = " + std::to_string(rate) + "\nburst = 20\n\n";
    }
    return text;
}

/// shape of a simulated fleet
struct fleet_shape
{
    std::size_t m_nodes{9};
    std::size_t m_data_centres{4};
    duration m_tick{std::chrono::milliseconds{50}};
    bool m_has_periodic_hellos{true}; ///< otherwise only announcements, to peers of the data centre
    relay_settings m_settings;
};

/// a published text with its revision number
struct published_text
{
    revision_number m_number;
    std::string m_text;
    bool m_is_valid;
    time_point m_time;
};

/// a simulated node with the configuration relay of production
struct simulated_node
{
    simulated_node(listed_host host, time_point now)
        : m_host(std::move(host)), m_stable_since(now), m_platform_since(now)
    {
    }

    listed_host m_host;
    std::unique_ptr<current_revision> m_cell;
    std::unique_ptr<configuration_relay> m_relay;
    std::vector<peer_status> m_peers;
    node_incarnation m_incarnation{0};
    bool m_is_alive{false};
    bool m_is_frozen{false};
    std::vector<std::function<void()>> m_backlog; ///< events that wait while the node is frozen
    time_point m_started;
    time_point m_stable_since;   ///< last start, stop, freeze or end of a freeze
    time_point m_platform_since; ///< when it last began to read an up-to-date platform
    bool m_has_platform{true};
    std::size_t m_platform_lag{0};  ///< revisions by which the platform's replies to it are behind
    std::uint64_t m_read{0};        ///< id of the running read
    std::uint64_t m_sent_bytes{0};  ///< requests and replies of the relay
    std::uint64_t m_sent_hellos{0}; ///< announcements that carry no request or reply
    revision_number m_announced{0};
    revision_number m_highest_served{0};
    std::vector<std::size_t> m_witnesses; ///< reachable peers since the start that had the newer revision
    bool m_must_recheck{false};           ///< a freeze ended and it hasn't been ready to admit requests since

    [[nodiscard]] bool is_running() const
    {
        return m_is_alive && !m_is_frozen;
    }

    [[nodiscard]] revision_number in_force() const
    {
        return m_is_alive ? m_cell->get()->number() : 0;
    }
};

/// upper estimate of the bytes of a message on the wire
inline std::uint64_t message_bytes(const peer_content& content)
{
    constexpr std::uint64_t envelope_bytes = 120; // TCP, CURVE and the envelope
    const auto* const reply = std::get_if<revision_reply>(&content);
    if (reply == nullptr)
    {
        return envelope_bytes;
    }
    return envelope_bytes + reply->m_payload.size() + delta_bytes(reply->m_delta) + reply->m_digest.size();
}

/// the peers of a node that has just started; without periodic hellos, only those of its data centre, as if
/// a hello of each had been received
inline std::vector<peer_status> listed_peers(const std::vector<simulated_node>& nodes, std::size_t index,
                                             bool has_periodic_hellos, time_point now)
{
    std::vector<peer_status> result;
    for (std::size_t other = 0; other < nodes.size(); ++other)
    {
        const bool is_near = nodes[other].m_host.data_centre() == nodes[index].m_host.data_centre();
        if (other != index && (has_periodic_hellos || is_near))
        {
            const node_incarnation seen = has_periodic_hellos ? 0 : 1;
            result.push_back({nodes[other].m_host, seen, 0, true, false, now});
        }
    }
    return result;
}

} // namespace teasellead::testing
