#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <queue>

#include "dispatch_fixture.hpp"
#include "teasellead/forwarding/expected_completion.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::forwarding;
using namespace teasellead::test;

constexpr time_point start = dispatch_start;
constexpr work_estimate usual_work{10ms, 10ms, std::nullopt};

void report(upstream& from, const reported_load& load)
{
    from.on_start(start - 10ms);
    from.on_load(load, start);
    from.on_reply(start - 10ms, start);
}

void add_attempts(upstream& target, int count, duration run)
{
    for (int i = 0; i < count; ++i)
    {
        target.on_start(start, {run, 3 * run});
    }
}

class expected_completion_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(expected_completion_test);
    CPPUNIT_TEST(prefers_the_upstream_that_will_answer_first);
    CPPUNIT_TEST(stays_bounded_whatever_is_reported);
    CPPUNIT_TEST(low_work_factor_draws_no_requests);
    CPPUNIT_TEST(choice_that_the_work_changed_is_marked);
    CPPUNIT_TEST(distance_is_learned_from_replies);
    CPPUNIT_TEST(mixed_work_waits_less_than_by_mean_latency);
    CPPUNIT_TEST_SUITE_END();

  public:
    void prefers_the_upstream_that_will_answer_first()
    {
        struct row
        {
            const char* m_name;
            std::function<void(upstream&)> m_better;
            std::function<void(upstream&)> m_worse;
        };
        const auto idle = [](upstream&) {
        };
        const auto far_away = [](upstream& each)
        {
            upstream_entry entry = each.entry();
            entry.m_data_centre = "south";
            each.update(entry, start);
        };
        const std::vector<row> rows{
            {"expensive attempts", [](upstream& each) { add_attempts(each, 2, 5ms); },
             [](upstream& each)
             {
                 add_attempts(each, 2, 120ms);
             }},
            {"many cheap attempts or one expensive", [](upstream& each) { add_attempts(each, 3, 2ms); },
             [](upstream& each)
             {
                 add_attempts(each, 3, 100ms);
             }},
            {"slow host",
             [](upstream& each) {
                 report(each, {1, 0, 3, 1.0});
             },
             [](upstream& each)
             {
                 report(each, {1, 0, 3, 3.0});
             }},
            {"slow without a report", idle,
             [](upstream& each)
             {
                 each.on_work(3.0);
             }},
            {"reported queue",
             [](upstream& each) {
                 report(each, {3, 0, 3, 1.0});
             },
             [](upstream& each)
             {
                 report(each, {3, 4, 3, 1.0});
             }},
            {"warm-up", idle,
             [](upstream& each)
             {
                 each.set_cold_until(start + 1s);
             }},
            {"failures", idle,
             [](upstream& each)
             {
                 each.on_start(start);
                 each.on_failure(start, attempt_failure::shed, start);
             }},
            {"longer than expected",
             [](upstream& each) {
                 each.on_start(start - 4ms, {5ms, 90ms});
             },
             [](upstream& each)
             {
                 each.on_start(start - 20ms, {5ms, 90ms});
             }},
            {"overdue attempt",
             [](upstream& each) {
                 each.on_start(start - 50ms, {100ms, 300ms});
             },
             [](upstream& each)
             {
                 each.on_start(start - 50ms, {5ms, 15ms});
             }},
            {"far and idle", idle, far_away},
            {"near and full", far_away,
             [](upstream& each)
             {
                 add_attempts(each, 6, 60ms);
             }},
            {"near and nearly idle", [](upstream& each) { add_attempts(each, 1, 10ms); }, far_away},
        };
        for (const row& each : rows)
        {
            upstream better{entry_of("a", 0), start};
            upstream worse{entry_of("a", 1), start};
            each.m_better(better);
            each.m_worse(worse);
            CPPUNIT_ASSERT_MESSAGE(each.m_name, total_of(better) < total_of(worse));
        }
    }

    void stays_bounded_whatever_is_reported()
    {
        constexpr std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
        const double infinite = std::numeric_limits<double>::infinity();
        for (const double factor : {-1.0, 0.0, 1e-300, 1e300, infinite, std::nan("")})
        {
            for (const std::uint32_t count : {0U, 1U, most})
            {
                upstream target{entry_of("a", 0), start};
                report(target, {count, count, count, factor});
                const duration total = total_of(target);
                CPPUNIT_ASSERT(total >= usual_work.m_mean);
                CPPUNIT_ASSERT(total <= 11s);
            }
        }
    }

    /// both upstreams answer after 10 ms, whatever the first one reports
    void low_work_factor_draws_no_requests()
    {
        for (const double factor : {-1.0, 0.0, 0.01, 0.1, 1.0, 5.0, 1e9})
        {
            dispatch_fixture fixture{{"a"}};
            std::map<std::string, int> chosen;
            for (int i = 0; i < 200; ++i)
            {
                dispatch request = fixture.single(repeatability::idempotent);
                const auto actions = request.start(start);
                const upstream& target = *std::get<send_attempt>(actions.at(0)).m_upstream;
                const bool is_false = target.entry().m_instance == "a-0";
                ++chosen[target.entry().m_instance];
                upstream_notice notice;
                notice.m_load = reported_load{1, 0, 3, is_false ? factor : 1.0};
                request.on_notice(0, notice, start + 10ms);
                (void)request.on_reply(0, reply_of(200), start + 10ms);
            }
            const std::string message = std::to_string(factor) + ": " + std::to_string(chosen["a-0"]);
            CPPUNIT_ASSERT_MESSAGE(message, chosen["a-1"] >= 60);
            CPPUNIT_ASSERT_MESSAGE(message, factor > 1.0 || chosen["a-0"] >= 60);
        }
    }

    /// the first upstream has one attempt, the second has two of 1 ms
    void choice_that_the_work_changed_is_marked()
    {
        for (const duration first : {duration{1ms}, duration{120ms}})
        {
            dispatch_fixture fixture{{"a"}};
            const auto found = fixture.m_directory.candidates("a", usual_work, has_room, start);
            for (const upstream_candidate& each : found)
            {
                const bool is_first = each.m_upstream->entry().m_instance == "a-0";
                add_attempts(*each.m_upstream, is_first ? 1 : 2, is_first ? first : 1ms);
            }
            const auto result =
                fixture.m_directory.choose("a", usual_work, {}, has_room, fixture.m_random, start);
            CPPUNIT_ASSERT_EQUAL(first > 100ms, std::get<upstream_choice>(result).m_is_rerouted);
        }
    }

    void distance_is_learned_from_replies()
    {
        network_distance distances{"north"};
        random_source random{5};
        for (int i = 0; i < 200; ++i)
        {
            // the far replies are mostly of cheaper requests, the near ones wait now and then
            const duration noise = std::chrono::microseconds{random.below(3000)};
            distances.add("a", "north", 5ms + noise + (i % 4 == 0 ? 80ms : 0ms));
            distances.add("a", "south", 25ms + noise);
            distances.add("b", "east", 9ms);
        }
        CPPUNIT_ASSERT(distances.find("north") == duration::zero());
        CPPUNIT_ASSERT(!distances.find("east"));
        const duration south = distances.find("south").value_or(0ms);
        CPPUNIT_ASSERT(south > 19ms && south < 21ms);
    }

    /// one node, three upstreams with three slots, one request in ten takes 120 ms and the others 5 ms
    void mixed_work_waits_less_than_by_mean_latency()
    {
        for (const std::uint64_t seed : {1U, 2U, 3U})
        {
            const waits by_latency = play(seed, rule::mean_latency);
            const waits by_route = play(seed, rule::work_of_route);
            const waits by_mean = play(seed, rule::mean_work);
            const std::string message = "seed " + std::to_string(seed) + ": " + text_of(by_latency) +
                                        " by latency, " + text_of(by_mean) + " by mean work, " +
                                        text_of(by_route) + " by work of the route";
            CPPUNIT_ASSERT_MESSAGE(message, by_mean.m_mean < by_latency.m_mean);
            CPPUNIT_ASSERT_MESSAGE(message, by_mean.m_p99 < by_latency.m_p99);
            CPPUNIT_ASSERT_MESSAGE(message, by_route.m_mean < by_mean.m_mean);
            CPPUNIT_ASSERT_MESSAGE(message, by_route.m_p99 < by_mean.m_p99);
        }
    }

  private:
    static bool has_room(const upstream&)
    {
        return true;
    }

    struct waits
    {
        double m_mean{0.0};
        double m_p99{0.0};
    };

    /// how the upstream of a request is chosen
    enum class rule
    {
        mean_latency, ///< by one mean latency for all requests to an upstream
        mean_work,    ///< by the expected work, with one route for all requests
        work_of_route ///< by the expected work, with a route for each kind
    };

    static std::string text_of(const waits& value)
    {
        return "mean " + std::to_string(value.m_mean) + " ms, p99 " + std::to_string(value.m_p99) + " ms";
    }

    struct reply
    {
        time_point m_at;
        attempt_number m_request{0};

        bool operator>(const reply& other) const
        {
            return m_at > other.m_at;
        }
    };

    static duration total_of(const upstream& target)
    {
        return expected_completion(target, usual_work, network_distance{"north"}, {}, start).total();
    }

    static shared_upstream choose_by_mean(const std::vector<shared_upstream>& upstreams,
                                          random_source& random)
    {
        const auto cost = [&random](const shared_upstream& each)
        {
            const duration mean =
                each->mean_latency() == duration::zero() ? duration{15ms} : each->mean_latency();
            const double own = each->in_flight();
            const double slots = each->entry().m_capacity;
            return mean * (1.0 + std::max(0.0, own + 1.0 - slots) / slots + 0.25 * own / slots) *
                   (1.0 + 0.15 * random.unit());
        };
        std::vector<double> costs;
        costs.reserve(upstreams.size());
        for (const shared_upstream& each : upstreams)
        {
            costs.push_back(static_cast<double>(cost(each).count()));
        }
        return upstreams[static_cast<std::size_t>(std::min_element(costs.begin(), costs.end()) -
                                                  costs.begin())];
    }

    static waits play(std::uint64_t seed, rule by)
    {
        const bool is_by_work = by != rule::mean_latency;
        constexpr std::size_t requests = 20'000;
        constexpr double arrivals_per_ms = 0.36; // 0.66 of what the slots can run
        dispatch_fixture fixture{{"a"}, 3};
        random_source world{seed};
        std::vector<shared_upstream> upstreams;
        std::map<std::string, std::vector<time_point>> slots;
        for (int i = 0; i < 3; ++i)
        {
            upstreams.push_back(std::make_shared<upstream>(entry_of("a", i), start));
            slots["a-" + std::to_string(i)].assign(3, start);
        }
        std::vector<dispatch> dispatches;
        std::vector<std::pair<shared_upstream, time_point>> sent;
        std::priority_queue<reply, std::vector<reply>, std::greater<>> replies;
        std::vector<double> waited;
        dispatches.reserve(requests);
        time_point now = start;
        for (std::size_t i = 0; i < requests; ++i)
        {
            now += std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>(-std::log(1.0 - world.unit()) / arrivals_per_ms));
            for (; !replies.empty() && replies.top().m_at <= now; replies.pop())
            {
                const reply& each = replies.top();
                if (is_by_work)
                {
                    (void)dispatches[each.m_request].on_reply(0, reply_of(200), each.m_at);
                    continue;
                }
                const auto& [from, began] = sent[each.m_request];
                from->on_reply(began, each.m_at);
            }
            const bool is_expensive = world.below(10) == 0;
            shared_upstream chosen;
            if (is_by_work)
            {
                dispatch_request request;
                request.m_route = is_expensive && by == rule::work_of_route ? "expensive" : "cheap";
                request.m_services = {"a"};
                request.m_objective = 1s;
                request.m_arrived = now;
                request.m_response_deadline = now + 10s;
                dispatches.emplace_back(request, fixture.m_context, now);
                chosen = std::get<send_attempt>(dispatches.back().start(now).at(0)).m_upstream;
            }
            else
            {
                chosen = choose_by_mean(upstreams, fixture.m_random);
                chosen->on_start(now);
            }
            sent.emplace_back(chosen, now);
            std::vector<time_point>& free = slots[chosen->entry().m_instance];
            const auto slot = std::min_element(free.begin(), free.end());
            const time_point begins = std::max(now, *slot);
            *slot = begins + (is_expensive ? 120ms : 5ms);
            replies.push({*slot, i});
            waited.push_back(std::chrono::duration<double, std::milli>(begins - now).count());
        }
        std::sort(waited.begin(), waited.end());
        double sum = 0.0;
        for (const double each : waited)
        {
            sum += each;
        }
        return {sum / requests, waited[requests * 99 / 100]};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(expected_completion_test);

} // namespace
