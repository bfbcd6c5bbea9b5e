#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "faulty_upstreams.hpp"
#include "search_simulation.hpp"
#include "search_topology.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::testing;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t seeds_per_scenario = 150;
constexpr milliseconds time_limit{50};
constexpr std::uint32_t shard_count = 5;
constexpr std::uint32_t replica_count = 3;

/// how the versions that the replicas hold change while searches run
enum class version_changes
{
    none,
    forward,    ///< each replica changes to snapshot 2 at its own moment
    back,       ///< each replica changes to snapshot 2, some return to 1
    repartition ///< each replica changes to shard map 2 at its own moment
};

struct scenario
{
    std::string m_name;
    version_changes m_version_changes;
    fault_weights m_weights;
    milliseconds m_usual_delay{8};
};

std::vector<scenario> scenarios()
{
    return {
        {"no fault", version_changes::none, {}},
        {"index version changes", version_changes::forward, {.m_careless_version = 0.5}},
        {"replica goes back", version_changes::back, {.m_careless_version = 0.5}},
        {"repartition", version_changes::repartition, {.m_careless_version = 0.5}},
        {"late, twice and out of order", version_changes::none, {.m_late = 0.2, .m_twice = 0.5}},
        {"for another request or shard",
         version_changes::none,
         {.m_other_request = 0.3, .m_other_shard = 0.2}},
        {"too many keys", version_changes::none, {.m_too_many_keys = 0.4}},
        {"partial", version_changes::none, {.m_partial = 0.5}},
        {"replicas lost and shedding", version_changes::none, {.m_lost = 0.3, .m_shed = 0.3}},
        {"no replica reachable", version_changes::none, {.m_draining = 0.5, .m_not_connected = 1.0}},
        {"silent until the deadline", version_changes::none, {.m_silent = 0.5}},
        {"slower than the deadline", version_changes::none, {}, milliseconds{60}},
        {"everything at once",
         version_changes::back,
         {.m_silent = 0.05,
          .m_late = 0.05,
          .m_twice = 0.2,
          .m_other_request = 0.05,
          .m_other_shard = 0.05,
          .m_too_many_keys = 0.05,
          .m_partial = 0.1,
          .m_lost = 0.05,
          .m_shed = 0.05,
          .m_draining = 0.02,
          .m_not_connected = 0.05,
          .m_careless_version = 0.5}},
    };
}

std::vector<version_change> draw_versions(version_changes changes, time_point start, random_source& random)
{
    const auto random_delay = [&random]
    {
        return microseconds{random.below(60000)};
    };
    const time_point change = start + random_delay();
    switch (changes)
    {
    case version_changes::none:
        return {};
    case version_changes::forward:
        return {{time_point{}, 1, 1}, {change, 2, 1}};
    case version_changes::back:
        return {{time_point{}, 1, 1}, {change, 2, 1}, {change + random_delay(), random.below(2) + 1, 1}};
    case version_changes::repartition:
        return {{time_point{}, 1, 1}, {change, 1, 2}};
    }
    return {};
}

/// one run of a scenario with one seed
class fault_run
{
  public:
    fault_run(const scenario& tested, std::uint64_t seed)
        : m_scenario(tested), m_seed(seed), m_random(seed),
          m_table(table_settings("two-choices", seed % 2 == 0)),
          m_hedging(make_hedging_rule("quantile"), extra_load_budget{0.02, 10.0}),
          m_upstreams(tested.m_weights, tested.m_usual_delay, m_random),
          m_simulation(
              gather_context{m_table, m_hedging, m_random},
              [this](const sub_request& request) { return m_upstreams(request); },
              [this](const search_record& record) { m_records.push_back(record); })
    {
    }

    void run()
    {
        const topology_parameters parameters{.m_shards = shard_count, .m_replicas = replica_count};
        m_table.set_views(single_host_view(parameters));
        m_simulation.set_revision(make_revision(1, parameters));
        for (std::uint32_t shard = 0; shard < shard_count; ++shard)
        {
            for (std::uint32_t position = 0; position < replica_count; ++position)
            {
                m_upstreams.set_versions(
                    replica_address(shard, position),
                    draw_versions(m_scenario.m_version_changes, m_simulation.events().now(), m_random));
            }
        }
        schedule_searches(parameters);
        m_simulation.events().run();
        check();
    }

  private:
    void schedule_searches(topology_parameters parameters)
    {
        const time_point start = m_simulation.events().now();
        for (std::uint32_t number = 0; number < searches; ++number)
        {
            const time_point when = start + microseconds{m_random.below(60000)};
            m_simulation.events().schedule(
                when,
                [this, number] { m_simulation.search("q" + std::to_string(number), "/find", time_limit); });
        }
        if (m_scenario.m_version_changes != version_changes::none)
        {
            const bool is_repartition = m_scenario.m_version_changes == version_changes::repartition;
            (is_repartition ? parameters.m_shard_map : parameters.m_snapshot) = 2;
            m_simulation.events().schedule(start + microseconds{m_random.below(60000)}, [this, parameters]
                                           { m_simulation.set_revision(make_revision(2, parameters)); });
        }
    }

    void require(bool condition, const std::string& what) const
    {
        CPPUNIT_ASSERT_MESSAGE(m_scenario.m_name + ", seed " + std::to_string(m_seed) + ": " + what,
                               condition);
    }

