#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "search_topology.hpp"
#include "teasellead/routing/hedge_policy.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;

const time_point start{std::chrono::hours{1}};

class hedge_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hedge_test);
    CPPUNIT_TEST(deposit_and_charge);
    CPPUNIT_TEST(follow_a_lower_median_at_once_and_a_higher_one_slowly);
    CPPUNIT_TEST(find_quantiles_within_a_bucket);
    CPPUNIT_TEST(derive_the_threshold_from_typical_latency);
    CPPUNIT_TEST(do_not_hedge_the_usual_spread_of_a_shard);
    CPPUNIT_TEST(remove_undeclared_shards);
    CPPUNIT_TEST_SUITE_END();

  public:
    void deposit_and_charge()
    {
        struct parameters
        {
            std::string m_name;
            std::uint32_t m_in_time;
            std::uint32_t m_late;
            std::uint32_t m_attempts;
            bool m_may_spend;
        };
        const std::vector<parameters> table{{"one", 32, 0, 1, true},
                                            {"almost one", 31, 0, 1, false},
                                            {"all or none", 63, 0, 2, false},
                                            {"two", 64, 0, 2, true},
                                            {"at most the capacity", 4000, 0, 5, false},
                                            {"the capacity", 4000, 0, 4, true},
                                            {"a late one costs ten", 41, 1, 1, false},
                                            {"after a late one", 42, 1, 1, true},
                                            {"in debt", 159, 4000, 1, false},
                                            {"out of debt", 160, 4000, 1, true}};
        for (const parameters& row : table)
        {
            // a deposit per request that is exact in binary keeps the balance exact
            extra_load_budget budget{1.0 / 32.0, 4.0};
            CPPUNIT_ASSERT(budget.try_spend(4));
            for (std::uint32_t late = 0; late < row.m_late; ++late)
            {
                budget.charge_late();
            }
            for (std::uint32_t reply = 0; reply < row.m_in_time; ++reply)
            {
                budget.deposit();
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_may_spend, budget.try_spend(row.m_attempts));
        }
    }

    void follow_a_lower_median_at_once_and_a_higher_one_slowly()
    {
        latency_baseline baseline;
        baseline.update(milliseconds{10}, true, start);
        baseline.update(milliseconds{12}, true, start);
        CPPUNIT_ASSERT(baseline.value() == milliseconds{12});
        baseline.update(milliseconds{8}, false, start);
        CPPUNIT_ASSERT(baseline.value() == milliseconds{8});
        baseline.update(milliseconds{100}, false, start + minutes{1});
        CPPUNIT_ASSERT(baseline.value() > milliseconds{8} && baseline.value() < milliseconds{9});
        baseline.update(milliseconds{100}, false, start + minutes{60});
        CPPUNIT_ASSERT(baseline.value() == milliseconds{100});
    }

    void find_quantiles_within_a_bucket()
    {
        constexpr double widest_bucket = 1.12;
        latency_histogram latencies;
        CPPUNIT_ASSERT(latencies.quantile(0.5) == duration::zero());
        for (int sample = 1; sample <= 100; ++sample)
        {
            latencies.add(milliseconds{sample});
        }
        for (const int percent : {1, 10, 50, 90, 98, 99, 100})
        {
            const auto found = std::chrono::duration<double, std::milli>{latencies.quantile(percent / 100.0)};
            CPPUNIT_ASSERT(found.count() >= percent * 0.999 &&
                           found.count() <= percent * widest_bucket * 1.001);
        }
    }

    void derive_the_threshold_from_typical_latency()
    {
        const auto revision = make_revision(1, {.m_shards = 1});
        const query_plan plan{revision, *revision->configuration().find_route("/find")};
        const shard_target& target = plan.targets().front();
        hedge_policy policy{make_hedging_rule("quantile"), extra_load_budget{0.025, 4.0}};
        CPPUNIT_ASSERT(policy.threshold(target) == duration::max());
        add(policy, target, milliseconds{10}, 500);
        const duration usual = policy.threshold(target);
        CPPUNIT_ASSERT(usual >= milliseconds{10} && usual < milliseconds{12});
        add(policy, target, milliseconds{200}, 100);
        const duration capped = policy.threshold(target);
        CPPUNIT_ASSERT(capped >= milliseconds{40} && capped < milliseconds{48});
        add(policy, target, milliseconds{200}, 2000);
        CPPUNIT_ASSERT(policy.threshold(target) == duration::max());
    }

    void do_not_hedge_the_usual_spread_of_a_shard()
    {
        // one reply in twenty takes six times as long as the median, one in a hundred forty times
        const auto revision = make_revision(1, {.m_shards = 1});
        const query_plan plan{revision, *revision->configuration().find_route("/find")};
        const shard_target& target = plan.targets().front();
        hedge_policy policy{make_hedging_rule("quantile"), extra_load_budget{0.025, 4.0}};
        for (std::uint32_t round = 0; round < 10; ++round)
        {
            add(policy, target, milliseconds{10}, 94);
            add(policy, target, milliseconds{60}, 5);
            add(policy, target, milliseconds{400}, 1);
        }
        CPPUNIT_ASSERT(policy.threshold(target) >= milliseconds{60});
        CPPUNIT_ASSERT(policy.threshold(target) < milliseconds{100});
    }

    void remove_undeclared_shards()
    {
        const auto wide = make_revision(1, {.m_shards = 4});
        const query_plan plan{wide, *wide->configuration().find_route("/find")};
        hedge_policy policy{make_hedging_rule("quantile"), extra_load_budget{0.025, 4.0}};
        for (const shard_target& target : plan.targets())
        {
            add(policy, target, milliseconds{10}, 500);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, policy.tracked_shards());
        policy.retain(make_revision(2, {.m_shards = 3})->configuration());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, policy.tracked_shards());
        CPPUNIT_ASSERT(policy.threshold(plan.targets()[0]) < duration::max());
        CPPUNIT_ASSERT(policy.threshold(plan.targets()[3]) == duration::max());
    }

  private:
    static void add(hedge_policy& policy, const shard_target& target, duration latency, std::uint32_t count)
    {
        for (std::uint32_t sample = 0; sample < count; ++sample)
        {
            policy.on_reply(target, latency, start);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedge_test);

} // namespace
