#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

#include "simulated_node.hpp"
#include "teasellead/fleet/configuration_relay.hpp"
#include "teasellead/kernel/hashing.hpp"

namespace teasellead::testing
{

inline const endpoint first_peer{0x7F000002, 7001};
inline const endpoint second_peer{0x7F000003, 7001};
inline const std::string invalid_text = "[[client_account]]\nname = \"without limits\"\n";

inline std::string text_of(revision_number number)
{
    return services_text(number, 30);
}

inline std::vector<peer_status> peers_at(time_point now)
{
    return {{listed_host{first_peer, "north"}, 1, 0, true, false, now},
            {listed_host{second_peer, "north"}, 1, 0, true, false, now}};
}

/// a configuration relay with its revision cell and a clock
class relay_fixture
{
  public:
    explicit relay_fixture(relay_settings settings = {})
        : m_relay(m_cell, listed_host{endpoint{0x7F000001, 7001}, "north"}, settings, random_source{1},
                  m_clock.now())
    {
    }

    /// completes the check at the start with a revision
    void serve(revision_number number)
    {
        m_relay.on_text(number, text_of(number), now());
        pass(std::chrono::seconds{4});
        CPPUNIT_ASSERT(m_relay.may_serve(now()));
    }

    /// advances the clock for a time and ticks the relay; returns its messages
    std::vector<outgoing_message> pass(duration length)
    {
        std::vector<outgoing_message> result;
        for (const time_point end = now() + length; now() < end;
             m_clock.advance(std::chrono::milliseconds{50}))
        {
            for (outgoing_message& message : m_relay.on_tick(peers_at(now()), now()))
            {
                result.push_back(std::move(message));
            }
        }
        return result;
    }

    [[nodiscard]] time_point now() const
    {
        return m_clock.now();
    }

    [[nodiscard]] revision_number in_force() const
    {
        return m_cell.get()->number();
    }

    current_revision m_cell;
    manual_clock m_clock;
    configuration_relay m_relay;
};

inline revision_reply full_reply(revision_number number)
{
    return revision_reply{number, 0, text_of(number), digest_hex(text_of(number)), {}, 0, true};
}

} // namespace teasellead::testing
