#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "teasellead/routing/cold_permits.hpp"
#include "upstream_fixture.hpp"

namespace
{

using namespace teasellead;
using namespace teasellead::fixture;

constexpr upstream_incarnation incarnation = 71;
constexpr milliseconds term{200};

/// the owner of an upstream's cold-start allowance (lender) and one other host (borrower)
class lending_pair
{
  public:
    explicit lending_pair(std::uint32_t cold_requests = 1)
        : m_owner(owner_among(hosts()), hosts(), upstream_limits{4, 40, cold_requests}),
          m_other(other_among(hosts()), hosts(), upstream_limits{4, 40, cold_requests}),
          m_lender(m_owner.table(), 1), m_borrower(m_other.table(), 1)
    {
    }

    static std::vector<listed_host> hosts()
    {
        return host_numbers(2);
    }

    void advance(duration step)
    {
        m_owner.clock().advance(step);
        m_other.clock().advance(step);
    }

    [[nodiscard]] time_point now()
    {
        return m_owner.clock().now();
    }

    /// lease requests that the borrower sends after a request found the upstream cold
    [[nodiscard]] std::vector<permit_request> request_lease()
    {
        CPPUNIT_ASSERT(std::holds_alternative<all_cold>(m_other.select()));
        return m_borrower.on_tick(now());
    }

    [[nodiscard]] std::vector<permit_grant> grant_lease(const permit_request& requested)
    {
        return m_lender.on_request(other_among(hosts()).peer(), requested, now());
    }

    void accept_grant(const permit_grant& granted)
    {
        m_borrower.on_grant(owner_among(hosts()).peer(), granted, now());
    }

    /// requests, grants and accepts a lease without delay
    permit_request obtain_lease()
    {
        const auto requested = request_lease();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requested.size());
        const auto granted = grant_lease(requested.front());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, granted.size());
        accept_grant(granted.front());
        return requested.front();
    }

    table_under_test m_owner;
    table_under_test m_other;
    cold_permits m_lender;
    cold_permits m_borrower;
};

