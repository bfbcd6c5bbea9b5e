#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "scripted_server.hpp"
#include "standin_store.hpp"
#include "started_reader.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;
using namespace teasellead::platform;
using namespace teasellead::platform::testing;
using namespace test_support;

const endpoint store_address = endpoint::parse("127.96.0.1:8361");

/// an answer of the store
struct store_answer
{
    std::string m_era;  ///< empty for an answer without the header
    std::string m_list; ///< `items` or `events`
    std::string m_key;  ///< of its only item
    std::uint64_t m_as_of;

    [[nodiscard]] std::string bytes() const
    {
        const std::string body = R"({")" + m_list + R"(":[{"key":")" + m_key +
                                 R"(","value":"e30=","revision":)" + std::to_string(m_as_of) +
                                 R"(}],"asOf":)" + std::to_string(m_as_of) + "}";
        return "HTTP/1.1 200 OK\r\n" + (m_era.empty() ? "" : "Store-Era: " + m_era + "\r\n") +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
};

class store_recovery_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_recovery_test);
    CPPUNIT_TEST(answers_of_another_epoch_lead_to_a_listing);
    CPPUNIT_TEST(store_that_went_back_is_listed_again);
    CPPUNIT_TEST(cut_watch_tells_of_no_earlier_outage);
    CPPUNIT_TEST(silent_watch_may_tell_of_an_earlier_outage);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against a watch that goes on in a history that the store doesn't have any more, and against a
    // listing from two histories
    void answers_of_another_epoch_lead_to_a_listing()
    {
        struct row
        {
            std::string m_name;
            std::vector<store_answer> m_answers;
            publication_position m_listed_to;
        };
        const store_answer operators{"1", "items", "op/config", 100};
        const store_answer upstreams{"1", "items", "servers/a", 100};
        const store_answer restored_operators{"2", "items", "op/config", 60};
        const store_answer restored_upstreams{"2", "items", "servers/a", 60};
        const std::vector<row> rows{
            {"watch of a newer epoch",
             {operators,
              upstreams,
              {"2", "events", "servers/lost", 101},
              restored_operators,
              restored_upstreams},
             {2, 60}},
            {"watch of a newer epoch that is behind",
             {operators,
              upstreams,
              {"2", "events", "servers/lost", 60},
              restored_operators,
              restored_upstreams},
             {2, 60}},
            {"return within a listing",
             {operators, restored_upstreams, restored_operators, restored_upstreams},
             {2, 60}},
            {"older listing",
             {restored_operators,
              restored_upstreams,
              {"1", "events", "servers/lost", 101},
              operators,
              {"2", "items", "op/config", 61},
              {"2", "items", "servers/a", 61}},
             {2, 61}},
            {"behind in the same epoch",
             {operators,
              upstreams,
              {"1", "events", "servers/lost", 90},
              {"1", "items", "op/config", 90},
              {"1", "items", "op/config", 110},
              {"1", "items", "servers/a", 110}},
             {1, 110}},
            {"no epoch, then one",
             {{"", "items", "op/config", 100},
              {"", "items", "servers/a", 100},
              {"1", "events", "servers/lost", 60},
              {"1", "items", "op/config", 60},
              {"1", "items", "servers/a", 60}},
             {1, 60}},
        };
        for (const row& each : rows)
        {
            const auto next = std::make_shared<std::size_t>(0);
            scripted_server store{m_thread, store_address,
                                  [&each, next](const std::string&)
                                  {
                                      const std::size_t number = (*next)++;
                                      return number < each.m_answers.size()
                                                 ? scripted_answer{each.m_answers[number].bytes()}
                                                 : scripted_answer{"", true};
                                  }};
            started_reader reader{store_address};
            CPPUNIT_ASSERT_MESSAGE(each.m_name, reader.sink().is_listed_to(each.m_listed_to));
            CPPUNIT_ASSERT_MESSAGE(each.m_name, reader.sink().changed_keys().empty());
        }
    }

    void store_that_went_back_is_listed_again()
    {
        for (const int later_changes : {0, 1, 5})
        {
            standin_store store{m_thread, store_address};
            store.put("servers/a", "{}");
            const standin_store::backup earlier = store.back_up();
            store.put("servers/lost", "{}");
            store.put("servers/lost", "{\"state\":\"ready\"}");
            started_reader reader{store_address};
            CPPUNIT_ASSERT(reader.sink().is_listed_to({1, 13}));
            store.set_mode(store_mode::silent);
            store.restore(earlier);
            for (int change = 0; change < later_changes; ++change)
            {
                store.put("servers/later", "{\"state\":\"" + std::to_string(change) + "\"}");
            }
            store.set_mode(store_mode::up);
            const std::uint64_t revision = 11 + static_cast<std::uint64_t>(later_changes);
            CPPUNIT_ASSERT(reader.sink().is_listed_to({2, revision}));
            CPPUNIT_ASSERT(reader.sink().changed_keys().empty());
        }
    }

    // guards against removed upstreams that are kept since a watch that was cut counts as an outage
    void cut_watch_tells_of_no_earlier_outage()
    {
        auto store = std::make_unique<standin_store>(m_thread, store_address);
        started_reader reader{store_address};
        CPPUNIT_ASSERT(reader.sink().wait_for_listing(enough));
        std::this_thread::sleep_for(100ms);
        const time_point cut_at = m_clock.now();
        store.reset();
        const std::optional<time_point> since = reader.sink().wait_for_loss();
        CPPUNIT_ASSERT(since && *since >= cut_at);
    }

    void silent_watch_may_tell_of_an_earlier_outage()
    {
        standin_store store{m_thread, store_address};
        started_reader reader{store_address};
        CPPUNIT_ASSERT(reader.sink().wait_for_listing(enough));
        store.set_mode(store_mode::silent);
        const time_point silent_at = m_clock.now();
        const std::optional<time_point> since = reader.sink().wait_for_loss();
        CPPUNIT_ASSERT(since && *since <= silent_at + 50ms);
        CPPUNIT_ASSERT(m_clock.now() >= silent_at + 700ms);
    }

  private:
    system_monotonic_clock m_clock;
    runtime::loop_thread m_thread;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_recovery_test);

} // namespace
