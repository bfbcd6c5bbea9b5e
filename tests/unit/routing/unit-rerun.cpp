#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <variant>
#include <vector>

#include "search_topology.hpp"
#include "teasellead/routing/rerun.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::testing;
using std::chrono::milliseconds;

constexpr std::uint32_t shard_count = 3;
constexpr milliseconds response_time_limit{100};

shared_plan plan_of(const shared_revision& revision)
{
    return std::make_shared<const query_plan>(revision, *revision->configuration().find_route("/find"));
}

gather_result result_of(std::uint64_t answered, std::vector<missing_shard> missing, verdict effect)
{
    return gather_result{1, coverage{answered, key_space_size, std::move(missing)}, {}, effect};
}

/// state at the end of the first run, and the expected decision on a second one
struct rerun_case
{
    std::string m_name;
    std::vector<missing_reason> m_missing{missing_reason::wrong_snapshot};
    bool m_is_second{false};
    snapshot_id m_snapshot_now{2};
    shard_map_id m_shard_map_now{1};
    milliseconds m_elapsed{20};
    double m_budget{10.0};
    std::string m_outcome{"run again"};
};

std::vector<rerun_case> rerun_cases()
{
    return {
        {.m_name = "newer snapshot"},
        {.m_name = "newer shard map", .m_snapshot_now = 1, .m_shard_map_now = 2},
        {.m_name = "one of several reasons",
         .m_missing = {missing_reason::cold, missing_reason::wrong_snapshot}},
        {.m_name = "complete", .m_missing = {}, .m_outcome = "complete"},
        {.m_name = "slow", .m_missing = {missing_reason::deadline}, .m_outcome = "other_reasons"},
        {.m_name = "ran twice", .m_is_second = true, .m_outcome = "second_run"},
        {.m_name = "same snapshot", .m_snapshot_now = 1, .m_outcome = "no_newer_snapshot"},
        {.m_name = "older snapshot",
         .m_snapshot_now = 0,
         .m_shard_map_now = 9,
         .m_outcome = "no_newer_snapshot"},
        {.m_name = "just in time", .m_elapsed = milliseconds{50}},
        {.m_name = "too late", .m_elapsed = milliseconds{51}, .m_outcome = "too_late"},
        {.m_name = "at the deadline", .m_elapsed = response_time_limit, .m_outcome = "too_late"},
        {.m_name = "exact budget", .m_budget = shard_count},
        {.m_name = "low budget", .m_budget = shard_count - 0.5, .m_outcome = "budget"},
    };
}

std::string outcome_of(const rerun_decision& decision)
{
    const auto* const kept = std::get_if<keep_result>(&decision);
    return kept == nullptr ? "run again" : std::string{to_string(kept->reason())};
}

class rerun_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rerun_test);
    CPPUNIT_TEST(decide_every_case);
    CPPUNIT_TEST(plan_the_second_run_on_the_current_configuration);
    CPPUNIT_TEST(keep_the_result_if_the_route_was_removed);
    CPPUNIT_TEST(use_the_result_with_the_higher_coverage);
    CPPUNIT_TEST_SUITE_END();

  public:
    void decide_every_case()
    {
        for (const rerun_case& row : rerun_cases())
        {
            hedge_policy budget{make_hedging_rule("quantile"), extra_load_budget{0.02, row.m_budget}};
            const auto current =
                make_revision(2, {.m_snapshot = row.m_snapshot_now, .m_shard_map = row.m_shard_map_now});
            const rerun_decision decision = try_rerun(run_of(row), current, budget);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, row.m_outcome, outcome_of(decision));
            const std::uint64_t spent = row.m_outcome == "run again" ? shard_count : 0;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.m_name, spent, budget.spent());
        }
    }

    void plan_the_second_run_on_the_current_configuration()
    {
        const auto current = make_revision(2, {.m_shards = 5, .m_snapshot = 7, .m_shard_map = 4});
        const rerun_decision decision = decide_rerun(run_of({}), current);
        const auto& wanted = std::get<run_again>(decision);
        CPPUNIT_ASSERT_EQUAL(snapshot_id{7}, wanted.plan()->snapshot());
        CPPUNIT_ASSERT_EQUAL(shard_map_id{4}, wanted.plan()->shard_map());
        CPPUNIT_ASSERT_EQUAL(5U, wanted.cost());
    }

    void keep_the_result_if_the_route_was_removed()
    {
        const auto empty = std::make_shared<const configuration_revision>();
        CPPUNIT_ASSERT_EQUAL(std::string{"no_newer_snapshot"}, outcome_of(decide_rerun(run_of({}), empty)));
    }

    void use_the_result_with_the_higher_coverage()
    {
        const gather_result half = result_of(key_space_size / 2, {}, verdict::ran);
        const gather_result complete = result_of(key_space_size, {}, verdict::not_run);
        for (const auto& [first, second] : {std::pair{half, complete}, std::pair{complete, half}})
        {
            const gather_result better = better_of(first, second);
            CPPUNIT_ASSERT(better.coverage() == complete.coverage());
            CPPUNIT_ASSERT(better.verdict() == verdict::ran);
        }
    }

  private:
    static finished_run run_of(const rerun_case& row)
    {
        std::vector<missing_shard> missing;
        for (const missing_reason reason : row.m_missing)
        {
            missing.emplace_back("find", "s0", reason);
        }
        const std::uint64_t answered = missing.empty() ? key_space_size : key_space_size / 2;
        const time_point start{std::chrono::hours{1}};
        return finished_run{plan_of(make_revision(1, {.m_shards = shard_count})),
                            result_of(answered, std::move(missing), verdict::ran),
                            row.m_is_second,
                            start,
                            start + row.m_elapsed,
                            start + response_time_limit};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rerun_test);

} // namespace