class cold_permits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cold_permits_test);
    CPPUNIT_TEST(demand_obtains_a_lease);
    CPPUNIT_TEST(the_lender_stops_at_once_and_resumes_when_the_lease_expires);
    CPPUNIT_TEST(the_borrower_counts_the_term_from_sending_the_request);
    CPPUNIT_TEST(a_used_lease_is_returned_early);
    CPPUNIT_TEST(repeated_messages_change_nothing);
    CPPUNIT_TEST(a_busy_lender_reserves_its_next_free_slot);
    CPPUNIT_TEST(refuses_what_it_does_not_own);
    CPPUNIT_TEST(a_lender_with_newer_evidence_reports_it);
    CPPUNIT_TEST(foreign_grants_are_ignored);
    CPPUNIT_TEST(no_two_hosts_use_one_request);
    CPPUNIT_TEST_SUITE_END();

  public:
    void demand_obtains_a_lease()
    {
        lending_pair pair;
        CPPUNIT_ASSERT(pair.m_borrower.on_tick(pair.now()).empty());
        const auto requested = pair.request_lease();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requested.size());
        CPPUNIT_ASSERT(requested.front().m_receiver == owner_among(lending_pair::hosts()).peer());
        CPPUNIT_ASSERT(requested.front().m_term == term);
        // no second lease request is sent while a reply may still arrive
        CPPUNIT_ASSERT(pair.request_lease().empty());
        const auto granted = pair.grant_lease(requested.front());
        CPPUNIT_ASSERT_EQUAL(1U, granted.front().m_requests);
        pair.accept_grant(granted.front());
        CPPUNIT_ASSERT_EQUAL(1U, pair.m_other.start_all());
    }

    void the_lender_stops_at_once_and_resumes_when_the_lease_expires()
    {
        lending_pair pair;
        const auto requested = pair.request_lease();
        pair.advance(milliseconds{50});
        (void)pair.grant_lease(requested.front());
        CPPUNIT_ASSERT_EQUAL(0U, pair.m_owner.start_all());
        pair.advance(term - milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(0U, pair.m_owner.start_all());
        pair.advance(milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(1U, pair.m_owner.start_all());
    }

    void the_borrower_counts_the_term_from_sending_the_request()
    {
        lending_pair pair;
        const auto requested = pair.request_lease();
        const time_point sent = pair.now();
        const auto granted = pair.grant_lease(requested.front());
        pair.advance(term / 2 - milliseconds{1});
        pair.accept_grant(granted.front());
        const auto chosen = std::get<chosen_replica>(pair.m_other.select());
        CPPUNIT_ASSERT(chosen.end_by() == sent + term - cold_permit_settings{}.m_cancel_delay);

        lending_pair late;
        const auto requested_late = late.request_lease();
        const auto granted_late = late.grant_lease(requested_late.front());
        late.advance(term / 2);
        late.accept_grant(granted_late.front());
        CPPUNIT_ASSERT_EQUAL(0U, late.m_other.start_all());
    }

    void a_used_lease_is_returned_early()
    {
        lending_pair pair;
        const permit_request requested = pair.obtain_lease();
        CPPUNIT_ASSERT(pair.m_borrower.on_tick(pair.now()).empty());
        CPPUNIT_ASSERT(pair.m_other.serve(1, incarnation));
        const auto returned = pair.m_borrower.on_tick(pair.m_other.clock().now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, returned.size());
        CPPUNIT_ASSERT(returned.front().m_lease == requested.m_lease);
        CPPUNIT_ASSERT(returned.front().m_term == milliseconds{0});
        CPPUNIT_ASSERT_EQUAL(0U, pair.m_other.start_all());
        CPPUNIT_ASSERT_EQUAL(0U, pair.m_owner.start_all());
        CPPUNIT_ASSERT(pair.grant_lease(returned.front()).empty());
        CPPUNIT_ASSERT_EQUAL(1U, pair.m_owner.start_all());
    }

    void repeated_messages_change_nothing()
    {
        lending_pair pair{2};
        const auto requested = pair.request_lease();
        const auto granted = pair.grant_lease(requested.front());
        CPPUNIT_ASSERT(pair.grant_lease(requested.front()) == granted);
        CPPUNIT_ASSERT_EQUAL(1U, pair.m_owner.start_all());
        pair.accept_grant(granted.front());
        CPPUNIT_ASSERT(pair.m_other.serve(1, incarnation));
        (void)pair.m_borrower.on_tick(pair.m_other.clock().now());
        pair.accept_grant(granted.front());
        CPPUNIT_ASSERT_EQUAL(0U, pair.m_other.start_all());
    }

    void a_busy_lender_reserves_its_next_free_slot()
    {
        lending_pair pair;
        CPPUNIT_ASSERT_EQUAL(1U, pair.m_owner.start_all());
        const auto requested = pair.request_lease();
        CPPUNIT_ASSERT_EQUAL(0U, pair.grant_lease(requested.front()).front().m_requests);
        pair.advance(milliseconds{5});
        pair.m_owner.reply(incarnation);
        CPPUNIT_ASSERT_EQUAL(0U, pair.m_owner.start_all());
        CPPUNIT_ASSERT_EQUAL(1U, pair.grant_lease(requested.front()).front().m_requests);
    }

    void refuses_what_it_does_not_own()
    {
        lending_pair pair;
        const permit_request requested{other_among(lending_pair::hosts()).peer(), first_upstream, 1, term};
        const endpoint owner = owner_among(lending_pair::hosts()).peer();
        const auto refused = pair.m_borrower.on_request(owner, requested, pair.now());
        CPPUNIT_ASSERT_EQUAL(0U, refused.front().m_requests);
        const permit_request unknown{owner, second_upstream, 1, term};
        CPPUNIT_ASSERT_EQUAL(0U, pair.grant_lease(unknown).front().m_requests);
        const permit_request too_long{owner, first_upstream, 1, std::chrono::hours{1}};
        CPPUNIT_ASSERT_EQUAL(0U, pair.grant_lease(too_long).front().m_requests);
    }

    void a_lender_with_newer_evidence_reports_it()
    {
        lending_pair pair;
        CPPUNIT_ASSERT(!pair.grant_lease(pair.request_lease().front()).front().m_evidence.has_value());
        pair.advance(term);
        CPPUNIT_ASSERT(pair.m_owner.serve(40, incarnation));
        const upstream_evidence expected{first_upstream, incarnation, true};
        CPPUNIT_ASSERT(pair.grant_lease(pair.request_lease().front()).front().m_evidence == expected);
    }

    void foreign_grants_are_ignored()
    {
        lending_pair pair;
        const auto requested = pair.request_lease();
        const endpoint self = other_among(lending_pair::hosts()).peer();
        const permit_grant forged{self, first_upstream, requested.front().m_lease, 1, std::nullopt};
        pair.m_borrower.on_grant(endpoint{1, 1}, forged, pair.now());
        pair.accept_grant(permit_grant{self, first_upstream, requested.front().m_lease + 1, 1, std::nullopt});
        pair.accept_grant(permit_grant{self, second_upstream, requested.front().m_lease, 1, std::nullopt});
        CPPUNIT_ASSERT_EQUAL(0U, pair.m_other.start_all());
    }

    /// three hosts send as many requests as permitted at random times, while messages between them are
    /// lost, delayed and repeated
    void no_two_hosts_use_one_request()
    {
        std::uint64_t leased_requests = 0;
        for (std::uint64_t seed = 1; seed <= 1000; ++seed)
        {
            leased_requests += run_three_hosts(seed);
        }
        CPPUNIT_ASSERT_GREATER(std::uint64_t{2000}, leased_requests);
    }

  private:
    using message = std::variant<permit_request, permit_grant>;

    struct delivery
    {
        std::size_t m_from;
        std::size_t m_to;
        message m_content;
    };

    struct fleet_host
    {
        fleet_host(const listed_host& self, const std::vector<listed_host>& hosts,
                   const upstream_limits& limits)
            : m_host(self, hosts, limits), m_permits(m_host.table(), 1)
        {
        }

        table_under_test m_host;
        cold_permits m_permits;
        std::vector<time_point> m_running;
    };

    static std::size_t number_of(const std::vector<listed_host>& hosts, const endpoint& peer)
    {
        const auto found = std::find_if(hosts.begin(), hosts.end(),
                                        [&peer](const listed_host& host) { return host.peer() == peer; });
        return static_cast<std::size_t>(found - hosts.begin());
    }

    static std::uint64_t run_three_hosts(std::uint64_t seed)
    {
        random_source random{seed};
        const auto hosts = host_numbers(3);
        const upstream_limits limits{8, 40, static_cast<std::uint32_t>(1 + random.below(2))};
        std::vector<std::unique_ptr<fleet_host>> fleet;
        fleet.reserve(hosts.size());
        for (const listed_host& self : hosts)
        {
            fleet.push_back(std::make_unique<fleet_host>(self, hosts, limits));
        }
        std::multimap<time_point, delivery> network;
        std::uint64_t leased_requests = 0;
        const std::size_t owner = number_of(hosts, owner_among(hosts).peer());
        const auto post = [&](std::size_t from, const endpoint& receiver, message content)
        {
            const time_point now = fleet.front()->m_host.clock().now();
            for (std::uint64_t copies = random.below(10) == 0 ? 2 : 1; copies > 0; --copies)
            {
                const auto delay = milliseconds{random.below(random.below(10) == 0 ? 500 : 10)};
                if (random.below(10) != 0)
                {
                    network.emplace(now + delay, delivery{from, number_of(hosts, receiver), content});
                }
            }
        };
        for (int step = 0; step < 600; ++step)
        {
            const time_point now = fleet.front()->m_host.clock().now();
            while (!network.empty() && network.begin()->first <= now)
            {
                const delivery due = network.begin()->second;
                network.erase(network.begin());
                deliver(*fleet[due.m_to], hosts, due, now, post);
            }
            std::size_t running = 0;
            for (std::size_t number = 0; number < fleet.size(); ++number)
            {
                const std::uint64_t started = run_step(*fleet[number], random, now);
                leased_requests += number == owner ? 0 : started;
                for (const permit_request& requested : fleet[number]->m_permits.on_tick(now))
                {
                    post(number, requested.m_receiver, requested);
                }
                running += fleet[number]->m_running.size();
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), running <= limits.cold_start_requests());
            for (const auto& each : fleet)
            {
                each->m_host.clock().advance(milliseconds{1});
            }
        }
        return leased_requests;
    }

    template <typename Post>
    static void deliver(fleet_host& receiver, const std::vector<listed_host>& hosts, const delivery& due,
                        time_point now, const Post& post)
    {
        const endpoint sender = hosts[due.m_from].peer();
        if (const auto* const requested = std::get_if<permit_request>(&due.m_content))
        {
            for (const permit_grant& granted : receiver.m_permits.on_request(sender, *requested, now))
            {
                post(due.m_to, granted.m_receiver, granted);
            }
            return;
        }
        receiver.m_permits.on_grant(sender, std::get<permit_grant>(due.m_content), now);
    }

    /// ends the requests that are due, and starts a request if one may be sent; upstreams report no
    /// incarnation and are slow
    static std::uint64_t run_step(fleet_host& host, random_source& random, time_point now)
    {
        while (!host.m_running.empty() && host.m_running.back() <= now)
        {
            host.m_running.pop_back();
            host.m_host.table().on_failure(first_upstream, attempt_failure::wrong_snapshot, milliseconds{1},
                                           now);
        }
        if (random.below(20) != 0)
        {
            return 0;
        }
        const selection selected = host.m_host.select();
        const auto* const chosen = std::get_if<chosen_replica>(&selected);
        if (chosen == nullptr)
        {
            return 0;
        }
        const time_point end = now + milliseconds{1 + random.below(150)};
        host.m_running.insert(host.m_running.begin(), std::min(end, chosen->end_by()));
        std::sort(host.m_running.rbegin(), host.m_running.rend());
        return 1;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cold_permits_test);

} // namespace
