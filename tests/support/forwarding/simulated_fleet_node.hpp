#pragma once

#include <deque>
#include <memory>
#include <string>

#include "simulated_process.hpp"

namespace teasellead::testing
{

/// a host with at most one process at a time, which may be stalled
class simulated_fleet_node final : public process_place
{
  public:
    simulated_fleet_node(process_world& world, std::size_t number, runtime::forwarding_settings settings,
                         std::function<bool()> reaches_store)
        : m_world(world), m_number(number), m_settings(std::move(settings)),
          m_reaches_store(std::move(reaches_store))
    {
    }

    [[nodiscard]] bool reaches_store() const override
    {
        return m_reaches_store();
    }

    void when_awake(std::function<void()> action) override
    {
        if (is_frozen())
        {
            m_held.push_back(std::move(action));
            return;
        }
        action();
    }

    void start(std::uint64_t incarnation)
    {
        m_life = incarnation;
        m_process = std::make_unique<simulated_process>(m_world, *this, m_settings, m_number, incarnation);
    }

    void kill()
    {
        m_process.reset();
        m_held.clear();
        m_frozen_until = {};
    }

    void freeze(duration length)
    {
        m_frozen_until = m_world.m_queue.now() + length;
        m_world.m_queue.at(m_frozen_until, [this] { wake(); });
    }

    [[nodiscard]] bool is_frozen() const
    {
        return m_world.m_queue.now() < m_frozen_until;
    }

    /// the running process, or null
    [[nodiscard]] simulated_process* process() noexcept
    {
        return m_process.get();
    }

    [[nodiscard]] std::uint64_t life() const noexcept
    {
        return m_life;
    }

    [[nodiscard]] const runtime::forwarding_settings& settings() const noexcept
    {
        return m_settings;
    }

    /// runs an action on the current process once it isn't stalled, if it is still running then
    void for_process(std::function<void(simulated_process&)> action)
    {
        when_awake(
            [this, incarnation = m_life, action = std::move(action)]
            {
                if (m_process && m_life == incarnation)
                {
                    action(*m_process);
                }
            });
    }

  private:
    void wake()
    {
        std::deque<std::function<void()>> deferred;
        deferred.swap(m_held);
        for (const auto& action : deferred)
        {
            when_awake(action);
        }
    }

    process_world& m_world;
    std::size_t m_number;
    runtime::forwarding_settings m_settings;
    std::function<bool()> m_reaches_store;
    std::unique_ptr<simulated_process> m_process;
    std::uint64_t m_life{0};
    time_point m_frozen_until{};
    std::deque<std::function<void()>> m_held; ///< actions deferred until the end of a stall
};

} // namespace teasellead::testing
