#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

#include "booking_topology.hpp"
#include "teasellead/routing/quarantine.hpp"

namespace
{

using namespace teasellead;
using namespace std::chrono_literals;
using booking_topology::upstream;

const time_point start = time_point{} + 1h;
constexpr quarantine_settings large_capacity{60s, 30s, 100, 100};
constexpr shard_key first_shard{1};
constexpr shard_key second_shard{2};

bool is_refused(quarantine& under_test, const std::string& fingerprint, time_point now = start)
{
    return std::holds_alternative<request_quarantined>(under_test.check(fingerprint, now));
}

/// an upstream is lost while it runs some requests; the driver then ends the attempts
void lose_upstream(quarantine& under_test, const endpoint& lost, const std::vector<std::string>& fingerprints,
                   time_point now = start)
{
    for (const std::string& fingerprint : fingerprints)
    {
        under_test.on_attempt_started(lost, first_shard, fingerprint);
    }
    for (const std::string& fingerprint : fingerprints)
    {
        // each broken connection reports the same loss
        under_test.on_upstream_lost(lost, now);
        under_test.on_attempt_ended(lost, first_shard, fingerprint, attempt_end::other, now);
    }
}

/// an upstream replies to a request
void reply(quarantine& under_test, const endpoint& replying, shard_key shard, const std::string& fingerprint,
           time_point now = start)
{
    under_test.on_attempt_started(replying, shard, fingerprint);
    under_test.on_attempt_ended(replying, shard, fingerprint, attempt_end::replied, now);
}

class quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quarantine_test);
    CPPUNIT_TEST(refuses_after_the_second_lost_upstream);
    CPPUNIT_TEST(one_loss_counts_once);
    CPPUNIT_TEST(only_a_repeat_is_refused);
    CPPUNIT_TEST(clears_other_requests_lost_with_a_refused_one);
    CPPUNIT_TEST(suspects_no_other_request_once_one_is_refused);
    CPPUNIT_TEST(refuses_all_indistinguishable_repeats);
    CPPUNIT_TEST(a_reply_of_the_same_shard_withdraws_a_suspicion);
    CPPUNIT_TEST(ended_attempts_arent_suspected);
    CPPUNIT_TEST(refuses_for_a_bounded_time_and_stays_suspicious);
    CPPUNIT_TEST(many_suspicions_evict_no_refusal);
    CPPUNIT_TEST(memory_is_bounded);
    CPPUNIT_TEST(exchanges_reports_with_peers);
    CPPUNIT_TEST(concurrent_reports_of_one_loss_dont_add_up);
    CPPUNIT_TEST(a_repeated_report_doesnt_hide_a_repeat);
    CPPUNIT_TEST(a_peer_cant_refuse_for_longer_than_the_term);
    CPPUNIT_TEST(finds_each_crashing_request_among_threads);
    CPPUNIT_TEST_SUITE_END();

  public:
    void refuses_after_the_second_lost_upstream()
    {
        quarantine under_test{large_capacity};
        CPPUNIT_ASSERT(!is_refused(under_test, "f"));
        lose_upstream(under_test, upstream(1), {"f"});
        CPPUNIT_ASSERT(!is_refused(under_test, "f"));
        lose_upstream(under_test, upstream(2), {"f"});
        const auto outcome = under_test.check("f", start + 10s);
        CPPUNIT_ASSERT((std::get<request_quarantined>(outcome) == request_quarantined{2, 20s}));
        CPPUNIT_ASSERT(!is_refused(under_test, "g"));
    }

    void one_loss_counts_once()
    {
        quarantine under_test{large_capacity};
        lose_upstream(under_test, upstream(1), {"f", "f", "g", "f"});
        CPPUNIT_ASSERT(!is_refused(under_test, "f"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, under_test.suspicions());
        under_test.on_upstream_lost(upstream(1), start);
        under_test.on_upstream_lost(upstream(9), start);
        CPPUNIT_ASSERT(!is_refused(under_test, "f"));
    }

    void only_a_repeat_is_refused()
    {
        // one search has attempts at many upstreams; a whole rack is lost
        quarantine under_test{large_capacity};
        for (std::uint32_t position = 0; position < 5; ++position)
        {
            under_test.on_attempt_started(upstream(position), first_shard, "f");
        }
        for (std::uint32_t position = 0; position < 5; ++position)
        {
            under_test.on_upstream_lost(upstream(position), start);
            CPPUNIT_ASSERT(!is_refused(under_test, "f"));
        }
        lose_upstream(under_test, upstream(7), {"f"});
        CPPUNIT_ASSERT(is_refused(under_test, "f"));
    }

    void clears_other_requests_lost_with_a_refused_one()
    {
        quarantine under_test{large_capacity};
        lose_upstream(under_test, upstream(1), {"f", "g"});
        lose_upstream(under_test, upstream(2), {"h", "f"});
        CPPUNIT_ASSERT(is_refused(under_test, "f"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, under_test.suspicions());
        for (const char* const other : {"g", "h"})
        {
            lose_upstream(under_test, upstream(3), {other});
            CPPUNIT_ASSERT(!is_refused(under_test, other));
        }
        // a loss that the refused request doesn't explain still counts
        lose_upstream(under_test, upstream(4), {"g"});
        CPPUNIT_ASSERT(is_refused(under_test, "g"));
    }

    void suspects_no_other_request_once_one_is_refused()
    {
        quarantine under_test{large_capacity};
        under_test.on_attempt_started(upstream(5), first_shard, "f");
        under_test.on_attempt_started(upstream(5), second_shard, "f");
        under_test.on_attempt_started(upstream(5), first_shard, "g");
        lose_upstream(under_test, upstream(1), {"f"});
        lose_upstream(under_test, upstream(2), {"f"});
        under_test.on_upstream_lost(upstream(5), start + 10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, under_test.suspicions());
        const auto outcome = under_test.check("f", start + 10s);
        CPPUNIT_ASSERT((std::get<request_quarantined>(outcome) == request_quarantined{3, 30s}));
    }

    void refuses_all_indistinguishable_repeats()
    {
        quarantine under_test{large_capacity};
        lose_upstream(under_test, upstream(1), {"f", "g"});
        lose_upstream(under_test, upstream(2), {"g", "f", "h"});
        CPPUNIT_ASSERT(is_refused(under_test, "f"));
        CPPUNIT_ASSERT(is_refused(under_test, "g"));
        CPPUNIT_ASSERT(!is_refused(under_test, "h"));
        // a reply to one of the two requests clears it, so that the other is the only suspect
        reply(under_test, upstream(3), first_shard, "g", start + 30s);
        lose_upstream(under_test, upstream(4), {"f", "g"}, start + 31s);
        CPPUNIT_ASSERT(is_refused(under_test, "f", start + 31s));
        CPPUNIT_ASSERT(!is_refused(under_test, "g", start + 31s));
    }

    void a_reply_of_the_same_shard_withdraws_a_suspicion()
    {
        struct row
        {
            shard_key m_shard;
            bool m_refused;
        };
        for (const row& each : {row{first_shard, false}, row{second_shard, true}})
        {
            quarantine under_test{large_capacity};
            lose_upstream(under_test, upstream(1), {"f"});
            reply(under_test, upstream(2), each.m_shard, "f");
            lose_upstream(under_test, upstream(3), {"f"});
            CPPUNIT_ASSERT_EQUAL(each.m_refused, is_refused(under_test, "f"));
        }
    }

    void ended_attempts_arent_suspected()
    {
        for (const attempt_end end : {attempt_end::replied, attempt_end::other})
        {
            quarantine under_test{large_capacity};
            under_test.on_attempt_started(upstream(1), first_shard, "f");
            under_test.on_attempt_ended(upstream(1), first_shard, "f", end, start);
            under_test.on_upstream_lost(upstream(1), start);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, under_test.suspicions());
        }
    }

    void refuses_for_a_bounded_time_and_stays_suspicious()
    {
        quarantine under_test{large_capacity};
        lose_upstream(under_test, upstream(1), {"f"});
        lose_upstream(under_test, upstream(2), {"f"});
        CPPUNIT_ASSERT(is_refused(under_test, "f", start + 30s - 1ms));
        CPPUNIT_ASSERT(!is_refused(under_test, "f", start + 30s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, under_test.suspicions());
        lose_upstream(under_test, upstream(3), {"g", "f"}, start + 31s);
        CPPUNIT_ASSERT(is_refused(under_test, "f", start + 31s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, under_test.suspicions());
        // a reply ends the suspicion that follows a refusal
        CPPUNIT_ASSERT(!is_refused(under_test, "f", start + 62s));
        reply(under_test, upstream(1), first_shard, "f", start + 62s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, under_test.suspicions());
        // a suspicion also ends when its term expires
        quarantine other{large_capacity};
        lose_upstream(other, upstream(1), {"f"});
        CPPUNIT_ASSERT(!is_refused(other, "f", start + 60s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, other.suspicions());
    }

    void many_suspicions_evict_no_refusal()
    {
        quarantine under_test{quarantine_settings{60s, 30s, 10, 10}};
        lose_upstream(under_test, upstream(1), {"f"});
        lose_upstream(under_test, upstream(2), {"f"});
        for (int count = 0; count < 1000; ++count)
        {
            lose_upstream(under_test, upstream(3), {"other " + std::to_string(count)});
            under_test.on_peer_report(quarantine_report{"told " + std::to_string(count), 1, 60s}, start);
        }
        CPPUNIT_ASSERT(is_refused(under_test, "f"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, under_test.suspicions());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, under_test.refusals());
    }

    void memory_is_bounded()
    {
        quarantine under_test{quarantine_settings{60s, 30s, 10, 5}};
        for (int count = 0; count < 100; ++count)
        {
            const std::string fingerprint = std::to_string(count);
            const time_point now = start + std::chrono::milliseconds{count};
            lose_upstream(under_test, upstream(1), {fingerprint}, now);
            lose_upstream(under_test, upstream(2), {fingerprint}, now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, under_test.refusals());
        // the refusals with the earliest expiry are evicted
        for (int count = 0; count < 100; ++count)
        {
            CPPUNIT_ASSERT_EQUAL(count >= 95, is_refused(under_test, std::to_string(count), start + 1s));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, under_test.take_reports().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, under_test.take_reports().size());
    }

    void exchanges_reports_with_peers()
    {
        quarantine first{large_capacity};
        quarantine second{large_capacity};
        quarantine third{large_capacity};
        const auto send_reports = [](quarantine& from, quarantine& to)
        {
            for (const quarantine_report& report : from.take_reports())
            {
                to.on_peer_report(report, start);
            }
        };
        lose_upstream(first, upstream(1), {"f", "g"});
        send_reports(first, second);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second.suspicions());
        // the caller retries at another host, which has the first host's report, so that one more loss
        // suffices
        lose_upstream(second, upstream(2), {"f"});
        CPPUNIT_ASSERT(is_refused(second, "f"));
        send_reports(second, first);
        CPPUNIT_ASSERT(is_refused(first, "f"));
        // the first host has recorded which requests were lost together and withdraws its suspicion of "g"
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, first.suspicions());
        send_reports(first, second);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, second.suspicions());
        // reports received from peers aren't sent again, but a starting host receives all reports
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, second.take_reports().size());
        for (const quarantine_report& report : first.all_reports(start + 10s))
        {
            third.on_peer_report(report, start + 10s);
        }
        CPPUNIT_ASSERT(is_refused(third, "f", start + 30s - 1ms));
        CPPUNIT_ASSERT(!is_refused(third, "f", start + 30s));
    }

    void concurrent_reports_of_one_loss_dont_add_up()
    {
        quarantine under_test{large_capacity};
        lose_upstream(under_test, upstream(1), {"f"});
        for (int peer = 0; peer < 8; ++peer)
        {
            under_test.on_peer_report(quarantine_report{"f", 1, 60s}, start);
        }
        CPPUNIT_ASSERT(!is_refused(under_test, "f"));
        // a peer's suspicion isn't withdrawn while this host has its own
        under_test.on_peer_report(quarantine_report{"f", 0, 0s}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, under_test.suspicions());
    }

    void a_repeated_report_doesnt_hide_a_repeat()
    {
        quarantine under_test{large_capacity};
        under_test.on_peer_report(quarantine_report{"f", 1, 60s}, start);
        under_test.on_attempt_started(upstream(1), first_shard, "f");
        under_test.on_peer_report(quarantine_report{"f", 1, 60s}, start);
        under_test.on_upstream_lost(upstream(1), start);
        CPPUNIT_ASSERT(is_refused(under_test, "f"));
    }

    void a_peer_cant_refuse_for_longer_than_the_term()
    {
        quarantine under_test{large_capacity};
        under_test.on_peer_report(quarantine_report{"f", 7, 24h}, start);
        CPPUNIT_ASSERT(is_refused(under_test, "f", start + 30s - 1ms));
        CPPUNIT_ASSERT(!is_refused(under_test, "f", start + 30s));
        under_test.on_peer_report(quarantine_report{"g", 2, -1s}, start);
        CPPUNIT_ASSERT(!is_refused(under_test, "g"));
    }

    void finds_each_crashing_request_among_threads()
    {
        constexpr std::uint32_t workers = 4;
        quarantine under_test{large_capacity};
        std::vector<std::thread> threads;
        threads.reserve(workers);
        for (std::uint32_t worker = 0; worker < workers; ++worker)
        {
            threads.emplace_back(
                [&under_test, worker]
                {
                    const std::string crashing = "crashing " + std::to_string(worker);
                    for (int count = 0; count < 200; ++count)
                    {
                        reply(under_test, upstream(worker), first_shard, std::to_string(count));
                        (void)under_test.take_reports();
                    }
                    lose_upstream(under_test, upstream(worker), {crashing});
                    lose_upstream(under_test, upstream(worker), {crashing});
                });
        }
        for (std::thread& each : threads)
        {
            each.join();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{workers}, under_test.refusals());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, under_test.suspicions());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_test);

} // namespace
