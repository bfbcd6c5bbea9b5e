#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include "teasellead/fleet/codec.hpp"
#include "teasellead/fleet/publication_follower.hpp"
#include "teasellead/fleet/publication_log.hpp"

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;

constexpr time_point start{1h};
constexpr duration step = 50ms;
// how long the source holds a call while nothing changes
constexpr duration watch_time = 1200ms;

/// a position in the only epoch
publication_position at(std::uint64_t revision)
{
    return {1, revision};
}

published_item item_of(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return {key, value, revision};
}

endpoint address_of(std::size_t node)
{
    return endpoint{static_cast<std::uint32_t>(10 + node), 7000};
}

/// nodes of one data centre with a source that some of them can't reach; messages are delivered one step
/// later
class news_fleet
{
  public:
    explicit news_fleet(std::size_t nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i)
        {
            m_nodes.push_back(
                {publication_follower{address_of(i), follower_settings{}, i}, publication_log{}, {}, {}});
        }
        for (std::size_t i = 0; i < nodes; ++i)
        {
            std::vector<endpoint> others;
            for (std::size_t other = 0; other < nodes; ++other)
            {
                if (other != i)
                {
                    others.push_back(address_of(other));
                }
            }
            m_nodes[i].m_follower.on_members(others, {});
        }
    }

    void publish(const std::string& value)
    {
        ++m_revision;
        m_published = item_of("key", value, m_revision);
    }

    void cut_from_source(std::size_t node)
    {
        m_cut.insert(node);
    }

    void stop(std::size_t node)
    {
        m_stopped.insert(node);
    }

    /// stops the given number of nodes at the same time: those that rank first as readers, which the others
    /// send their requests to first
    void stop_first(std::size_t count)
    {
        std::vector<std::size_t> order(m_nodes.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        const auto comes_before = [](std::size_t lhs, std::size_t rhs)
        {
            return publication_follower::comes_before(address_of(lhs), address_of(rhs));
        };
        std::sort(order.begin(), order.end(), comes_before);
        m_stopped.insert(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count));
    }

    [[nodiscard]] time_point now() const noexcept
    {
        return m_now;
    }

    /// lets the source hold calls until something changes, so that a reader's items are up to two watches old
    void hold_calls() noexcept
    {
        m_holds_calls = true;
    }

    /// number of calls to the source so far
    [[nodiscard]] std::size_t reads() const noexcept
    {
        return m_reads;
    }

    void run(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += step)
        {
            deliver();
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
            {
                if (m_stopped.count(i) == 0)
                {
                    read_source(i);
                    post(i, m_nodes[i].m_follower.on_tick(m_nodes[i].m_log.as_of(), m_now));
                }
            }
        }
    }

    [[nodiscard]] std::size_t readers() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            count += m_stopped.count(i) == 0 && m_nodes[i].m_follower.reads_source(m_now) ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::size_t reader() const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            if (m_stopped.count(i) == 0 && m_nodes[i].m_follower.reads_source(m_now))
            {
                return i;
            }
        }
        return m_nodes.size();
    }

    [[nodiscard]] bool all_know(std::uint64_t revision) const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            if (m_stopped.count(i) == 0 && m_nodes[i].m_log.as_of() < at(revision))
            {
                return false;
            }
        }
        return true;
    }

    /// age of the oldest confirmation among the running nodes
    [[nodiscard]] duration oldest_proof() const
    {
        duration result{};
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
        {
            if (m_stopped.count(i) == 0)
            {
                result = std::max(result, m_now - m_nodes[i].m_proved_at);
            }
        }
        return result;
    }

    [[nodiscard]] std::uint64_t revision() const
    {
        return m_revision;
    }

  private:
    struct fleet_node
    {
        publication_follower m_follower;
        publication_log m_log;
        time_point m_next_read;
        time_point m_proved_at;
        bool m_is_watching{false};
        time_point m_watch_began{};
    };

    struct flying
    {
        endpoint m_sender;
        outgoing_message m_message;
    };

    void read_source(std::size_t index)
    {
        fleet_node& self = m_nodes[index];
        const bool is_first = !self.m_log.as_of().has_items();
        if (!is_first && !self.m_follower.reads_source(m_now))
        {
            self.m_is_watching = false;
            return;
        }
        if (m_holds_calls && !is_first)
        {
            watch_source(self);
            return;
        }
        if (m_now < self.m_next_read)
        {
            return;
        }
        self.m_next_read = m_now + 1s;
        ++m_reads;
        if (m_cut.count(index) > 0)
        {
            self.m_follower.on_source(false, m_now);
            return;
        }
        self.m_follower.on_source(true, m_now);
        self.m_log.on_listing({m_published}, at(m_revision));
        self.m_follower.on_confirmation({m_now, m_now});
        self.m_proved_at = m_now;
    }

    void watch_source(fleet_node& self)
    {
        if (!self.m_is_watching)
        {
            self.m_is_watching = true;
            self.m_watch_began = m_now;
            ++m_reads;
            return;
        }
        const bool has_change = self.m_log.as_of() < at(m_revision);
        if (has_change || m_now - self.m_watch_began >= watch_time)
        {
            self.m_log.on_changes({m_published}, at(m_revision));
            self.m_follower.on_confirmation({self.m_watch_began, has_change ? self.m_watch_began : m_now});
            self.m_proved_at = std::max(self.m_proved_at, self.m_watch_began);
            self.m_is_watching = false;
        }
    }

    void post(std::size_t sender, const std::vector<outgoing_message>& messages)
    {
        for (const outgoing_message& message : messages)
        {
            m_flying.push_back({address_of(sender), message});
        }
    }

    void deliver()
    {
        std::deque<flying> arrived;
        std::swap(arrived, m_flying);
        for (const flying& each : arrived)
        {
            const std::size_t receiver = each.m_message.m_receiver.address() - 10;
            if (m_stopped.count(receiver) > 0)
            {
                continue;
            }
            fleet_node& self = m_nodes[receiver];
            if (const auto* request = std::get_if<publication_request>(&each.m_message.m_content))
            {
                post(receiver, {self.m_follower.answer(each.m_sender, *request, self.m_log, 0ms, m_now)});
                continue;
            }
            const auto& reply = std::get<publication_reply>(each.m_message.m_content);
            const auto updates = self.m_follower.on_reply(each.m_sender, reply, self.m_log);
            if (updates && updates->m_confirmed_at)
            {
                CPPUNIT_ASSERT(*updates->m_confirmed_at <= m_now);
                self.m_proved_at = std::max(self.m_proved_at, *updates->m_confirmed_at);
            }
        }
    }

    std::vector<fleet_node> m_nodes;
    std::set<std::size_t> m_cut;
    std::set<std::size_t> m_stopped;
    std::deque<flying> m_flying;
    std::uint64_t m_revision{1};
    published_item m_published{"key", "first", 1};
    time_point m_now{start};
    std::size_t m_reads{0};
    bool m_holds_calls{false};
};

