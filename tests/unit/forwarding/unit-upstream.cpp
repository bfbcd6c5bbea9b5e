#include <cppunit/extensions/HelperMacros.h>

#include "dispatch_fixture.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::forwarding;
using namespace teasellead::test;

constexpr time_point start = dispatch_start;
constexpr work_estimate usual_work{std::chrono::milliseconds{10}, std::chrono::milliseconds{10},
                                   std::nullopt};
const endpoint first{1, 7000};
const endpoint second{2, 7000};

upstream_observation observed(double failure_ratio, std::optional<reported_load> load = std::nullopt,
                              duration age = 0ms)
{
    return {upstream_trouble::shed, failure_ratio, load, age};
}

class upstream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(upstream_test);
    CPPUNIT_TEST(reported_figures_are_bounded);
    CPPUNIT_TEST(notice_of_any_response_carries_the_load);
    CPPUNIT_TEST(load_of_a_peer_is_used_while_the_own_is_unknown);
    CPPUNIT_TEST(failures_that_peers_report_raise_the_expectation);
    CPPUNIT_TEST(own_attempts_go_before_peers);
    CPPUNIT_TEST(reports_trouble_and_recovery_only);
    CPPUNIT_TEST(upstream_without_share_serves_only_retries);
    CPPUNIT_TEST(failing_at_peers_is_tried_less_but_not_excluded);
    CPPUNIT_TEST_SUITE_END();

  public:
    void reported_figures_are_bounded()
    {
        struct row
        {
            reported_load m_reported;
            reported_load m_used;
        };
        const std::vector<row> rows{
            {{3, 1, 8, 1.5}, {3, 1, 8, 1.5}},
            {{0, 0, 0, 0.0}, {0, 0, 1, 0.1}},
            {{1, UINT32_MAX, 4, 1e9}, {1, 400, 4, 20.0}},
            {{UINT32_MAX, 0, UINT32_MAX, 1.0}, {1'000'000, 0, 10'000, 1.0}},
        };
        for (const row& each : rows)
        {
            CPPUNIT_ASSERT(bounded(each.m_reported) == each.m_used);
            upstream target{entry_of("a", 0), start};
            target.on_load(each.m_reported, start);
            CPPUNIT_ASSERT(target.current_load(start) == each.m_used);
        }
    }

    void notice_of_any_response_carries_the_load()
    {
        dispatch_fixture fixture{{"a"}};
        const shared_upstream target = fixture.m_directory.find("a-0");
        fixture.m_directory.on_notice(*target, {false, std::nullopt, reported_load{2, 1, 3, 1.5}}, start);
        CPPUNIT_ASSERT((target->current_load(start) == reported_load{2, 1, 3, 1.5}));
        // a response without a report doesn't change it
        fixture.m_directory.on_notice(*target, {}, start);
        CPPUNIT_ASSERT(target->reports_load());
        CPPUNIT_ASSERT(!fixture.m_directory.find("a-1")->reports_load());
    }

    void load_of_a_peer_is_used_while_the_own_is_unknown()
    {
        const reported_load busy{3, 3, 3, 4.0};
        const reported_load idle{0, 0, 3, 0.2};
        upstream target{entry_of("a", 0), start};
        CPPUNIT_ASSERT(!target.current_load(start));
        target.on_peer_observation(first, observed(0.0, busy), start);
        // what a single peer says is capped
        CPPUNIT_ASSERT((target.current_load(start) == reported_load{3, 3, 3, 2.0}));
        target.on_peer_observation(second, observed(0.0, busy), start);
        CPPUNIT_ASSERT(target.current_load(start) == busy);
        target.on_load(idle, start);
        CPPUNIT_ASSERT(target.current_load(start) == idle);
        CPPUNIT_ASSERT(target.current_load(start + 300ms) == busy);
        // an idle claim doesn't win over a busy one
        target.on_peer_observation(second, observed(0.0, idle), start + 300ms);
        CPPUNIT_ASSERT((target.current_load(start + 300ms) == reported_load{3, 3, 3, 2.0}));
        target.on_peer_observation(first, observed(0.0, idle), start + 300ms);
        CPPUNIT_ASSERT((target.current_load(start + 300ms) == reported_load{0, 0, 3, 1.0}));
        CPPUNIT_ASSERT(!target.current_load(start + 2s));
    }

    void failures_that_peers_report_raise_the_expectation()
    {
        struct row
        {
            std::vector<std::optional<endpoint>> m_reporters;
            duration m_age;
            double m_expected;
        };
        const std::vector<row> rows{
            {{}, 0ms, 0.0},
            {{first}, 0ms, peer_view::single_failure_ratio},
            {{first, first}, 0ms, peer_view::single_failure_ratio},
            {{first, std::nullopt}, 0ms, peer_view::single_failure_ratio},
            {{std::nullopt, std::nullopt}, 0ms, peer_view::single_failure_ratio},
            {{first, second}, 0ms, 0.8},
            {{first, second}, 999ms, 0.8},
            {{first, second}, 1s, 0.0},
        };
        for (const row& each : rows)
        {
            upstream target{entry_of("a", 0), start};
            for (const auto& reporter : each.m_reporters)
            {
                target.on_peer_observation(reporter, observed(0.8, std::nullopt, each.m_age), start);
            }
            CPPUNIT_ASSERT_EQUAL(each.m_expected, target.expected_failure_ratio(start));
        }
    }

    void own_attempts_go_before_peers()
    {
        upstream target{entry_of("a", 0), start};
        target.on_peer_observation(first, observed(0.8), start);
        target.on_peer_observation(second, observed(0.8), start);
        double last = target.expected_failure_ratio(start);
        for (int attempt = 0; attempt < 4; ++attempt)
        {
            target.on_reply(start, start);
            CPPUNIT_ASSERT(target.expected_failure_ratio(start) < last);
            last = target.expected_failure_ratio(start);
        }
        CPPUNIT_ASSERT_EQUAL(0.0, last);
        // good news of peers doesn't lower what this node has seen
        target.on_failure(start, attempt_failure::shed, start);
        target.on_peer_observation(first, observed(0.0), start);
        target.on_peer_observation(second, observed(0.0), start);
        CPPUNIT_ASSERT_EQUAL(target.failure_ratio(), target.expected_failure_ratio(start + 2s));
    }

    void reports_trouble_and_recovery_only()
    {
        struct row
        {
            std::optional<attempt_failure> m_failure;
            reported_load m_load;
            std::optional<upstream_trouble> m_trouble;
        };
        const reported_load calm{1, 0, 4, 1.0};
        const std::vector<row> rows{
            {std::nullopt, calm, std::nullopt},
            {std::nullopt, {4, 4, 4, 1.0}, upstream_trouble::slow},
            {std::nullopt, {1, 0, 4, 2.0}, upstream_trouble::slow},
            {attempt_failure::shed, calm, upstream_trouble::shed},
            {attempt_failure::broken, calm, upstream_trouble::broken},
            {attempt_failure::abandoned, calm, upstream_trouble::slow},
        };
        for (const row& each : rows)
        {
            upstream target{entry_of("a", 0), start};
            CPPUNIT_ASSERT(!target.observation(start));
            target.on_load(each.m_load, start);
            if (each.m_failure)
            {
                target.on_failure(start, *each.m_failure, start);
            }
            const auto seen = target.observation(start + 20ms);
            CPPUNIT_ASSERT_EQUAL(each.m_trouble.has_value(), seen.has_value());
            if (!seen)
            {
                continue;
            }
            CPPUNIT_ASSERT(seen->m_trouble == *each.m_trouble);
            CPPUNIT_ASSERT(seen->m_load == each.m_load);
            CPPUNIT_ASSERT(seen->m_age == 20ms);
            CPPUNIT_ASSERT(!target.observation(start + 300ms));
            for (int reply = 0; reply < 6; ++reply)
            {
                target.on_load(calm, start + 500ms);
                target.on_reply(start, start + 500ms);
            }
            CPPUNIT_ASSERT(target.observation(start + 500ms)->m_trouble == upstream_trouble::none);
            target.on_reply(start, start + 1500ms);
            CPPUNIT_ASSERT(!target.observation(start + 1500ms));
        }
    }

    void upstream_without_share_serves_only_retries()
    {
        dispatch_fixture fixture{{"a"}, 2};
        const shared_upstream shared = fixture.m_directory.find("a-0");
        fixture.m_directory.set_share_check([&shared](const upstream& each)
                                            { return &each == shared.get(); });
        const std::vector<shared_upstream> tried{shared};
        for (const bool is_retry : {false, true})
        {
            const auto chosen = fixture.m_directory.choose(
                "a", usual_work, is_retry ? std::span{tried} : std::span<const shared_upstream>{},
                [](const upstream&) { return true; }, fixture.m_random, start);
            CPPUNIT_ASSERT_EQUAL(is_retry, std::get<upstream_choice>(chosen).m_upstream != shared);
        }
    }

    void failing_at_peers_is_tried_less_but_not_excluded()
    {
        for (const int replicas : {1, 2})
        {
            dispatch_fixture fixture{{"a"}, replicas};
            const shared_upstream failing = fixture.m_directory.find("a-0");
            for (const endpoint& reporter : {first, second})
            {
                failing->on_peer_observation(reporter, observed(1.0), start);
            }
            const auto chosen = fixture.m_directory.choose(
                "a", usual_work, {}, [](const upstream&) { return true; }, fixture.m_random, start);
            CPPUNIT_ASSERT_EQUAL(replicas == 1, std::get<upstream_choice>(chosen).m_upstream == failing);
            CPPUNIT_ASSERT(!failing->is_ejected(start));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_test);

} // namespace
