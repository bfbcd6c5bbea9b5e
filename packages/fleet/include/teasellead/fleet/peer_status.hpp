#pragma once

#include <cstdint>
#include <string_view>

#include "teasellead/fleet/messages.hpp"
#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

/// identifies a data centre within a process; unlike its name, it is cheap to copy
using data_centre_id = std::uint64_t;

[[nodiscard]] inline data_centre_id data_centre_id_of(std::string_view name)
{
    return hash64(name);
}

/// where a node is
struct node_location
{
    endpoint m_address;
    data_centre_id m_data_centre{0};

    friend auto operator<=>(const node_location&, const node_location&) = default;
};

/// state of another node that may be serving, from its gossip record
struct peer_status
{
    endpoint m_address;
    node_incarnation m_incarnation{0}; ///< increases with each start of a node at the address
    bool m_is_unresponsive{false};     ///< whether no new record of the node was received for a while
    bool m_is_leaving{false};          ///< whether the node is about to stop or has just stopped
    data_centre_id m_data_centre{0};

    friend auto operator<=>(const peer_status&, const peer_status&) = default;
};

} // namespace teasellead