    void check() const
    {
        require(m_simulation.violations().empty(),
                m_simulation.violations().empty() ? "" : m_simulation.violations().front());
        require(m_records.size() == searches, "every search ends");
        for (const upstream_status& status : m_table.status(time_point{}))
        {
            require(status.in_flight() == 0,
                    status.upstream().to_string() + " still occupies a request slot");
        }
        for (const search_record& record : m_records)
        {
            check_record(record);
        }
    }

    void check_record(const search_record& record) const
    {
        require(record.m_ended <= record.m_answer_by, record.m_request_id + " ends in time");
        const std::uint64_t covered = check_bodies(record);
        const coverage& stated = record.m_result.coverage();
        require(stated.answered_keys() == covered, record.m_request_id + " reports its coverage");
        require(stated.total_keys() == key_space_size,
                record.m_request_id + " reports the total number of keys");
        require(stated.complete() == stated.missing().empty(),
                record.m_request_id + " lists the missing shards");
        std::uint32_t ran = 0;
        for (const shard_target& target : record.m_plan->targets())
        {
            ran += truth_of(record, target.shard().name()).m_ran;
        }
        require(ran == 0 || record.m_result.verdict() != verdict::not_run,
                record.m_request_id + " reports \"not run\" but ran");
        for (const missing_shard& missing : stated.missing())
        {
            check_reason(record, missing);
        }
    }

    /// number of keys that the bodies actually contain, each of the plan's snapshot, shard map and shards
    std::uint64_t check_bodies(const search_record& record) const
    {
        std::uint64_t covered = 0;
        auto body = record.m_result.bodies().begin();
        for (const shard_target& target : record.m_plan->targets())
        {
            const std::string prefix = record.m_request_id + "|" + target.shard().name() + "|" +
                                       std::to_string(record.m_plan->shard_map()) + "|" +
                                       std::to_string(record.m_plan->snapshot()) + "|";
            if (body != record.m_result.bodies().end() && body->starts_with(prefix))
            {
                const auto keys = static_cast<std::uint32_t>(std::stoul(body->substr(prefix.size())));
                require(keys <= target.shard().keys().size(), *body + " claims too many keys");
                require(is_listed(record, target) == (keys < target.shard().keys().size()),
                        target.shard().name() + " is listed as missing if and only if it is");
                covered += keys;
                ++body;
                continue;
            }
            require(is_listed(record, target),
                    target.shard().name() + " is missing and isn't listed as missing");
        }
        require(body == record.m_result.bodies().end(),
                body == record.m_result.bodies().end() ? "" : *body + " doesn't belong to the result");
        return covered;
    }

    static bool is_listed(const search_record& record, const shard_target& target)
    {
        const auto& missing = record.m_result.coverage().missing();
        return std::any_of(missing.begin(), missing.end(),
                           [&target](const missing_shard& listed)
                           { return listed.shard() == target.shard().name(); });
    }

    shard_truth truth_of(const search_record& record, const std::string& shard) const
    {
        const auto found = m_upstreams.truth().find({record.m_request_id, shard});
        return found == m_upstreams.truth().end() ? shard_truth{} : found->second;
    }

    void check_reason(const search_record& record, const missing_shard& missing) const
    {
        const shard_truth truth = truth_of(record, missing.shard());
        const bool is_early = record.m_ended < record.m_answer_by;
        const std::string where =
            record.m_request_id + "/" + missing.shard() + " " + std::string{to_string(missing.reason())};
        switch (missing.reason())
        {
        case missing_reason::no_replica:
            require(truth.m_sent == 0, where + " though it was sent");
            break;
        case missing_reason::cold:
        case missing_reason::at_capacity:
            break;
        case missing_reason::deadline:
            require(truth.m_sent > 0 && !is_early, where + " before the deadline");
            break;
        case missing_reason::failed:
            require(truth.m_failed > 0, where + " though no attempt failed");
            break;
        case missing_reason::wrong_snapshot:
            require(truth.m_mismatched > 0, where + " though the version was available");
            break;
        case missing_reason::partial_reply:
            require(m_scenario.m_weights.m_partial > 0, where + " though replies were complete");
            break;
        }
        const bool only_mismatched =
            truth.m_sent == replica_count && truth.m_mismatched == truth.m_sent && truth.m_failed == 0;
        require(!is_early || !only_mismatched || missing.reason() == missing_reason::wrong_snapshot,
                where + " though no replica had the version");
    }

    static constexpr std::uint32_t searches = 4;

    scenario m_scenario;
    std::uint64_t m_seed;
    random_source m_random;
    upstream_table m_table;
    hedge_policy m_hedging;
    faulty_upstreams m_upstreams;
    search_simulation m_simulation;
    std::vector<search_record> m_records;
};

class gather_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gather_faults_test);
    CPPUNIT_TEST(every_result_reports_its_coverage_correctly);
    CPPUNIT_TEST_SUITE_END();

  public:
    void every_result_reports_its_coverage_correctly()
    {
        std::string failures;
        for (const scenario& tested : scenarios())
        {
            failures += failures_of(tested);
        }
        CPPUNIT_ASSERT_MESSAGE(failures, failures.empty());
    }

  private:
    /// first failure of a scenario and the number of seeds that fail, or nothing
    static std::string failures_of(const scenario& tested)
    {
        std::string first;
        std::uint32_t failed = 0;
        for (std::uint64_t seed = 1; seed <= seeds_per_scenario; ++seed)
        {
            try
            {
                fault_run{tested, seed}.run();
            }
            catch (const CppUnit::Exception& failure)
            {
                first = failed++ == 0 ? failure.message().details() : first;
            }
        }
        return failed == 0 ? "" : std::to_string(failed) + " seeds, first " + first;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gather_faults_test);

} // namespace
