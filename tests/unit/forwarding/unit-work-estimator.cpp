#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "teasellead/forwarding/work_estimator.hpp"
#include "teasellead/kernel/random.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::forwarding;

class work_estimator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(work_estimator_test);
    CPPUNIT_TEST(learns_the_work_of_each_kind);
    CPPUNIT_TEST(one_false_value_changes_little);
    CPPUNIT_TEST(late_ratio_follows_the_spread);
    CPPUNIT_TEST(memory_is_bounded);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// requests of 5 ms and of 120 ms share a service, a route, or all but their size or content
    void learns_the_work_of_each_kind()
    {
        struct kind
        {
            const char* m_route;
            const char* m_service;
            const char* m_fingerprint;
            std::size_t m_body_bytes;
        };
        struct row
        {
            const char* m_name;
            kind m_cheap;
            kind m_expensive;
        };
        constexpr std::array<row, 4> rows{{
            {"by route", {"r", "s", "", 0}, {"q", "s", "", 0}},
            {"by service", {"r", "s", "", 0}, {"r", "t", "", 0}},
            {"by content", {"r", "s", "f00d", 0}, {"r", "s", "beef", 0}},
            {"by size", {"r", "s", "", 100}, {"r", "s", "", 100'000}},
        }};
        for (const row& each : rows)
        {
            work_estimator estimator;
            for (int i = 0; i < 60; ++i)
            {
                learn(estimator, each.m_cheap, 5ms);
                learn(estimator, each.m_expensive, 120ms);
            }
            const duration cheap = estimate(estimator, each.m_cheap);
            const duration expensive = estimate(estimator, each.m_expensive);
            CPPUNIT_ASSERT_MESSAGE(each.m_name, cheap < 30ms);
            CPPUNIT_ASSERT_MESSAGE(each.m_name, expensive > 80ms && expensive < 160ms);
        }
    }

    /// a paused upstream, or one whose reported work factor is false
    void one_false_value_changes_little()
    {
        for (const duration value : {duration{0}, duration{1us}, duration{10s}, duration{24h}})
        {
            work_estimator estimator;
            const request_profile request{"r", "", 0};
            for (int i = 0; i < 60; ++i)
            {
                estimator.add(request, "s", estimator.estimate(request, "s"), 10ms, 1.0);
            }
            estimator.add(request, "s", estimator.estimate(request, "s"), value, 1.0);
            const duration after = estimator.estimate(request, "s").m_mean;
            CPPUNIT_ASSERT(after > 7ms && after < 15ms);
        }
    }

    void late_ratio_follows_the_spread()
    {
        struct row
        {
            double m_rare_ratio; ///< one request in ten runs so much longer than expected
            double m_min;
            double m_max;
        };
        for (const row& each : {row{1.0, 1.0, 1.2}, row{8.0, 6.0, 10.0}, row{1e9, 14.0, 16.0}})
        {
            work_estimator estimator;
            const request_profile request{"r", "", 0};
            CPPUNIT_ASSERT(!estimator.estimate(request, "s").m_late_ratio);
            for (int i = 0; i < 200; ++i)
            {
                const double ratio = i % 10 == 0 ? each.m_rare_ratio : 1.0;
                estimator.add(request, "s", estimator.estimate(request, "s"), 10ms, ratio);
            }
            const std::optional<double> late = estimator.estimate(request, "s").m_late_ratio;
            CPPUNIT_ASSERT(late && *late >= each.m_min && *late <= each.m_max);
        }
    }

    /// requests that never come again, on routes that come and go
    void memory_is_bounded()
    {
        constexpr std::size_t max_bytes = 512 * 1024;
        work_estimator estimator;
        const std::size_t at_first = estimator.max_memory_bytes();
        for (int i = 0; i < 20'000; ++i)
        {
            const std::string name = std::to_string(i);
            const request_profile request{name, name, static_cast<std::size_t>(i)};
            estimator.add(request, name, {}, 10ms, 1.0);
        }
        CPPUNIT_ASSERT_EQUAL(work_estimator::max_routes, estimator.accuracy().size());
        CPPUNIT_ASSERT_EQUAL(at_first, estimator.max_memory_bytes());
        CPPUNIT_ASSERT(at_first < max_bytes);
    }

  private:
    template <class Kind>
    static request_profile profile_of(const Kind& kind)
    {
        return {kind.m_route, kind.m_fingerprint, kind.m_body_bytes};
    }

    template <class Kind>
    static void learn(work_estimator& estimator, const Kind& kind, duration work)
    {
        const request_profile request = profile_of(kind);
        estimator.add(request, kind.m_service, estimator.estimate(request, kind.m_service), work, 1.0);
    }

    template <class Kind>
    static duration estimate(const work_estimator& estimator, const Kind& kind)
    {
        return estimator.estimate(profile_of(kind), kind.m_service).m_mean;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_estimator_test);

} // namespace
