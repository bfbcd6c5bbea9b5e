#pragma once

#include "teasellead/fleet/messages.hpp"

namespace teasellead
{

/// state of another node that may be serving, from its gossip record
struct peer_status
{
    endpoint m_address;
    node_incarnation m_incarnation{0}; ///< increases with each start of a node at the address
    bool m_is_unresponsive{false};     ///< whether no new record of the node was received for a while
    bool m_is_leaving{false};          ///< whether the node is about to stop or has just stopped

    friend auto operator<=>(const peer_status&, const peer_status&) = default;
};

} // namespace teasellead
