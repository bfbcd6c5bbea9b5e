#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>

#include "teasellead/fleet/codec.hpp"
#include "teasellead/fleet/upstream_exchange.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::forwarding;

constexpr time_point start{1h};
constexpr auto tick = 100ms;
constexpr data_centre_id north = 7;
constexpr std::int64_t incarnation = 1'790'000'000'000;

endpoint address_of(std::size_t node)
{
    return endpoint{static_cast<std::uint32_t>(0x0A000001 + node), 7000};
}

std::string instance_of(std::size_t upstream)
{
    return "i-" + std::to_string(10'000'000 + upstream);
}

observed_upstream observed(std::size_t upstream, double failure_ratio, duration age = 0ms,
                           std::uint32_t relays = 0)
{
    return {{instance_of(upstream), incarnation},
            {upstream_trouble::shed, failure_ratio, reported_load{4, 4, 4, 2.5}, age},
            relays};
}

struct node
{
    node(std::size_t number, std::size_t nodes, std::size_t upstreams)
        : m_exchange(address_of(number), north, m_directory)
    {
        for (std::size_t each = 0; each < upstreams; ++each)
        {
            upstream_entry entry;
            entry.m_instance = instance_of(each);
            entry.m_service = "a";
            entry.m_address = endpoint{static_cast<std::uint32_t>(each + 1), 80};
            entry.m_capacity = 4;
            entry.m_incarnation = incarnation;
            m_directory.on_change({entry.m_instance, entry}, start);
        }
        std::vector<peer_status> others;
        for (std::size_t each = 0; each < nodes; ++each)
        {
            if (each != number)
            {
                others.push_back({address_of(each), 1, false, false, north});
            }
        }
        m_exchange.on_members(others);
    }

    upstream& target(std::size_t number)
    {
        return *m_directory.find(instance_of(number));
    }

    /// a few attempts are rejected, each with a report of the load
    void see_failures(std::size_t number, time_point now)
    {
        for (int attempt = 0; attempt < 4; ++attempt)
        {
            target(number).on_load({4, 4, 4, 2.5}, now);
            target(number).on_failure(now, attempt_failure::shed, now);
        }
    }

    upstream_directory m_directory{"north"};
    upstream_exchange m_exchange;
};

/// nodes of one data centre, which tick at different times of a period
class exchange_fleet
{
  public:
    exchange_fleet(std::size_t nodes, std::size_t upstreams)
    {
        for (std::size_t each = 0; each < nodes; ++each)
        {
            m_nodes.push_back(std::make_unique<node>(each, nodes, upstreams));
        }
    }

    void run_for(duration length)
    {
        const time_point end = m_now + length;
        for (; m_now < end; m_now += tick)
        {
            for (std::size_t each = 0; each < m_nodes.size(); ++each)
            {
                const time_point now = m_now + tick * each / m_nodes.size();
                for (const outgoing_message& message : m_nodes[each]->m_exchange.on_tick(m_random, now))
                {
                    pass(each, message, now);
                }
            }
        }
    }

    /// number of nodes that expect failures of an upstream
    std::size_t wary(std::size_t upstream, double failure_ratio = 0.2)
    {
        return static_cast<std::size_t>(
            std::count_if(m_nodes.begin(), m_nodes.end(),
                          [&](const auto& each)
                          { return each->target(upstream).expected_failure_ratio(m_now) >= failure_ratio; }));
    }

    std::vector<std::unique_ptr<node>> m_nodes;
    time_point m_now{start};
    std::size_t m_messages{0};
    std::size_t m_bytes{0};

  private:
    void pass(std::size_t sender, const outgoing_message& message, time_point now)
    {
        const peer_message sent{address_of(sender), 1, message.m_content};
        const std::string bytes = encode(sent);
        ++m_messages;
        m_bytes += bytes.size();
        const peer_message received = decode(bytes);
        const std::size_t receiver = message.m_receiver.address() - address_of(0).address();
        m_nodes[receiver]->m_exchange.on_message(received.m_sender,
                                                 std::get<observation_notice>(received.m_content), now + 2ms);
    }

    random_source m_random{11};
};

