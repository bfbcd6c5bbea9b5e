#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "relay_invariants.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

constexpr std::uint64_t seeds = 1'000;
constexpr auto faults_end = 16s;
constexpr auto healing_time = 8s;
const std::string invalid_text = "[[client_account]]\nname = \"without limits\"\n";

/// injects faults into a fleet at random times and ends all of them before the final check
class fault_scenario
{
  public:
    fault_scenario(std::uint64_t seed, fleet_shape shape)
        : m_fleet(shape, seed), m_invariants(m_fleet, shape.m_settings), m_begin(m_fleet.now())
    {
    }

    std::vector<std::string> run()
    {
        start();
        for (std::uint64_t count = 4 + random().below(8); count > 0; --count)
        {
            at_random(1s, faults_end - 2s, [this] { cause_fault(); });
        }
        for (int count = 0; count < 3; ++count)
        {
            at_random(0s, faults_end, [this] { publish(); });
        }
        m_fleet.run_until(m_begin + faults_end);
        heal();
        m_fleet.run_until(m_begin + faults_end + healing_time);
        m_invariants.check_healed();
        return m_invariants.violations();
    }

  private:
    random_source& random()
    {
        return m_fleet.random();
    }

    [[nodiscard]] std::size_t any_node()
    {
        return random().below(m_fleet.nodes().size());
    }

    duration any_time(duration from, duration to)
    {
        return from + duration{static_cast<duration::rep>(random().unit() *
                                                          static_cast<double>((to - from).count()))};
    }

    template <class Action>
    void at_random(duration from, duration to, Action action)
    {
        m_fleet.at(m_begin + any_time(from, to), action);
    }

    template <class Action>
    void after(duration from, duration to, Action action)
    {
        m_fleet.at(m_fleet.now() + any_time(from, to), action);
    }

    void start()
    {
        publish();
        for (std::size_t index = 0; index < m_fleet.nodes().size(); ++index)
        {
            m_fleet.start(index);
        }
    }

    void publish()
    {
        m_invariants.publish(services_text(m_fleet.published().size(), 3), true);
    }

    void publish_invalid()
    {
        m_invariants.publish(invalid_text, false);
    }

    void cause_fault()
    {
        switch (random().below(9))
        {
        case 0:
            publish_invalid();
            if (random().below(2) == 0)
            {
                after(0ms, 1s, [this] { publish(); });
            }
            break;
        case 1:
            publish();
            after(0ms, 1s, [this] { publish(); });
            break;
        case 2:
            limit_platform(1.0, false, 0);
            break;
        case 3:
            limit_platform(0.5, true, 1 + random().below(3));
            break;
        case 4:
            limit_platform(0.5, false, 0);
            break;
        case 5:
            restart_readers("dc-" + std::to_string(random().below(4)));
            break;
        case 6:
            restart(any_node(), any_time(20ms, 4s));
            break;
        case 7:
            freeze(any_node());
            break;
        default:
            cut_data_centres();
        }
    }

    /// makes the platform unreachable or outdated for a random fraction of the nodes
    void limit_platform(double fraction, bool is_reachable, std::size_t lag)
    {
        std::vector<std::size_t> limited;
        for (std::size_t index = 0; index < m_fleet.nodes().size(); ++index)
        {
            if (random().unit() < fraction)
            {
                m_fleet.set_platform(index, is_reachable, lag);
                limited.push_back(index);
            }
        }
        after(1s, 12s,
              [this, limited]
              {
                  for (const std::size_t index : limited)
                  {
                      m_fleet.set_platform(index, true, 0);
                  }
              });
    }

    void restart(std::size_t index, duration pause)
    {
        if (!m_fleet.nodes()[index].m_is_alive)
        {
            return;
        }
        m_fleet.stop(index);
        m_fleet.at(m_fleet.now() + pause,
                   [this, index]
                   {
                       if (!m_fleet.nodes()[index].m_is_alive)
                       {
                           m_fleet.start(index);
                       }
                   });
    }

    void restart_readers(const std::string& data_centre)
    {
        const duration pause = any_time(20ms, 8s);
        for (std::size_t index = 0; index < m_fleet.nodes().size(); ++index)
        {
            const simulated_node& node = m_fleet.nodes()[index];
            if (node.is_running() && node.m_relay->is_reader() && node.m_host.data_centre() == data_centre)
            {
                restart(index, pause);
            }
        }
    }

    void freeze(std::size_t index)
    {
        m_fleet.freeze(index);
        after(200ms, 9s, [this, index] { m_invariants.wake(index); });
    }

    /// causes a network partition between data centres
    void cut_data_centres()
    {
        const std::uint64_t side = 1 + random().below(14);
        const auto set = [this, side](bool is_cut)
        {
            for (std::size_t lhs = 0; lhs < m_fleet.nodes().size(); ++lhs)
            {
                for (std::size_t rhs = 0; rhs < lhs; ++rhs)
                {
                    const bool is_across = ((side >> (lhs % 4)) & 1U) != ((side >> (rhs % 4)) & 1U);
                    if (is_across)
                    {
                        m_fleet.set_cut(lhs, rhs, is_cut);
                    }
                }
            }
        };
        set(true);
        after(1s, 9s, [set] { set(false); });
    }

    void heal()
    {
        for (std::size_t index = 0; index < m_fleet.nodes().size(); ++index)
        {
            m_fleet.set_platform(index, true, 0);
            for (std::size_t other = 0; other < index; ++other)
            {
                m_fleet.set_cut(index, other, false);
            }
            if (!m_fleet.nodes()[index].m_is_alive)
            {
                m_fleet.start(index);
            }
            if (m_fleet.nodes()[index].m_is_frozen)
            {
                m_invariants.wake(index);
            }
        }
    }

    relay_simulation m_fleet;
    relay_invariants m_invariants;
    time_point m_begin;
};

class relay_simulation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_simulation_test);
    CPPUNIT_TEST(keeps_the_invariants_under_random_faults);
    CPPUNIT_TEST_SUITE_END();

  public:
    void keeps_the_invariants_under_random_faults()
    {
        for (std::uint64_t seed = 0; seed < seeds; ++seed)
        {
            const std::vector<std::string> violations = fault_scenario{seed, fleet_shape{}}.run();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " +
                                       (violations.empty() ? "" : violations.front()),
                                   violations.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_simulation_test);

} // namespace