class publication_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publication_test);
    CPPUNIT_TEST(delta_brings_another_log_up_to_date);
    CPPUNIT_TEST(listing_reports_removed_items);
    CPPUNIT_TEST(older_updates_change_nothing);
    CPPUNIT_TEST(older_updates_are_reported);
    CPPUNIT_TEST(request_for_an_old_revision_gets_all_items);
    CPPUNIT_TEST(one_node_reads_and_all_receive_updates);
    CPPUNIT_TEST(lost_reader_is_replaced_before_confirmations_expire);
    CPPUNIT_TEST(confirmations_stay_recent_when_readers_are_lost_together);
    CPPUNIT_TEST(calls_to_the_source_do_not_grow_with_the_nodes);
    CPPUNIT_TEST(changes_arrive_in_time_when_readers_are_lost_together);
    CPPUNIT_TEST(reader_without_source_requests_from_peers);
    CPPUNIT_TEST(confirmations_age_without_the_source);
    CPPUNIT_TEST(round_trips_messages);
    CPPUNIT_TEST_SUITE_END();

  public:
    void delta_brings_another_log_up_to_date()
    {
        publication_log first;
        publication_log second;
        first.on_listing({item_of("a", "1", 3), item_of("b", "1", 4)}, at(5));
        second.on_listing({item_of("a", "1", 3), item_of("b", "1", 4)}, at(5));
        first.on_changes({item_of("a", "2", 6), {"b", std::nullopt, 7}, item_of("c", "1", 8)}, at(8));
        const publication_delta delta = first.since(second.as_of());
        CPPUNIT_ASSERT(!delta.m_is_full);
        const auto updates = second.on_changes(delta.m_items, delta.m_as_of);
        const std::vector<published_item> expected{
            item_of("a", "2", 6), {"b", std::nullopt, 7}, item_of("c", "1", 8)};
        CPPUNIT_ASSERT(updates == expected);
        CPPUNIT_ASSERT(second.as_of() == at(8));
        CPPUNIT_ASSERT(first.since(at(8)).m_items.empty());
    }

    void listing_reports_removed_items()
    {
        publication_log log;
        log.on_listing({item_of("a", "1", 3), item_of("b", "1", 4)}, at(5));
        const auto updates = log.on_listing({item_of("b", "1", 4)}, at(9));
        CPPUNIT_ASSERT((updates == std::vector<published_item>{{"a", std::nullopt, 9}}));
        // a late event from before the removal doesn't restore the removed item
        CPPUNIT_ASSERT(log.on_changes({item_of("a", "1", 6)}, at(9)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.size());
    }

    void older_updates_change_nothing()
    {
        publication_log log;
        log.on_listing({item_of("a", "2", 6)}, at(8));
        CPPUNIT_ASSERT(log.on_listing({item_of("a", "1", 3)}, at(5)).empty());
        CPPUNIT_ASSERT(log.on_changes({item_of("a", "1", 3)}, at(5)).empty());
        CPPUNIT_ASSERT(log.as_of() == at(8));
    }

    // guards against updates that a node passes over without a trace: nothing told why it used an upstream
    void older_updates_are_reported()
    {
        publication_log log;
        log.on_listing({item_of("a", "2", 6), item_of("b", "1", 2)}, at(8));
        log.on_changes({item_of("a", "2", 6), item_of("b", "1", 2)}, at(8));
        CPPUNIT_ASSERT(log.take_outdated().is_empty());
        log.on_changes({item_of("a", "1", 3), item_of("b", "0", 1), item_of("a", "3", 6)}, at(8));
        CPPUNIT_ASSERT((log.take_outdated() == outdated_publications{3, 0, "a", at(3), at(6)}));
        log.on_listing({item_of("a", "1", 3)}, at(5));
        CPPUNIT_ASSERT((log.take_outdated() == outdated_publications{0, 1, {}, at(5), at(8)}));
        CPPUNIT_ASSERT(log.take_outdated().is_empty());
    }

    void request_for_an_old_revision_gets_all_items()
    {
        publication_log log;
        log.on_listing({item_of("a", "1", 1)}, at(1));
        for (std::uint64_t revision = 2; revision < 3000; ++revision)
        {
            log.on_changes({item_of("b", std::to_string(revision), revision)}, at(revision));
        }
        CPPUNIT_ASSERT(log.since(at(10)).m_is_full);
        // the requesting node has the item that hasn't changed since its revision
        CPPUNIT_ASSERT((log.since(at(10)).m_items == std::vector{item_of("b", "2999", 2999)}));
        CPPUNIT_ASSERT((log.since(at(10)).m_unchanged == std::vector<std::string>{"a"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.since({}).m_items.size());
        CPPUNIT_ASSERT(log.since({}).m_unchanged.empty());
        CPPUNIT_ASSERT(!log.since(at(2990)).m_is_full);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.since(at(2990)).m_items.size());
    }

    void one_node_reads_and_all_receive_updates()
    {
        news_fleet fleet{16};
        fleet.run(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.readers());
        fleet.publish("second");
        fleet.run(2s);
        CPPUNIT_ASSERT(fleet.all_know(fleet.revision()));
        for (int second = 0; second < 30; ++second)
        {
            fleet.run(1s);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.readers());
            CPPUNIT_ASSERT(fleet.oldest_proof() < 3s);
        }
    }

    void lost_reader_is_replaced_before_confirmations_expire()
    {
        news_fleet fleet{16};
        fleet.run(5s);
        fleet.stop(fleet.reader());
        for (int second = 0; second < 20; ++second)
        {
            fleet.run(1s);
            CPPUNIT_ASSERT(fleet.oldest_proof() < 4700ms);
        }
        fleet.publish("second");
        fleet.run(6s);
        CPPUNIT_ASSERT(fleet.all_know(fleet.revision()));
    }

    // guards against followers that request updates from each other while none of them has any
    void confirmations_stay_recent_when_readers_are_lost_together()
    {
        for (const std::size_t nodes : {2U, 3U, 5U, 16U, 49U})
        {
            for (std::size_t lost = 1; lost<nodes; lost += nodes> 16 ? 5 : 1)
            {
                for (const duration offset : {0ms, 300ms, 600ms, 900ms})
                {
                    news_fleet fleet{nodes};
                    fleet.run(5s + offset);
                    const std::size_t reads_before = fleet.reads();
                    fleet.stop_first(lost);
                    const std::string name = std::to_string(lost) + " of " + std::to_string(nodes) + " lost";
                    for (const time_point end = fleet.now() + 12s; fleet.now() < end;)
                    {
                        fleet.run(step);
                        const auto oldest =
                            std::chrono::duration_cast<std::chrono::milliseconds>(fleet.oldest_proof());
                        CPPUNIT_ASSERT_MESSAGE(name + ": " + std::to_string(oldest.count()) + " ms",
                                               oldest <= 3s);
                    }
                    CPPUNIT_ASSERT_MESSAGE(name + ": " + std::to_string(fleet.reads() - reads_before) +
                                               " reads",
                                           fleet.reads() - reads_before <= most_reads(nodes - lost, lost));
                }
            }
        }
    }

    // guards against followers that replace a healthy reader, because a held watch makes its items look old
    void calls_to_the_source_do_not_grow_with_the_nodes()
    {
        constexpr std::size_t watches = 50;
        for (const std::size_t nodes : {2U, 7U, 30U, 88U, 300U})
        {
            news_fleet fleet{nodes};
            fleet.hold_calls();
            fleet.run(5s);
            const std::size_t reads_before = fleet.reads();
            fleet.run(watches * watch_time);
            const std::size_t reads = fleet.reads() - reads_before;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(nodes) + " nodes: " + std::to_string(reads) + " reads",
                                   reads <= watches + 1);
        }
    }

    // a change that is published while readers are lost must reach every node within 3 s
    void changes_arrive_in_time_when_readers_are_lost_together()
    {
        for (const std::size_t nodes : {2U, 3U, 5U, 16U, 49U, 88U})
        {
            for (std::size_t lost = 1; lost<nodes; lost += nodes> 16 ? 6 : 1)
            {
                for (const duration offset : {0ms, 300ms, 600ms, 900ms})
                {
                    news_fleet fleet{nodes};
                    fleet.hold_calls();
                    fleet.run(5s + offset);
                    fleet.stop_first(lost);
                    fleet.publish("second");
                    fleet.run(3s);
                    CPPUNIT_ASSERT_MESSAGE(std::to_string(lost) + " of " + std::to_string(nodes) + " lost",
                                           fleet.all_know(fleet.revision()));
                }
            }
        }
    }

    void reader_without_source_requests_from_peers()
    {
        news_fleet fleet{4};
        fleet.run(5s);
        fleet.cut_from_source(fleet.reader());
        for (int second = 0; second < 20; ++second)
        {
            fleet.run(1s);
            CPPUNIT_ASSERT(fleet.oldest_proof() < 4700ms);
        }
    }

    void confirmations_age_without_the_source()
    {
        news_fleet fleet{4};
        fleet.run(5s);
        for (std::size_t node = 0; node < 4; ++node)
        {
            fleet.cut_from_source(node);
        }
        fleet.run(10s);
        // relaying a confirmation doesn't reduce its age
        CPPUNIT_ASSERT(fleet.oldest_proof() >= 9s);
    }

    void round_trips_messages()
    {
        const std::vector<peer_content> contents{
            publication_request{3, {2, 4}},
            publication_request{3, {0, 4}},
            publication_request{3, {0, 4}, false},
            publication_reply{3,
                              {2, 9},
                              true,
                              {item_of("a", std::string("\0\xff", 2), 7), {"b", std::nullopt, 8}},
                              120ms,
                              20ms,
                              5ms,
                              true,
                              {"c", "d"}},
            publication_reply{3, {0, 9}, false, {}, std::nullopt, std::nullopt, 0ms, false, {}},
            token_request{1, "school", 4},
            token_grant{1, "school", 0, 250ms},
            token_grant{1, "school", 0, 250ms, address_of(2)},
            bucket_request{7, "school"},
            bucket_reply{7, "school", true, 2.5, std::nullopt, true},
            bucket_reply{7, "school", false, 0.0, address_of(3), false},
            roster_notice{{{address_of(1), 5, 6, true, "north", 750ms}}, true},
        };
        for (const peer_content& content : contents)
        {
            const peer_message message{address_of(0), 42, content};
            CPPUNIT_ASSERT(decode(encode(message)) == message);
        }
    }

  private:
    /// upper bound of the calls to the source in the twelve seconds after some nodes are lost
    static std::size_t most_reads(std::size_t left, std::size_t lost)
    {
        constexpr std::size_t seconds = 12;
        constexpr std::size_t max_seconds_without_reader = 6; // each node makes one call per second in them
        // trying this many lost nodes in order takes less time than the maximum age of a confirmation
        constexpr std::size_t max_lost_tried_in_time = 3;
        return lost <= max_lost_tried_in_time ? seconds + max_seconds_without_reader * left
                                              : (seconds + 1) * left;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(publication_test);

} // namespace
