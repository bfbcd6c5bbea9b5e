#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "dispatch_fixture.hpp"
#include "teasellead/forwarding/cold_start_limiter.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using forwarding::cold_start_limiter;
using forwarding::upstream;

constexpr time_point start{1h};
constexpr duration step = 5ms;
// the platform tolerates at most rate * overage + slack requests in any second, where rate is the rate that a
// cold upstream declares
constexpr double overage = 1.5;
constexpr double slack = 5.0;

endpoint address_of(std::size_t node)
{
    return endpoint{static_cast<std::uint32_t>(10 + node), 7000};
}

upstream cold_upstream(duration warm_up_left)
{
    forwarding::upstream_entry entry = test::entry_of("a", 0);
    entry.m_warm_up_left = std::chrono::duration_cast<std::chrono::milliseconds>(warm_up_left);
    return upstream{entry, start};
}

/// limiters of many nodes that all send to the same cold upstream
class cold_fleet
{
  public:
    cold_fleet(std::size_t nodes, double rate, std::uint64_t seed)
        : m_rate(rate), m_random(seed), m_target(cold_upstream(1h))
    {
        for (std::size_t i = 0; i < nodes; ++i)
        {
            restart(i);
        }
        share_members();
    }

    void restart(std::size_t node)
    {
        cold_start_limiter fresh{address_of(node)};
        fresh.on_services({{"a", 0, m_rate}});
        if (node < m_limiters.size())
        {
            m_limiters[node] = fresh;
            return;
        }
        m_limiters.push_back(fresh);
    }

    void share_members()
    {
        for (std::size_t i = 0; i < m_limiters.size(); ++i)
        {
            set_view(i, m_limiters.size());
        }
    }

    /// makes a node know only the first nodes of the fleet
    /// @param known number of these nodes
    void set_view(std::size_t node, std::size_t known)
    {
        std::vector<endpoint> others;
        for (std::size_t other = 0; other < known; ++other)
        {
            if (other != node)
            {
                others.push_back(address_of(other));
            }
        }
        m_limiters[node].on_members(others, true);
    }

    /// lets each node try to send at a rate and checks the bound in each second
    void run(duration time, double requests_per_s)
    {
        const double chance = requests_per_s * std::chrono::duration<double>(step).count();
        for (const time_point end = m_now + time; m_now < end; m_now += step)
        {
            for (cold_start_limiter& each : m_limiters)
            {
                if (m_random.unit() < chance && each.may_send(m_target, m_now))
                {
                    each.on_send(m_target, m_now);
                    m_sent.push_back(m_now);
                    ++m_sent_in_all;
                }
            }
            while (!m_sent.empty() && m_sent.front() <= m_now - 1s)
            {
                m_sent.pop_front();
            }
            CPPUNIT_ASSERT(static_cast<double>(m_sent.size()) <= m_rate * overage + slack);
        }
    }

    [[nodiscard]] std::size_t sent() const
    {
        return m_sent_in_all;
    }

  private:
    double m_rate;
    random_source m_random;
    upstream m_target;
    std::vector<cold_start_limiter> m_limiters;
    std::deque<time_point> m_sent;
    std::size_t m_sent_in_all{0};
    time_point m_now{start};
};

/// size of a fleet and the rate that a cold upstream declares
struct cold_case
{
    std::size_t m_nodes;
    double m_rate;
};

class cold_start_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_start_limiter_test);
    CPPUNIT_TEST(fleet_keeps_the_bound_and_uses_the_rate);
    CPPUNIT_TEST(nodes_that_miss_some_others_keep_the_bound);
    CPPUNIT_TEST(restarted_nodes_keep_the_bound);
    CPPUNIT_TEST(warm_and_unlimited_upstreams_have_no_limit);
    CPPUNIT_TEST(dispatch_refuses_requests_beyond_the_rate_of_a_cold_service);
    CPPUNIT_TEST_SUITE_END();

  public:
    void fleet_keeps_the_bound_and_uses_the_rate()
    {
        for (const cold_case& each : cases())
        {
            for (std::uint64_t seed = 1; seed <= 20; ++seed)
            {
                cold_fleet fleet{each.m_nodes, each.m_rate, seed};
                fleet.run(10s, 20.0);
                CPPUNIT_ASSERT(static_cast<double>(fleet.sent()) >= 0.6 * 10 * each.m_rate);
            }
        }
    }

    /// the views of the nodes differ by a few nodes until gossip has spread a change
    void nodes_that_miss_some_others_keep_the_bound()
    {
        for (const cold_case& each : cases())
        {
            for (std::uint64_t seed = 1; seed <= 20; ++seed)
            {
                random_source random{seed};
                cold_fleet fleet{each.m_nodes, each.m_rate, seed};
                for (std::size_t node = 0; node < each.m_nodes; ++node)
                {
                    fleet.set_view(node, each.m_nodes - random.below(each.m_nodes / 4 + 1));
                }
                fleet.run(5s, 20.0);
            }
        }
    }

    void restarted_nodes_keep_the_bound()
    {
        for (const cold_case& each : cases())
        {
            for (std::uint64_t seed = 1; seed <= 20; ++seed)
            {
                cold_fleet fleet{each.m_nodes, each.m_rate, seed};
                fleet.run(2s, 20.0);
                for (std::size_t node = 0; node < each.m_nodes; ++node)
                {
                    fleet.restart(node);
                }
                fleet.run(1500ms, 20.0);
                fleet.share_members();
                fleet.run(2s, 20.0);
            }
        }
    }

    void warm_and_unlimited_upstreams_have_no_limit()
    {
        cold_start_limiter limiter{address_of(0)};
        limiter.on_services({{"a", 0, 2.0}});
        limiter.on_members({}, true);
        const upstream target = cold_upstream(1s);
        for (int i = 0; i < 2; ++i)
        {
            CPPUNIT_ASSERT(limiter.may_send(target, start));
            limiter.on_send(target, start);
        }
        CPPUNIT_ASSERT(!limiter.may_send(target, start));
        CPPUNIT_ASSERT(limiter.may_send(target, start + 1s));
        limiter.on_services({{"a", 0, 0.0}});
        CPPUNIT_ASSERT(limiter.may_send(target, start));
    }

    void dispatch_refuses_requests_beyond_the_rate_of_a_cold_service()
    {
        test::dispatch_fixture fixture{{"a"}, 0};
        forwarding::upstream_entry entry = test::entry_of("a", 0);
        entry.m_warm_up_left = 1min;
        fixture.m_directory.on_change({"a-0", entry}, test::dispatch_start);
        fixture.m_cold_starts.on_services({{"a", 0, 1.0}});
        fixture.m_cold_starts.on_members({}, true);
        auto first = fixture.single(forwarding::repeatability::idempotent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test::sends_of(first.start(test::dispatch_start)).size());
        auto second = fixture.single(forwarding::repeatability::idempotent);
        CPPUNIT_ASSERT(second.start(test::dispatch_start).empty());
        (void)second.on_timer(test::dispatch_start + 50ms);
        CPPUNIT_ASSERT(second.is_finished());
        const auto& refused = std::get<forwarding::unanswered>(second.result());
        CPPUNIT_ASSERT(refused.m_verdict == verdict::not_run);
        CPPUNIT_ASSERT(refused.m_reason == forwarding::failure_reason::overloaded);
    }

  private:
    static std::vector<cold_case> cases()
    {
        return {{1, 4.0}, {8, 4.0}, {9, 12.0}, {9, 30.0}, {69, 6.0}, {80, 40.0}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_start_limiter_test);

} // namespace