class upstream_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_exchange_test);
    CPPUNIT_TEST(fault_seen_by_one_node_is_known_to_all);
    CPPUNIT_TEST(fault_seen_by_some_counts_in_full);
    CPPUNIT_TEST(liar_has_a_bounded_effect);
    CPPUNIT_TEST(calm_or_silent_upstreams_cause_no_messages);
    CPPUNIT_TEST(messages_and_bytes_are_bounded);
    CPPUNIT_TEST(rejects_only_what_is_wrong);
    CPPUNIT_TEST_SUITE_END();

  public:
    void fault_seen_by_one_node_is_known_to_all()
    {
        struct row
        {
            std::size_t m_nodes;
            duration m_within;
        };
        for (const row& each : {row{2, 100ms}, row{20, 400ms}, row{25, 400ms}, row{100, 600ms}})
        {
            exchange_fleet fleet{each.m_nodes, 5};
            fleet.m_nodes[0]->see_failures(3, fleet.m_now);
            fleet.run_for(each.m_within);
            CPPUNIT_ASSERT_EQUAL(each.m_nodes, fleet.wary(3));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.wary(2));
            fleet.run_for(2s);
            // others forget it; only the observer keeps what it saw itself
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.wary(3));
        }
    }

    void fault_seen_by_some_counts_in_full()
    {
        exchange_fleet fleet{20, 5};
        for (int period = 0; period < 8; ++period)
        {
            for (std::size_t observer = 0; observer < 6; ++observer)
            {
                fleet.m_nodes[observer]->see_failures(3, fleet.m_now);
            }
            fleet.run_for(tick);
        }
        CPPUNIT_ASSERT(fleet.wary(3, 0.45) >= 18);
        CPPUNIT_ASSERT(!fleet.m_nodes[19]->target(3).is_ejected(fleet.m_now));
    }

    void liar_has_a_bounded_effect()
    {
        struct row
        {
            reported_load m_claimed;
            double m_failure_ratio;
            reported_load m_believed;
        };
        const std::vector<row> rows{
            {{1'000'000, 1'000'000, 4, 1000.0}, 1.0, {4, 4, 4, peer_view::single_work_factor}},
            {{0, 0, 1'000'000, 0.0}, 0.0, {0, 0, 4, 1.0}},
        };
        for (const row& each : rows)
        {
            exchange_fleet fleet{10, 5};
            node& victim = *fleet.m_nodes[1];
            victim.see_failures(2, fleet.m_now);
            const double own = victim.target(2).failure_ratio();
            for (std::size_t number = 0; number < 5; ++number)
            {
                observed_upstream lie = observed(number, each.m_failure_ratio);
                lie.m_observation.m_load = each.m_claimed;
                for (const std::uint32_t relays : {0U, 1U, 2U, 0U})
                {
                    lie.m_relays = relays;
                    victim.m_exchange.on_message(address_of(0), {{lie}}, fleet.m_now);
                }
                CPPUNIT_ASSERT(!victim.target(number).is_ejected(fleet.m_now) || number == 2);
            }
            CPPUNIT_ASSERT(victim.target(0).expected_failure_ratio(fleet.m_now) <=
                           peer_view::single_failure_ratio);
            CPPUNIT_ASSERT(victim.target(0).current_load(fleet.m_now) == each.m_believed);
            // the node's own attempts count, not what the liar says of the same upstream
            CPPUNIT_ASSERT_EQUAL(own, victim.target(2).expected_failure_ratio(fleet.m_now));
            CPPUNIT_ASSERT((victim.target(2).current_load(fleet.m_now) == reported_load{4, 4, 4, 2.5}));
            // those who hear the lie from others aren't impressed more
            fleet.run_for(500ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.wary(0, peer_view::single_failure_ratio + 0.01));
        }
    }

    void calm_or_silent_upstreams_cause_no_messages()
    {
        exchange_fleet fleet{10, 5};
        node& observer = *fleet.m_nodes[0];
        // fails, but upstreams of this deployment don't report their load
        observer.target(1).on_failure(fleet.m_now, attempt_failure::broken, fleet.m_now);
        fleet.run_for(500ms);
        // reports its load, and is well
        observer.target(0).on_load({1, 0, 4, 1.0}, fleet.m_now);
        observer.target(0).on_reply(fleet.m_now, fleet.m_now);
        fleet.run_for(500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.m_messages);
    }

    /// every node sees every upstream fail all the time
    void messages_and_bytes_are_bounded()
    {
        constexpr std::size_t max_messages_per_s = 30;  // each node sends
        constexpr std::size_t max_bytes_per_s = 28'000; // of these
        for (const std::size_t nodes : {30U, 74U, 300U})
        {
            exchange_fleet fleet{nodes, 60};
            for (int period = 0; period < 10; ++period)
            {
                for (const auto& each : fleet.m_nodes)
                {
                    for (std::size_t number = 0; number < 60; ++number)
                    {
                        each->see_failures(number, fleet.m_now);
                    }
                }
                fleet.run_for(tick);
            }
            const std::string figures =
                std::to_string(nodes) + " nodes, in one second: " + std::to_string(fleet.m_messages / nodes) +
                " messages, " + std::to_string(fleet.m_bytes / nodes) + " bytes a node";
            CPPUNIT_ASSERT_MESSAGE(figures, fleet.m_messages <= nodes * max_messages_per_s);
            CPPUNIT_ASSERT_MESSAGE(figures, fleet.m_bytes <= nodes * max_bytes_per_s);
        }
    }

    void rejects_only_what_is_wrong()
    {
        observed_upstream older_process = observed(1, 0.5);
        --older_process.m_process.m_incarnation;
        struct row
        {
            endpoint m_sender;
            std::vector<observed_upstream> m_wrong;
            observation_fault m_fault;
            std::size_t m_count;
            bool m_is_rest_used;
        };
        const endpoint peer = address_of(1);
        const std::vector<row> rows{
            {address_of(9), {}, observation_fault::unknown_sender, 1, false},
            {peer, {observed(77, 0.5)}, observation_fault::unknown_upstream, 1, true},
            {peer, {older_process}, observation_fault::unknown_upstream, 1, true},
            {peer, {observed(1, 0.5, 1s)}, observation_fault::too_old, 1, true},
            {peer, {observed(1, 1.001)}, observation_fault::out_of_range, 1, true},
            {peer, {observed(1, -0.001), observed(1, 2.0)}, observation_fault::out_of_range, 2, true},
            {peer, {observed(1, 0.5, -1ms)}, observation_fault::out_of_range, 1, true},
            {peer, {observed(1, 0.5, 0ms, 5)}, observation_fault::out_of_range, 1, true},
        };
        for (const row& each : rows)
        {
            node receiver{0, 3, 3};
            observation_notice notice{each.m_wrong};
            notice.m_observations.push_back(observed(2, 0.5));
            receiver.m_exchange.on_message(each.m_sender, notice, start);
            const auto rejected = receiver.m_exchange.take_rejected();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rejected.size());
            CPPUNIT_ASSERT(rejected[0].m_sender == each.m_sender);
            CPPUNIT_ASSERT(rejected[0].m_fault == each.m_fault);
            CPPUNIT_ASSERT_EQUAL(each.m_count, rejected[0].m_count);
            CPPUNIT_ASSERT_EQUAL(0.0, receiver.target(1).expected_failure_ratio(start));
            CPPUNIT_ASSERT_EQUAL(each.m_is_rest_used, receiver.target(2).expected_failure_ratio(start) > 0.0);
        }
        node receiver{0, 3, 3};
        const observation_notice endless{
            std::vector<observed_upstream>(upstream_exchange::max_observations + 5, observed(1, 0.5))};
        for (std::size_t message = 0; message <= upstream_exchange::max_notices_per_s; ++message)
        {
            receiver.m_exchange.on_message(peer, endless, start);
        }
        const auto rejected = receiver.m_exchange.take_rejected();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rejected.size());
        CPPUNIT_ASSERT(rejected[0].m_fault == observation_fault::too_many);
        CPPUNIT_ASSERT_EQUAL(5 * upstream_exchange::max_notices_per_s, rejected[0].m_count);
        CPPUNIT_ASSERT(rejected[1].m_fault == observation_fault::too_frequent);
        // another sender is heard all the same
        receiver.m_exchange.on_message(address_of(2), {{observed(2, 0.5)}}, start);
        CPPUNIT_ASSERT(receiver.m_exchange.take_rejected().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_exchange_test);

} // namespace
