#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "demo_fleet.hpp"

namespace
{

using namespace test_support;

constexpr unsigned net = 31;

class search_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(search_test);
    CPPUNIT_TEST(merges_all_shards_through_both_nodes);
    CPPUNIT_TEST(reports_correct_coverage_after_a_replica_was_killed);
    CPPUNIT_TEST(marks_the_answer_partial_without_replicas);
    CPPUNIT_TEST(refuses_bad_requests_as_not_run);
    CPPUNIT_TEST(treats_invalid_replies_as_missing);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        m_fleet = start_demo_fleet(net);
    }

    void tearDown() override
    {
        m_fleet.reset();
    }

    void merges_all_shards_through_both_nodes()
    {
        for (const unsigned node : {1U, 2U})
        {
            const auto answer =
                m_fleet->call_until(node, "/search", coach_key, is_complete, R"({"day":"today"})");
            CPPUNIT_ASSERT_EQUAL(std::string{"ran"}, answer.m_body.at("verdict").get<std::string>());
            CPPUNIT_ASSERT_EQUAL(1, answer.m_body.at("snapshot").get<int>());
            CPPUNIT_ASSERT_EQUAL(1.0, answer.m_body.at("coverage").at("fraction").get<double>());
            const auto& results = answer.m_body.at("results");
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, results.size());
            const bool is_sorted = std::is_sorted(
                results.begin(), results.end(),
                [](const auto& lhs, const auto& rhs)
                { return lhs.at("score").template get<double>() > rhs.at("score").template get<double>(); });
            CPPUNIT_ASSERT(is_sorted);
        }
    }

    void reports_correct_coverage_after_a_replica_was_killed()
    {
        m_fleet->process("north").signal(SIGKILL);
        (void)m_fleet->process("north").wait();
        const auto answer = m_fleet->call_until(1, "/search", coach_key,
                                                [](const caller_answer& current)
                                                {
                                                    check_coverage(current);
                                                    return is_complete(current);
                                                });
        for (const auto& result : answer.m_body.at("results"))
        {
            const auto upstream = result.at("upstream").get<std::string>();
            CPPUNIT_ASSERT_MESSAGE(upstream, upstream.starts_with(m_fleet->resolve("NET.2.1:")));
        }
    }

    void marks_the_answer_partial_without_replicas()
    {
        for (const char* const name : {"north", "south"})
        {
            m_fleet->process(name).signal(SIGKILL);
            (void)m_fleet->process(name).wait();
        }
        const auto answer = m_fleet->call(1, "/search", coach_key);
        check_coverage(answer);
        CPPUNIT_ASSERT(answer.m_body.at("partial").get<bool>());
        CPPUNIT_ASSERT_EQUAL(0.0, answer.m_body.at("coverage").at("fraction").get<double>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, answer.m_body.at("coverage").at("missing").size());
    }

    void refuses_bad_requests_as_not_run()
    {
        struct row
        {
            const char* m_path;
            const char* m_key;
            std::string m_body;
            unsigned m_status;
        };
        const row rows[] = {
            {"/search", "", "", 401},
            {"/search", "coach-1", "", 401},
            {"/search", "coach-1.wrong-sesame-for-the-demonstration", "", 401},
            {"/search", "nobody.open-sesame-for-the-demonstration", "", 401},
            {"/nowhere", coach_key, "", 404},
            {"/search", coach_key, "{\"day\":", 400},
            {"/search", coach_key, std::string(1'100'000, ' '), 413},
        };
        for (const row& current : rows)
        {
            const auto answer = m_fleet->call(1, current.m_path, current.m_key, current.m_body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(current.m_path, current.m_status, answer.m_status);
            CPPUNIT_ASSERT_EQUAL(std::string{"not_run"}, answer.m_body.at("verdict").get<std::string>());
        }
        CPPUNIT_ASSERT_EQUAL(200U, m_fleet->call(1, "/open", "").m_status);
    }

    void treats_invalid_replies_as_missing()
    {
        for (const char* const reply : {"wrong_id", "not_json", "oversized"})
        {
            for (const char* const address : {"1.1:9003", "2.1:9003"})
            {
                m_fleet->control_upstream(address, {{"reply", reply}});
            }
            const auto answer = m_fleet->call(1, "/search", coach_key);
            check_coverage(answer);
            CPPUNIT_ASSERT_MESSAGE(reply, answer.m_body.at("partial").get<bool>());
            CPPUNIT_ASSERT_EQUAL(0.5, answer.m_body.at("coverage").at("fraction").get<double>());
        }
    }

  private:
    /// the coverage must agree with the results: each shard has exactly one result
    static void check_coverage(const caller_answer& answer)
    {
        CPPUNIT_ASSERT_EQUAL(200U, answer.m_status);
        std::uint64_t answered = 0;
        for (const auto& result : answer.m_body.at("results"))
        {
            answered += result.at("service") == "lanes" ? 32768U : 65536U;
        }
        const auto& coverage = answer.m_body.at("coverage");
        CPPUNIT_ASSERT_EQUAL(answered, coverage.at("answered_keys").get<std::uint64_t>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{131072}, coverage.at("total_keys").get<std::uint64_t>());
    }

    std::unique_ptr<process_fleet> m_fleet;
};

CPPUNIT_TEST_SUITE_REGISTRATION(search_test);

} // namespace
