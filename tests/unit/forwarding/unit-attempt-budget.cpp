#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <vector>

#include "teasellead/forwarding/attempt_budget.hpp"
#include "teasellead/forwarding/configuration_lease.hpp"
#include "teasellead/forwarding/extra_reserve.hpp"
#include "teasellead/kernel/random.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::forwarding;

constexpr time_point start{1h};

class attempt_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(attempt_budget_test);
    CPPUNIT_TEST(all_nodes_together_keep_the_bound_in_any_window);
    CPPUNIT_TEST(services_have_budgets_of_their_own);
    CPPUNIT_TEST(reserve_is_left_for_more_urgent_requests);
    CPPUNIT_TEST(lease_counts_from_the_time_of_the_request);
    CPPUNIT_TEST_SUITE_END();

  public:
    /// each node spends its whole budget, and nodes restart at random; the bound is checked in each time
    /// window
    void all_nodes_together_keep_the_bound_in_any_window()
    {
        constexpr std::size_t nodes = 8;
        constexpr double slack = 56.0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            random_source random{seed};
            std::vector<attempt_budget> budgets(nodes, attempt_budget{{0.2, slack, 10s}});
            for (attempt_budget& budget : budgets)
            {
                budget.set_slack_share(1.0 / nodes);
            }
            std::deque<time_point> requests;
            std::deque<time_point> extra;
            const double rate = 1.0 + 30.0 * random.unit();
            for (time_point now = start; now < start + 60s; now += 20ms)
            {
                for (attempt_budget& budget : budgets)
                {
                    if (random.unit() < rate * 0.02 / nodes)
                    {
                        budget.on_request("a", now);
                        requests.push_back(now);
                    }
                    while (budget.try_spend("a", now))
                    {
                        extra.push_back(now);
                    }
                }
                if (random.unit() < 0.001)
                {
                    const std::size_t restarted = random.below(nodes);
                    budgets[restarted] = attempt_budget{{0.2, slack, 10s}};
                    budgets[restarted].set_slack_share(1.0 / nodes);
                }
                while (!requests.empty() && requests.front() <= now - 20s)
                {
                    requests.pop_front();
                }
                while (!extra.empty() && extra.front() <= now - 10s)
                {
                    extra.pop_front();
                }
                CPPUNIT_ASSERT(static_cast<double>(extra.size()) <=
                               0.2 * static_cast<double>(requests.size()) + slack);
            }
        }
    }

    void services_have_budgets_of_their_own()
    {
        attempt_budget budget{{0.2, 4.0, 10s}};
        budget.set_slack_share(1.0);
        CPPUNIT_ASSERT(budget.try_spend("a", start));
        CPPUNIT_ASSERT(budget.try_spend("a", start));
        CPPUNIT_ASSERT(!budget.try_spend("a", start));
        CPPUNIT_ASSERT(budget.try_spend("b", start));
        // the time window has ended
        CPPUNIT_ASSERT(budget.try_spend("a", start + 11s));
    }

    /// requests of different priority spend all that they may of a budget of 20 extra attempts
    void reserve_is_left_for_more_urgent_requests()
    {
        struct row
        {
            const char* m_load;
            std::vector<std::uint32_t> m_seen; ///< priorities of other requests
            duration m_seen_ago;
            extra_attempt m_kind;
            int m_made; ///< number of extra attempts of requests of priority 1
        };
        for (const row& each :
             {row{"one priority", {1}, 0s, extra_attempt::optional, 20},
              row{"urgent ones are long ago", {0}, 11s, extra_attempt::optional, 20},
              row{"hedge beside urgent ones", {0}, 1s, extra_attempt::optional, 17},
              row{"retry beside urgent ones", {0}, 1s, extra_attempt::retry, 18},
              row{"last retry beside urgent ones", {0, 2}, 1s, extra_attempt::completing, 19},
              row{"hedge beside a batch", {2}, 1s, extra_attempt::optional, 18},
              row{"retry beside a batch", {2}, 1s, extra_attempt::retry, 19},
              row{"last retry beside a batch", {2}, 1s, extra_attempt::completing, 20}})
        {
            attempt_budget budget{{0.2, 40.0, 10s}};
            budget.set_slack_share(1.0);
            recent_priorities seen;
            for (const std::uint32_t priority : each.m_seen)
            {
                seen.on_request("a", priority, start - each.m_seen_ago);
            }
            const double reserved = reserved_fraction(each.m_kind, seen.standing_of("a", 1, start));
            int made = 0;
            while (budget.try_spend("a", start, reserved))
            {
                ++made;
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_load, each.m_made, made);
            while (budget.try_spend("a", start))
            {
                ++made;
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(each.m_load, 20, made);
        }
    }

    void lease_counts_from_the_time_of_the_request()
    {
        configuration_lease lease{3s};
        CPPUNIT_ASSERT(!lease.is_valid(start));
        lease.renew(start);
        CPPUNIT_ASSERT(lease.is_valid(start + 2999ms));
        CPPUNIT_ASSERT(!lease.is_valid(start + 3s));
        lease.renew(start + 2s);
        lease.renew(start + 1s);
        CPPUNIT_ASSERT(lease.is_valid(start + 4s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_budget_test);

} // namespace
