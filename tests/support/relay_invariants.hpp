#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "relay_simulation.hpp"

namespace teasellead::testing
{

/// checks invariants over all nodes of a simulated fleet; collects the violations
class relay_invariants
{
  public:
    explicit relay_invariants(relay_simulation& fleet, relay_settings settings)
        : m_fleet(fleet), m_settings(settings)
    {
        m_fleet.m_after_step = [this](std::size_t index)
        {
            after_step(index);
        };
    }

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept
    {
        return m_violations;
    }

    /// publishes a text, and checks five seconds later that all nodes that could receive the revision have it
    void publish(const std::string& text, bool is_valid)
    {
        m_fleet.publish(text, is_valid);
        if (!is_valid)
        {
            return;
        }
        const time_point time = m_fleet.now();
        const revision_number number = m_fleet.published().size();
        m_fleet.at(time + convergence_limit, [this, number, time] { check_convergence(number, time); });
    }

    /// ends the freeze of a node and records the revisions of its reachable peers; the node must have them
    /// before it admits requests with keys
    void wake(std::size_t index)
    {
        m_known_at_wake[index] = {};
        for (std::size_t other = 0; other < m_fleet.nodes().size(); ++other)
        {
            const simulated_node& peer = m_fleet.nodes()[other];
            if (other != index && peer.is_running() && !m_fleet.links().is_cut(index, other))
            {
                m_known_at_wake[index].emplace(other, peer.in_force());
            }
        }
        m_fleet.wake(index);
    }

    /// checks that every node serves and has the newest valid revision that any node or the platform has
    void check_healed()
    {
        const published_text& last = m_fleet.published().back();
        revision_number newest = last.m_is_valid ? last.m_number : 0;
        for (const simulated_node& node : m_fleet.nodes())
        {
            newest = std::max(newest, node.in_force());
        }
        for (std::size_t index = 0; index < m_fleet.nodes().size(); ++index)
        {
            const simulated_node& node = m_fleet.nodes()[index];
            expect(node.in_force() == newest, index, "hasn't the newest revision after all faults ended");
            expect(node.m_relay->may_serve(m_fleet.now()), index, "doesn't serve after all faults ended");
            expect(!node.m_relay->needs_recheck(m_fleet.now()), index, "still checks after all faults ended");
        }
    }

    static constexpr std::chrono::seconds convergence_limit{5};

  private:
    void expect(bool holds, std::size_t index, const std::string& what)
    {
        if (!holds)
        {
            const auto since = m_fleet.now() - m_begin;
            m_violations.push_back("node " + std::to_string(index) + " " + what + ", revision " +
                                   std::to_string(m_fleet.nodes()[index].in_force()) + " at " +
                                   std::to_string(since / std::chrono::milliseconds{1}) + " ms");
        }
    }

    void after_step(std::size_t index)
    {
        simulated_node& node = m_fleet.nodes()[index];
        check_text(index, node);
        check_order(index, node);
        check_wake(index, node);
    }

    void check_text(std::size_t index, const simulated_node& node)
    {
        const shared_revision revision = node.m_cell->get();
        if (revision->number() == 0)
        {
            return;
        }
        const published_text& original = m_fleet.published()[revision->number() - 1];
        expect(original.m_is_valid, index, "uses an invalid text");
        expect(original.m_text == revision->text(), index, "has a text that differs from the published one");
    }

    void check_order(std::size_t index, simulated_node& node)
    {
        if (!node.m_relay->may_serve(m_fleet.now()))
        {
            return;
        }
        const bool is_first = m_serving_run[index] != node.m_incarnation;
        m_serving_run[index] = node.m_incarnation;
        const bool is_older = node.in_force() < node.m_highest_served;
        // no reachable peer had the newer revision, so the node couldn't detect that its own is older
        const bool is_unavoidable = is_first && node.m_witnesses.empty();
        expect(!is_older || is_unavoidable, index,
               "serves an older revision than " + std::to_string(node.m_highest_served));
        node.m_highest_served = node.in_force();
    }

    void check_wake(std::size_t index, simulated_node& node)
    {
        if (!node.m_must_recheck)
        {
            return;
        }
        const duration elapsed = m_fleet.now() - node.m_stable_since;
        const bool is_blocked =
            !node.m_relay->may_serve(m_fleet.now()) || node.m_relay->needs_recheck(m_fleet.now());
        if (is_blocked)
        {
            const bool was_serving = node.m_relay->may_serve(m_fleet.now());
            const duration limit = m_settings.m_check.m_fetch_timeout + std::chrono::milliseconds{200};
            expect(!was_serving || elapsed <= limit, index, "checks for too long after it was frozen");
            return;
        }
        node.m_must_recheck = false;
        for (const auto& [other, number] : m_known_at_wake[index])
        {
            const simulated_node& peer = m_fleet.nodes()[other];
            const bool is_reachable = peer.is_running() && peer.m_stable_since < node.m_stable_since &&
                                      m_fleet.links().is_open_since(index, other, node.m_stable_since);
            expect(!is_reachable || node.in_force() >= number ||
                       elapsed >= m_settings.m_check.m_stall_timeout,
                   index, "admits keys after it was frozen without revision " + std::to_string(number));
        }
    }

    /// nodes that have run without a break since a time, and were connected all that time to an up-to-date
    /// platform, directly or through other such nodes
    [[nodiscard]] std::set<std::size_t> reached_since(time_point since)
    {
        const std::vector<simulated_node>& nodes = m_fleet.nodes();
        const auto is_stable = [&](std::size_t index)
        {
            return nodes[index].is_running() && nodes[index].m_stable_since <= since;
        };
        std::vector<std::size_t> open;
        std::set<std::size_t> reached;
        for (std::size_t index = 0; index < nodes.size(); ++index)
        {
            const bool has_platform = nodes[index].m_has_platform && nodes[index].m_platform_lag == 0;
            if (is_stable(index) && has_platform && nodes[index].m_platform_since <= since)
            {
                open.push_back(index);
            }
        }
        while (!open.empty())
        {
            const std::size_t from = open.back();
            open.pop_back();
            if (!reached.insert(from).second)
            {
                continue;
            }
            for (std::size_t to = 0; to < nodes.size(); ++to)
            {
                if (to != from && is_stable(to) && m_fleet.links().is_open_since(from, to, since))
                {
                    open.push_back(to);
                }
            }
        }
        return reached;
    }

    void check_convergence(revision_number number, time_point since)
    {
        const std::vector<published_text>& published = m_fleet.published();
        const auto is_invalid = [](const published_text& each)
        {
            return !each.m_is_valid;
        };
        if (std::any_of(published.begin() + static_cast<std::ptrdiff_t>(number), published.end(), is_invalid))
        {
            // the platform serves only the last text; perhaps no node read this one before it was replaced
            return;
        }
        for (const std::size_t index : reached_since(since))
        {
            expect(m_fleet.nodes()[index].in_force() >= number, index,
                   "hasn't revision " + std::to_string(number) + " five seconds after its publication");
        }
    }

    relay_simulation& m_fleet;
    relay_settings m_settings;
    time_point m_begin{m_fleet.now()};
    std::vector<std::string> m_violations;
    std::map<std::size_t, node_incarnation> m_serving_run;
    std::map<std::size_t, std::map<std::size_t, revision_number>> m_known_at_wake;
};

} // namespace teasellead::testing
