#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "teasellead/fleet/membership.hpp"

namespace teasellead::testing
{

/// several memberships with a platform list, and messages that are delivered immediately or lost
class membership_fleet
{
  public:
    struct member
    {
        std::unique_ptr<membership> m_membership;
        node_incarnation m_incarnation{0};
        node_status m_status{1, true, false};
        bool m_running{true};
        bool m_reads_list{true};
        host_list m_list; ///< list that the member reads; if empty, the fleet's common list
    };

    explicit membership_fleet(membership_settings settings) : m_settings(settings)
    {
    }

    static listed_host host_at(std::size_t position, const std::string& data_centre = "north")
    {
        return listed_host{endpoint{0x0A000001U + static_cast<std::uint32_t>(position), 7000}, data_centre};
    }

    /// starts a process at a position, and replaces the one that ran there
    void start(std::size_t position, const std::string& data_centre = "north")
    {
        m_members.resize(std::max(m_members.size(), position + 1));
        member& started = m_members[position];
        started = member{};
        started.m_incarnation = ++m_last_incarnation;
        started.m_membership =
            std::make_unique<membership>(host_at(position, data_centre), started.m_incarnation, m_settings);
    }

    /// puts positions on the platform's list
    void list(const std::vector<std::size_t>& positions, const std::string& data_centre = "north")
    {
        m_list.m_hosts.clear();
        ++m_list.m_version;
        for (const std::size_t position : positions)
        {
            m_list.m_hosts.push_back({host_at(position, data_centre), false});
        }
    }

    /// whether a message from one position reaches another
    std::function<bool(std::size_t, std::size_t)> m_connected{[](std::size_t, std::size_t)
                                                              {
                                                                  return true;
                                                              }};

    /// runs for a time in steps of 50 ms
    void run(duration length)
    {
        const time_point end = m_now + length;
        while (m_now < end)
        {
            m_now += std::chrono::milliseconds{50};
            step();
        }
    }

    [[nodiscard]] member& at(std::size_t position)
    {
        return m_members[position];
    }

    [[nodiscard]] double part(std::size_t position) const
    {
        return m_members[position].m_membership->current_limit_fraction(m_now).fraction_at(m_now);
    }

    [[nodiscard]] double parts() const
    {
        double sum = 0.0;
        for (std::size_t position = 0; position < m_members.size(); ++position)
        {
            sum += m_members[position].m_running && m_members[position].m_membership ? part(position) : 0.0;
        }
        return sum;
    }

    [[nodiscard]] time_point now() const noexcept
    {
        return m_now;
    }

    host_list m_list;

  private:
    void step()
    {
        for (std::size_t sender = 0; sender < m_members.size(); ++sender)
        {
            member& node = m_members[sender];
            if (!node.m_running || !node.m_membership)
            {
                continue;
            }
            if (node.m_reads_list)
            {
                node.m_membership->on_list(node.m_list.m_hosts.empty() ? m_list : node.m_list, m_now);
            }
            deliver(sender, node.m_membership->on_tick(node.m_status, m_now));
        }
    }

    void deliver(std::size_t sender, const std::vector<outgoing_message>& messages)
    {
        for (const outgoing_message& message : messages)
        {
            const std::size_t receiver = message.m_receiver.address() - 0x0A000001U;
            const bool arrives = receiver < m_members.size() && m_members[receiver].m_running &&
                                 m_members[receiver].m_membership && m_connected(sender, receiver);
            if (arrives)
            {
                m_members[receiver].m_membership->on_hello(host_at(sender).peer(),
                                                           m_members[sender].m_incarnation,
                                                           std::get<hello>(message.m_content), m_now);
            }
        }
    }

    membership_settings m_settings;
    std::vector<member> m_members;
    node_incarnation m_last_incarnation{0};
    time_point m_now{std::chrono::hours{1}};
};

} // namespace teasellead::testing
