#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <vector>

#include "teasellead/forwarding/retry_after.hpp"
#include "teasellead/forwarding/scatter_progress.hpp"
#include "teasellead/forwarding/search_outlook.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::forwarding;

constexpr time_point start{1h};

class search_outlook_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(search_outlook_test);
    CPPUNIT_TEST(chance_of_a_search);
    CPPUNIT_TEST(decides_by_chance_and_urgency);
    CPPUNIT_TEST(old_results_are_no_evidence);
    CPPUNIT_TEST(purpose_of_a_retry);
    CPPUNIT_TEST(return_of_refused_callers);
    CPPUNIT_TEST_SUITE_END();

  public:
    void chance_of_a_search()
    {
        struct row
        {
            const char* m_load;
            std::vector<double> m_ratios; ///< of the upstreams of each shard
            std::size_t m_attempts;
            std::size_t m_shards;
            std::size_t m_needed;
            double m_chance;
        };
        const std::vector<row> rows{
            {"no failures", {0.0, 0.0, 0.0}, 2, 36, 36, 1.0},
            {"a replica of each shard rejects, another doesn't", {0.6, 0.0, 0.6}, 2, 36, 35, 1.0},
            {"one in ten fails", {0.1, 0.1}, 2, 36, 35, 0.949},
            {"three in ten fail", {0.3, 0.3}, 2, 36, 35, 0.153},
            {"six in ten fail", {0.6, 0.6, 0.6}, 2, 36, 35, 0.0},
            {"six in ten fail, low coverage", {0.6, 0.6, 0.6}, 2, 36, 18, 0.969},
            {"more shards needed than there are", {0.0}, 1, 2, 3, 0.0},
            {"shard with one upstream", {0.5}, 2, 1, 1, 0.5},
        };
        for (const row& each : rows)
        {
            const std::vector<double> chances(each.m_shards, chance_of_reply(each.m_ratios, each.m_attempts));
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(each.m_load, each.m_chance,
                                                 chance_of_coverage(chances, each.m_needed), 0.01);
        }
        CPPUNIT_ASSERT(chance_of_reply({1.0, 1.0}, 2) > 0.0);
        CPPUNIT_ASSERT_EQUAL(0.0, chance_of_reply({}, 2));
    }

    void decides_by_chance_and_urgency()
    {
        struct row
        {
            double m_shard_chance;
            bool m_is_most_urgent;
            std::uint64_t m_min_probes;
            std::uint64_t m_max_probes;
            bool m_is_sent;
        };
        for (const row& each : {row{0.9, false, 0, 0, true}, row{0.6, false, 0, 0, true},
                                row{0.4, false, 60, 140, false}, row{0.4, true, 200, 300, false}})
        {
            search_outlook outlook;
            random_source random{5};
            const std::vector<double> chances(4, each.m_shard_chance);
            for (int search = 0; search < 1000; ++search)
            {
                const search_decision decision = outlook.decide(chances, 4, each.m_is_most_urgent, random);
                CPPUNIT_ASSERT_EQUAL(each.m_is_sent, decision == search_decision::send);
            }
            CPPUNIT_ASSERT(outlook.probes() >= each.m_min_probes && outlook.probes() <= each.m_max_probes);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{each.m_is_sent ? 0U : 1000U},
                                 outlook.probes() + outlook.refused());
        }
    }

    void old_results_are_no_evidence()
    {
        search_outlook outlook;
        outlook.on_result("a", start);
        CPPUNIT_ASSERT(outlook.has_evidence("a", start + 100ms));
        CPPUNIT_ASSERT(!outlook.has_evidence("a", start + 1s));
        CPPUNIT_ASSERT(!outlook.has_evidence("b", start));
    }

    void purpose_of_a_retry()
    {
        struct row
        {
            scatter_progress m_progress;
            std::size_t m_needed;
            extra_attempt m_purpose;
            bool m_is_reachable;
        };
        for (const row& each : {row{{36, 0, 36, 0.95}, 35, extra_attempt::retry, true},
                                row{{36, 32, 4, 0.95}, 35, extra_attempt::completing, true},
                                row{{36, 35, 1, 0.95}, 35, extra_attempt::optional, true},
                                row{{36, 30, 4, 0.95}, 35, extra_attempt::retry, false},
                                row{{10, 0, 1, 0.0}, 1, extra_attempt::completing, true},
                                row{{10, 6, 0, 0.7}, 7, extra_attempt::completing, false}})
        {
            CPPUNIT_ASSERT_EQUAL(each.m_needed, each.m_progress.needed());
            CPPUNIT_ASSERT(each.m_purpose == each.m_progress.purpose_of_retry());
            CPPUNIT_ASSERT_EQUAL(each.m_is_reachable, each.m_progress.is_reachable());
        }
    }

    void return_of_refused_callers()
    {
        struct row
        {
            const char* m_load;
            return_conditions m_conditions;
            std::chrono::milliseconds m_earliest;
            std::chrono::milliseconds m_latest;
        };
        for (const row& each : {row{"one priority", {100ms, 0ms, 0, 3s}, 100ms, 200ms},
                                row{"two more urgent", {100ms, 0ms, 2, 3s}, 200ms, 400ms},
                                row{"capacity in 300 ms", {100ms, 300ms, 0, 3s}, 300ms, 600ms},
                                row{"urgent with 300 ms", {100ms, 0ms, 0, 300ms}, 50ms, 100ms},
                                row{"capacity after the deadline", {100ms, 5s, 0, 600ms}, 100ms, 200ms},
                                row{"no time left", {100ms, 0ms, 0, -1ms}, 5ms, 10ms}})
        {
            random_source random{3};
            auto least = std::chrono::milliseconds::max();
            auto greatest = std::chrono::milliseconds::min();
            for (int caller = 0; caller < 300; ++caller)
            {
                const auto after = retry_after_of(each.m_conditions, random);
                least = std::min(least, after);
                greatest = std::max(greatest, after);
            }
            CPPUNIT_ASSERT_MESSAGE(each.m_load, least >= each.m_earliest && greatest <= each.m_latest);
            CPPUNIT_ASSERT_MESSAGE(each.m_load, greatest - least > (each.m_latest - each.m_earliest) / 2);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(search_outlook_test);

} // namespace
