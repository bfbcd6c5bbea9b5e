#pragma once

#include "teasellead/fleet/messages.hpp"

namespace teasellead
{

/// another node that may be serving, as this node knows it
struct peer_status
{
    endpoint m_address;
    node_incarnation m_incarnation{0}; ///< grows with each start of a node at the address
    bool m_is_silent{false};           ///< whether nothing was heard of it for a while
    bool m_is_leaving{false};          ///< whether it is about to stop, or has stopped a moment ago

    friend auto operator<=>(const peer_status&, const peer_status&) = default;
};

} // namespace teasellead
