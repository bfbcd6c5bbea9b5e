#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "teasellead/runtime/connection_eviction.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::runtime;
using activity = connection_activity;

constexpr std::size_t mb = 1024 * 1024;

class connection_eviction_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_eviction_test);
    CPPUNIT_TEST(connection_that_occupies_most_memory_goes_first);
    CPPUNIT_TEST(connection_without_work_goes_first);
    CPPUNIT_TEST(limits_follow_from_the_process);
    CPPUNIT_TEST(charges_end_with_their_holders);
    CPPUNIT_TEST(requests_are_admitted_while_there_is_room);
    CPPUNIT_TEST_SUITE_END();

  public:
    void connection_that_occupies_most_memory_goes_first()
    {
        struct row
        {
            std::string m_name;
            std::vector<connection_load> m_connections;
            memory_use m_use;
            std::optional<std::size_t> m_expected;
        };
        const std::vector<row> rows{
            {"none", {}, memory_use::response, std::nullopt},
            {"a single one is served", {{activity::sending, 9 * mb, 9s}}, memory_use::response, std::nullopt},
            {"most bytes of the same age",
             {{activity::sending, 1, 1s}, {activity::sending, 2, 1s}},
             memory_use::response,
             1},
            {"oldest of the same size",
             {{activity::sending, mb, 3s}, {activity::sending, mb, 1s}},
             memory_use::response,
             0},
            {"few bytes for long against many that have just begun",
             {{activity::sending, mb, 8s}, {activity::sending, 4 * mb, 10ms}},
             memory_use::response,
             0},
            {"all have just begun",
             {{activity::sending, 1, 0s}, {activity::sending, 3, 0s}, {activity::sending, 2, 0s}},
             memory_use::response,
             1},
            {"other activities aren't looked at",
             {{activity::receiving, 9 * mb, 9s},
              {activity::sending, 1, 1s},
              {activity::sending, 2, 1s},
              {activity::handling, 9 * mb, 9s}},
             memory_use::response,
             2},
            {"requests: those that are received",
             {{activity::sending, 9 * mb, 9s},
              {activity::receiving, 1, 1s},
              {activity::receiving, 2, 1s},
              {activity::handling, 9 * mb, 9s}},
             memory_use::request,
             2},
            {"requests that are being handled stay",
             {{activity::handling, mb, 9s}, {activity::handling, mb, 9s}},
             memory_use::request,
             std::nullopt},
        };
        for (const row& each : rows)
        {
            CPPUNIT_ASSERT_MESSAGE(each.m_name,
                                   heaviest_connection(each.m_connections, each.m_use) == each.m_expected);
        }
    }

    void connection_without_work_goes_first()
    {
        struct row
        {
            std::string m_name;
            std::vector<connection_load> m_connections;
            std::optional<std::size_t> m_expected;
        };
        const std::vector<row> rows{
            {"none", {}, std::nullopt},
            {"only requests that are being handled", {{activity::handling, 1, 9s}}, std::nullopt},
            {"oldest idle", {{activity::idle, 0, 1s}, {activity::idle, 0, 2s}}, 1},
            {"idle before a part of a request", {{activity::receiving, 9, 9s}, {activity::idle, 0, 0s}}, 1},
            {"lingering before idle", {{activity::idle, 0, 9s}, {activity::lingering, 0, 0s}}, 1},
            {"a part of a request before a response",
             {{activity::sending, 9, 9s}, {activity::receiving, 0, 0s}},
             1},
            {"a response at last", {{activity::handling, 9, 9s}, {activity::sending, 0, 0s}}, 1},
        };
        for (const row& each : rows)
        {
            CPPUNIT_ASSERT_MESSAGE(each.m_name,
                                   most_dispensable_connection(each.m_connections) == each.m_expected);
        }
    }

    void limits_follow_from_the_process()
    {
        CPPUNIT_ASSERT((memory_limits::for_memory(160 * mb) == memory_limits{20 * mb, 30 * mb, 30 * mb}));
        struct row
        {
            std::size_t m_descriptors;
            std::size_t m_callers;
            std::size_t m_operators;
        };
        for (const row& each : {row{0, 4, 4}, row{200, 4, 4}, row{400, 100, 12}, row{4100, 1950, 243}})
        {
            CPPUNIT_ASSERT_EQUAL(each.m_callers, max_caller_connections(each.m_descriptors));
            CPPUNIT_ASSERT_EQUAL(each.m_operators, max_operator_connections(each.m_descriptors));
        }
    }

    void charges_end_with_their_holders()
    {
        const auto budget = std::make_shared<memory_budget>(memory_limits{10, 100, 10});
        {
            memory_charge first{budget, memory_use::reply};
            memory_charge second{budget, memory_use::reply};
            first.set(60);
            second.add(40);
            CPPUNIT_ASSERT(!first.is_exceeded());
            first.add(1);
            CPPUNIT_ASSERT(second.is_exceeded());
            CPPUNIT_ASSERT(!budget->is_exceeded(memory_use::response));
            first.set(0);
            second.set(100);
            CPPUNIT_ASSERT(!second.is_exceeded());
            CPPUNIT_ASSERT_EQUAL(std::size_t{100}, budget->used(memory_use::reply));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget->used(memory_use::reply));
    }

    void requests_are_admitted_while_there_is_room()
    {
        struct row
        {
            std::size_t m_requests;
            std::size_t m_replies;
            std::size_t m_responses;
            std::size_t m_own;
            bool m_is_admitted;
        };
        for (const row& each : {row{0, 0, 0, 0, true}, row{10, 50, 10, 0, true}, row{0, 51, 0, 0, false},
                                row{11, 0, 0, 0, false}, row{90, 0, 0, 85, true}, row{90, 0, 0, 10, false},
                                row{0, 0, 90, 0, true}})
        {
            memory_budget budget{{10, 100, 10}};
            budget.replace(memory_use::request, 0, each.m_requests);
            budget.replace(memory_use::reply, 0, each.m_replies);
            budget.replace(memory_use::response, 0, each.m_responses);
            CPPUNIT_ASSERT_EQUAL(each.m_is_admitted, budget.admits_request(each.m_own));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_eviction_test);

} // namespace
