#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "ledger_fleet.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::testing;

using node_view = std::vector<endpoint>;

/// converts the addresses of nodes to the statuses that a ledger takes
std::vector<peer_status> statuses_of(const node_view& nodes)
{
    std::vector<peer_status> result;
    for (const endpoint& node : nodes)
    {
        result.push_back({node, 1, false, false});
    }
    return result;
}

/// whether node 0 requests tokens of an account from another node
bool is_held_by_another(const std::string& account, const node_view& others)
{
    quota_ledger ledger{address_of(0), bound};
    ledger.on_members({statuses_of(others), 1, true, false}, start);
    ledger.on_declarations({{account, 100.0, 100.0, {}}}, start);
    (void)ledger.request(account, 1, start);
    const auto messages = ledger.take_messages();
    return messages.size() == 1 && std::holds_alternative<token_request>(messages.front().m_content);
}

/// returns an account whose bucket is held by a node other than node 0 in each of the views
std::string account_of_others(const std::vector<node_view>& views)
{
    for (int number = 0;; ++number)
    {
        const std::string account = "school-" + std::to_string(number);
        if (std::all_of(views.begin(), views.end(),
                        [&account](const node_view& view) { return is_held_by_another(account, view); }))
        {
            return account;
        }
    }
}

class quota_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_ledger_test);
    CPPUNIT_TEST(account_within_its_limit_is_never_refused);
    CPPUNIT_TEST(surge_keeps_the_bound_and_uses_the_limit);
    CPPUNIT_TEST(loss_of_nodes_keeps_the_bound);
    CPPUNIT_TEST(broken_links_to_a_living_owner_keep_the_bound);
    CPPUNIT_TEST(every_request_is_decided);
    CPPUNIT_TEST(withdrawn_request_uses_no_token);
    CPPUNIT_TEST(request_without_peers_is_decided_at_once);
    CPPUNIT_TEST(unlimited_and_unknown_accounts);
    CPPUNIT_TEST(retry_after_grows_with_the_number_of_refusals);
    CPPUNIT_TEST(change_of_members_does_not_prolong_a_wait);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// covers accounts with few requests on many nodes and accounts with many requests on few nodes
    void account_within_its_limit_is_never_refused()
    {
        struct row
        {
            std::size_t m_nodes;
            double m_rate;
            double m_burst;
        };
        for (const row& each : {row{8, 40.0, 40.0}, row{69, 3.0, 3.0}, row{80, 1.0, 1.0}, row{8, 60.0, 10.0},
                                row{8, 200.0, 20.0}, row{30, 100.0, 10.0}})
        {
            for (std::uint64_t seed = 1; seed <= 5; ++seed)
            {
                ledger_fleet fleet{each.m_nodes, {{"school", each.m_rate, each.m_burst, {}}}, seed};
                fleet.run(3s, 0.0);
                fleet.run(20s, 0.6 * each.m_rate);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(each.m_nodes) + " nodes, rate " +
                                                 std::to_string(each.m_rate) + ", burst " +
                                                 std::to_string(each.m_burst),
                                             std::size_t{0}, fleet.refused());
            }
        }
    }

    void surge_keeps_the_bound_and_uses_the_limit()
    {
        for (const std::size_t nodes : {std::size_t{8}, std::size_t{69}})
        {
            for (std::uint64_t seed = 1; seed <= 10; ++seed)
            {
                ledger_fleet fleet{nodes, {{"school", 30.0, 30.0, {}}}, seed};
                fleet.run(5s, 18.0);
                const std::size_t before = fleet.admitted();
                fleet.run(10s, 200.0);
                CPPUNIT_ASSERT(fleet.admitted() - before >= 300);
            }
        }
    }

    void loss_of_nodes_keeps_the_bound()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
        {
            random_source random{seed};
            ledger_fleet fleet{8, {{"school", 30.0, 30.0, {}}}, seed};
            fleet.run(3s, 60.0);
            for (int change = 0; change < 4; ++change)
            {
                const std::size_t lost = random.below(8);
                fleet.stop(lost);
                fleet.run(1s, 150.0);
                if (random.unit() < 0.5)
                {
                    fleet.share_members();
                }
                fleet.run(1s, 150.0);
                fleet.restart(lost);
                fleet.share_members();
                fleet.run(1s, 150.0);
            }
        }
    }

    /// four of the nine nodes can't reach the node that holds the bucket and send requests to its substitute
    void broken_links_to_a_living_owner_keep_the_bound()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            ledger_fleet fleet{9, {{"school", 120.0, 120.0, {}}}, seed};
            fleet.run(3s, 60.0);
            fleet.break_links(4);
            fleet.run(8s, 600.0);
        }
    }

    void every_request_is_decided()
    {
        ledger_fleet fleet{4, {{"school", 30.0, 30.0, {}}}, 3};
        fleet.run(1s, 100.0);
        fleet.stop(0);
        fleet.stop(1);
        fleet.stop(2);
        fleet.run(1s, 100.0);
        fleet.run(200ms, 0.0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.undecided());
    }

    void withdrawn_request_uses_no_token()
    {
        quota_ledger ledger{address_of(0), bound};
        ledger.on_declarations({{"school", 5.0, 5.0, {}}}, start);
        ledger.on_members(
            {statuses_of({address_of(1), address_of(2), address_of(3), address_of(4)}), 1, true, false},
            start);
        const quota_answer answer = ledger.request("school", 1, start);
        if (std::holds_alternative<quota_pending>(answer))
        {
            ledger.withdraw("school", 1);
            CPPUNIT_ASSERT(!ledger.has_waiting());
            const auto sent = ledger.take_messages();
            ledger.on_message(sent.front().m_receiver, token_grant{1, "school", 1, 0ms}, start + 1ms);
            CPPUNIT_ASSERT(ledger.take_decisions().empty());
            // the token is kept for the next request
            CPPUNIT_ASSERT(std::holds_alternative<quota_granted>(ledger.request("school", 2, start + 2ms)));
        }
    }

    /// a node that is about to stop and has no peers decides without other nodes
    void request_without_peers_is_decided_at_once()
    {
        quota_ledger ledger{address_of(0), bound};
        ledger.on_declarations({{"school", 5.0, 5.0, {}}}, start);
        ledger.on_members({{}, 1, true, true}, start + 10s);
        for (quota_ticket ticket = 1; ticket <= 3; ++ticket)
        {
            const quota_answer answer = ledger.request("school", ticket, start + 10s);
            CPPUNIT_ASSERT(!std::holds_alternative<quota_pending>(answer));
        }
        CPPUNIT_ASSERT(ledger.take_decisions().empty());
    }

    void unlimited_and_unknown_accounts()
    {
        quota_ledger ledger{address_of(0), bound};
        ledger.on_declarations({{"open", 0.0, 0.0, {}}}, start);
        for (quota_ticket ticket = 1; ticket <= 1000; ++ticket)
        {
            CPPUNIT_ASSERT(std::holds_alternative<quota_granted>(ledger.request("open", ticket, start)));
        }
        CPPUNIT_ASSERT(std::holds_alternative<quota_refused>(ledger.request("nobody", 1, start)));
    }

    /// the holder of the bucket doesn't reply while the members change repeatedly
    void change_of_members_does_not_prolong_a_wait()
    {
        const std::vector<node_view> views{{address_of(1), address_of(2), address_of(3)},
                                           {address_of(1), address_of(2), address_of(4)}};
        const std::string account = account_of_others(views);
        for (const duration interval : {30ms, 50ms, 70ms})
        {
            quota_ledger ledger{address_of(0), bound};
            ledger.on_declarations({{account, 100.0, 100.0, {}}}, start);
            ledger.on_members({statuses_of(views.front()), 1, true, false}, start);
            CPPUNIT_ASSERT(std::holds_alternative<quota_pending>(ledger.request(account, 1, start)));
            std::size_t changes = 0;
            for (time_point now = start; now <= start + longest_decision; now += 10ms)
            {
                if (now - start >= interval * static_cast<int>(changes + 1))
                {
                    ledger.on_members({statuses_of(views[++changes % 2]), 1, true, false}, now);
                }
                if ((now - start) % 20ms == duration::zero())
                {
                    ledger.on_tick(now);
                }
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.take_decisions().size());
        }
    }

    void retry_after_grows_with_the_number_of_refusals()
    {
        quota_ledger ledger{address_of(0), bound};
        ledger.on_declarations({{"school", 5.0, 5.0, {}}}, start);
        ledger.on_members({{}, 1, true, false}, start);
        duration last{};
        int refused = 0;
        for (quota_ticket ticket = 1; ticket <= 20; ++ticket)
        {
            const quota_answer answer = ledger.request("school", ticket, start);
            if (const auto* refusal = std::get_if<quota_refused>(&answer))
            {
                CPPUNIT_ASSERT(refusal->m_retry_after >= last);
                last = refusal->m_retry_after;
                ++refused;
            }
        }
        CPPUNIT_ASSERT(refused > 10);
        CPPUNIT_ASSERT(last > 1s);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_ledger_test);

} // namespace
