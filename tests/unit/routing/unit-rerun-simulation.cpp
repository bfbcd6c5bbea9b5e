#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "faulty_upstreams.hpp"
#include "search_simulation.hpp"
#include "search_topology.hpp"
#include "teasellead/routing/rerun.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::testing;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t seed_count = 200;
constexpr std::uint32_t shard_count = 5;
constexpr std::uint32_t replica_count = 3;

/// a search whose index version is replaced on all replicas at about the time when it runs
class version_change_run
{
  public:
    explicit version_change_run(std::uint64_t seed)
        : m_random(seed), m_table(table_settings("two-choices", false)),
          m_hedging(make_hedging_rule("quantile"), extra_load_budget{0.025, 128.0}),
          m_upstreams({.m_careless_version = 0.2}, milliseconds{8}, m_random),
          m_simulation(
              gather_context{m_table, m_hedging, m_random},
              [this](const sub_request& request) { return m_upstreams(request); },
              [this](const search_record& record) { finish(record); })
    {
    }

    void run()
    {
        const topology_parameters old{.m_shards = shard_count, .m_replicas = replica_count};
        topology_parameters renewed = old;
        renewed.m_snapshot = 2;
        m_table.set_views(single_host_view(old));
        m_simulation.set_revision(make_revision(1, old));
        const time_point start = m_simulation.events().now();
        for (std::uint32_t shard = 0; shard < shard_count; ++shard)
        {
            for (std::uint32_t position = 0; position < replica_count; ++position)
            {
                const time_point change = start + microseconds{m_random.below(10000)};
                m_upstreams.set_versions(replica_address(shard, position),
                                         {{time_point{}, 1, 1}, {change, 2, 1}});
            }
        }
        m_simulation.events().schedule(start + milliseconds{10}, [this, renewed]
                                       { m_simulation.set_revision(make_revision(2, renewed)); });
        m_simulation.search("first", "/find", milliseconds{150});
        m_simulation.events().run();
    }

    [[nodiscard]] const std::optional<search_record>& first() const noexcept
    {
        return m_first;
    }

    [[nodiscard]] const std::optional<search_record>& second() const noexcept
    {
        return m_second;
    }

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept
    {
        return m_simulation.violations();
    }

    [[nodiscard]] std::uint64_t spent() const
    {
        return m_hedging.spent();
    }

  private:
    void finish(const search_record& record)
    {
        if (m_first.has_value())
        {
            m_second = record;
            return;
        }
        m_first = record;
        const finished_run finished{record.m_plan,    record.m_result, false,
                                    record.m_started, record.m_ended,  record.m_answer_by};
        const rerun_decision decision = try_rerun(finished, m_simulation.revision(), m_hedging);
        if (const auto* const again = std::get_if<run_again>(&decision))
        {
            m_simulation.search("second", again->plan(), record.m_answer_by);
        }
    }

    random_source m_random;
    upstream_table m_table;
    hedge_policy m_hedging;
    faulty_upstreams m_upstreams;
    search_simulation m_simulation;
    std::optional<search_record> m_first;
    std::optional<search_record> m_second;
};

class rerun_simulation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rerun_simulation_test);
    CPPUNIT_TEST(complete_the_result_on_the_newer_snapshot);
    CPPUNIT_TEST_SUITE_END();

  public:
    void complete_the_result_on_the_newer_snapshot()
    {
        std::uint32_t partial = 0;
        std::uint32_t again = 0;
        for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
        {
            version_change_run search{seed};
            search.run();
            check(search, "seed " + std::to_string(seed));
            partial += search.first()->m_result.coverage().complete() ? 0 : 1;
            again += search.second().has_value() ? 1 : 0;
        }
        // the scenario must cause the version mismatches that the second run resolves
        CPPUNIT_ASSERT(partial > seed_count / 2);
        CPPUNIT_ASSERT(again > seed_count / 2);
    }

  private:
    static void check(const version_change_run& search, const std::string& name)
    {
        CPPUNIT_ASSERT_MESSAGE(name, search.violations().empty());
        CPPUNIT_ASSERT_MESSAGE(name, search.first().has_value());
        if (!search.second().has_value())
        {
            return;
        }
        const search_record& second = *search.second();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, snapshot_id{2}, second.m_result.snapshot());
        CPPUNIT_ASSERT_MESSAGE(name, second.m_result.coverage().complete());
        CPPUNIT_ASSERT_MESSAGE(name, second.m_ended <= search.first()->m_answer_by);
        CPPUNIT_ASSERT_MESSAGE(name, search.spent() >= shard_count);
        const gather_result answer = better_of(search.first()->m_result, second.m_result);
        for (const std::string& body : answer.bodies())
        {
            CPPUNIT_ASSERT_MESSAGE(name + " " + body, body.find("|1|2|") != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rerun_simulation_test);

} // namespace
