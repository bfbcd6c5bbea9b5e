#include <cppunit/extensions/HelperMacros.h>

#include <variant>

#include "search_fixture.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::testing;
using std::chrono::milliseconds;

constexpr milliseconds usual{5};
constexpr milliseconds past_threshold{25};

std::size_t sent_of_kind(const std::vector<gather_action>& actions, attempt_kind kind)
{
    std::size_t count = 0;
    for (const gather_action& action : actions)
    {
        const auto* const sent = std::get_if<send_attempt>(&action);
        count += sent != nullptr && sent->kind() == kind ? 1 : 0;
    }
    return count;
}

class gather_extra_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(gather_extra_test);
    CPPUNIT_TEST(hedge_a_slow_first_attempt_once);
    CPPUNIT_TEST(hedge_a_slow_attempt_after_a_refused_one);
    CPPUNIT_TEST(charge_the_budget_only_for_sent_attempts);
    CPPUNIT_TEST(hedge_as_soon_as_another_replica_has_capacity);
    CPPUNIT_TEST(charge_a_retry_only_if_the_failed_attempt_caused_load);
    CPPUNIT_TEST(send_nothing_more_to_a_data_centre_out_of_service);
    CPPUNIT_TEST_SUITE_END();

  public:
    void hedge_a_slow_first_attempt_once()
    {
        search_fixture search{{.m_shards = 1}};
        search.learn(usual);
        (void)search.m_gather.start(search.current(), search.m_start);
        const auto hedges = search.m_gather.on_timer(search.current(), search.m_start + past_threshold);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent_of_kind(hedges, attempt_kind::hedge));
        const auto further =
            search.m_gather.on_timer(search.current(), search.m_start + 2 * past_threshold - milliseconds{1});
        CPPUNIT_ASSERT(further.empty());
        const auto answered = search.m_gather.on_reply(1, search.reply_for(0), search.current(),
                                                       search.m_start + past_threshold + usual);
        CPPUNIT_ASSERT(answered == std::vector<gather_action>{cancel_attempt{0}});
        CPPUNIT_ASSERT_EQUAL(0U, search.in_flight());
    }

    void hedge_a_slow_attempt_after_a_refused_one()
    {
        search_fixture search{{.m_shards = 1}};
        search.learn(usual);
        (void)search.m_gather.start(search.current(), search.m_start);
        const auto retried =
            search.m_gather.on_failure(0, attempt_failure::wrong_snapshot, search.current(), search.m_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent_of_kind(retried, attempt_kind::retry));
        const auto hedges = search.m_gather.on_timer(search.current(), search.m_start + past_threshold);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent_of_kind(hedges, attempt_kind::hedge));
    }

    void hedge_as_soon_as_another_replica_has_capacity()
    {
        // the other replica has no free slot when the hedge is due; a cold replica whose owner grants a
        // lease for a request is the same case
        const topology_parameters parameters{.m_shards = 1, .m_replicas = 2, .m_limits = {1, 64, 1}};
        search_fixture search{parameters};
        search.learn(usual);
        (void)search.m_gather.start(search.current(), search.m_start);
        gather other{"r", search.m_plan, gather_context{search.m_table, search.m_hedging, search.m_random},
                     search.m_start + search.time_limit};
        (void)other.start(search.current(), search.m_start);
        const time_point due = search.m_start + past_threshold;
        CPPUNIT_ASSERT(search.m_gather.on_timer(search.current(), due).empty());
        const time_point again = search.m_gather.next_wakeup();
        CPPUNIT_ASSERT(again <= due + milliseconds{1});
        const upstream_reply own = search.reply_for(0);
        const upstream_reply reply{"r",
                                   own.service(),
                                   own.shard(),
                                   own.shard_map(),
                                   own.snapshot(),
                                   own.incarnation(),
                                   own.covered_keys(),
                                   own.body()};
        (void)other.on_reply(0, reply, search.current(), again);
        const auto hedges = search.m_gather.on_timer(search.current(), again);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent_of_kind(hedges, attempt_kind::hedge));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, search.m_hedging.spent());
    }

    void charge_the_budget_only_for_sent_attempts()
    {
        // each of the two replicas has one slot; another search occupies the slot of the other one
        const topology_parameters parameters{.m_shards = 1, .m_replicas = 2, .m_limits = {1, 64, 1}};
        search_fixture search{parameters};
        search.learn(usual);
        (void)search.m_gather.start(search.current(), search.m_start);
        gather other{"r", search.m_plan, gather_context{search.m_table, search.m_hedging, search.m_random},
                     search.m_start + search.time_limit};
        (void)other.start(search.current(), search.m_start);
        const auto hedges = search.m_gather.on_timer(search.current(), search.m_start + past_threshold);
        CPPUNIT_ASSERT(hedges.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, search.m_hedging.spent());
    }

    void charge_a_retry_only_if_the_failed_attempt_caused_load()
    {
        struct parameters
        {
            attempt_failure m_failure;
            std::uint64_t m_spent;
        };
        const std::vector<parameters> table{
            {attempt_failure::not_connected, 0},  {attempt_failure::lost, 1},
            {attempt_failure::shed, 1},           {attempt_failure::draining, 0},
            {attempt_failure::wrong_snapshot, 0}, {attempt_failure::invalid_reply, 1},
            {attempt_failure::timed_out, 1}};
        for (const parameters& row : table)
        {
            search_fixture search{{.m_shards = 1}};
            (void)search.m_gather.start(search.current(), search.m_start);
            const auto actions =
                search.m_gather.on_failure(0, row.m_failure, search.current(), search.m_start + usual);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent_of_kind(actions, attempt_kind::retry));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string{to_string(row.m_failure)}, row.m_spent,
                                         search.m_hedging.spent());
        }
    }
    void send_nothing_more_to_a_data_centre_out_of_service()
    {
        // the first attempt goes to "a", the only other replica is in "b"
        topology_parameters parameters{.m_shards = 1, .m_replicas = 2, .m_data_centres = {"a", "b"}};
        const auto before = make_revision(1, parameters);
        parameters.m_taken_out = {"b"};
        const auto after = make_revision(2, parameters);
        for (const bool is_out : {false, true})
        {
            const configuration& current = (is_out ? after : before)->configuration();
            const std::size_t expected = is_out ? 0 : 1;
            search_fixture retried{parameters};
            (void)retried.m_gather.start(before->configuration(), retried.m_start);
            const auto retries =
                retried.m_gather.on_failure(0, attempt_failure::draining, current, retried.m_start);
            CPPUNIT_ASSERT_EQUAL(expected, sent_of_kind(retries, attempt_kind::retry));
            search_fixture hedged{parameters};
            hedged.learn(usual);
            (void)hedged.m_gather.start(before->configuration(), hedged.m_start);
            const auto hedges = hedged.m_gather.on_timer(current, hedged.m_start + past_threshold);
            CPPUNIT_ASSERT_EQUAL(expected, sent_of_kind(hedges, attempt_kind::hedge));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gather_extra_test);

} // namespace
