#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

#include "teasellead/kernel/random.hpp"
#include "teasellead/routing/host_share.hpp"

namespace
{

using namespace teasellead;

listed_host host_of(std::uint32_t number, std::uint32_t data_centres)
{
    return listed_host{endpoint{0x0A0A0000 + number, 9000}, "dc" + std::to_string(number % data_centres)};
}

std::vector<listed_host> hosts_of(std::uint32_t count, std::uint32_t data_centres)
{
    std::vector<listed_host> hosts;
    for (std::uint32_t number = 0; number < count; ++number)
    {
        hosts.push_back(host_of(number, data_centres));
    }
    return hosts;
}

replica replica_of(std::uint32_t number, std::uint32_t data_centres)
{
    return replica{"dc" + std::to_string(number % data_centres), endpoint{0x0A000000 + number, 80}, false};
}

/// sums of the shares of several hosts
struct share_sums
{
    std::uint32_t m_connections{0};
    std::uint32_t m_cold_requests{0};
    std::uint32_t m_cold_owners{0};
};

/// each host uses the smallest of its shares over the views of the host list that it considers
share_sums sums_over(const std::vector<listed_host>& users, const replica& holder,
                     const upstream_limits& limits, const std::vector<std::vector<listed_host>>& views)
{
    share_sums sums;
    for (const listed_host& user : users)
    {
        std::uint32_t connections = limits.connections();
        std::uint32_t cold = limits.cold_start_requests();
        for (const auto& hosts : views)
        {
            const host_share share = share_of(holder, limits, host_view{1, user, hosts});
            connections = std::min(connections, share.connections());
            cold = std::min(cold, share.cold_requests());
        }
        sums.m_connections += connections;
        sums.m_cold_requests += cold;
        sums.m_cold_owners += cold > 0 ? 1 : 0;
    }
    return sums;
}

/// size of a fleet and limits of an upstream
struct fleet_case
{
    std::string m_name;
    std::uint32_t m_hosts;
    std::uint32_t m_data_centres;
    upstream_limits m_limits;
};

const std::vector<fleet_case>& fleet_cases()
{
    static const std::vector<fleet_case> cases{
        {"one host", 1, 1, {3, 30, 2}},      {"nets office", 9, 4, {3, 30, 1}},
        {"consortium", 8, 4, {4, 45, 2}},    {"fewer connections than hosts", 9, 4, {3, 5, 2}},
        {"one connection", 9, 4, {3, 1, 1}}, {"a data centre without hosts", 3, 4, {3, 30, 2}},
        {"many hosts", 300, 3, {4, 45, 2}},
    };
    return cases;
}

class host_share_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_share_test);
    CPPUNIT_TEST(equal_views_divide_the_whole_limit);
    CPPUNIT_TEST(one_host_of_the_data_centre_owns_cold_requests);
    CPPUNIT_TEST(different_views_never_exceed_the_limit);
    CPPUNIT_TEST(an_unlisted_host_has_no_share);
    CPPUNIT_TEST_SUITE_END();

  public:
    void equal_views_divide_the_whole_limit()
    {
        for (const fleet_case& tested : fleet_cases())
        {
            const auto hosts = hosts_of(tested.m_hosts, tested.m_data_centres);
            for (std::uint32_t number = 0; number < 40; ++number)
            {
                const replica holder = replica_of(number, tested.m_data_centres);
                const share_sums sums = sums_over(hosts, holder, tested.m_limits, {hosts});
                CPPUNIT_ASSERT_EQUAL_MESSAGE(tested.m_name, tested.m_limits.connections(),
                                             sums.m_connections);
            }
        }
    }

    void one_host_of_the_data_centre_owns_cold_requests()
    {
        for (const fleet_case& tested : fleet_cases())
        {
            const auto hosts = hosts_of(tested.m_hosts, tested.m_data_centres);
            for (std::uint32_t number = 0; number < 40; ++number)
            {
                const replica holder = replica_of(number, tested.m_data_centres);
                const share_sums sums = sums_over(hosts, holder, tested.m_limits, {hosts});
                CPPUNIT_ASSERT_EQUAL_MESSAGE(tested.m_name, 1U, sums.m_cold_owners);
                const std::uint32_t max_cold_requests = tested.m_limits.cold_start_requests();
                CPPUNIT_ASSERT_MESSAGE(tested.m_name, sums.m_cold_requests <= max_cold_requests);
            }
        }
    }

    void different_views_never_exceed_the_limit()
    {
        constexpr std::uint64_t seeds = 2000;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            random_source random{seed};
            const auto data_centres = static_cast<std::uint32_t>(1 + random.below(4));
            const auto all = hosts_of(static_cast<std::uint32_t>(1 + random.below(12)), data_centres);
            std::vector<std::vector<listed_host>> views;
            for (std::uint64_t number = 0; number < 1 + random.below(4); ++number)
            {
                auto hosts = all;
                std::erase_if(hosts, [&random](const listed_host&) { return random.below(3) == 0; });
                views.push_back(std::move(hosts));
            }
            const upstream_limits limits{static_cast<std::uint32_t>(1 + random.below(4)),
                                         static_cast<std::uint32_t>(1 + random.below(50)),
                                         static_cast<std::uint32_t>(1 + random.below(3))};
            const replica holder = replica_of(static_cast<std::uint32_t>(random.below(50)), data_centres);
            const share_sums sums = sums_over(all, holder, limits, views);
            const std::string message = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(message, sums.m_connections <= limits.connections());
            CPPUNIT_ASSERT_MESSAGE(message, sums.m_cold_requests <= limits.cold_start_requests());
        }
    }

    void an_unlisted_host_has_no_share()
    {
        const auto hosts = hosts_of(4, 2);
        const listed_host unlisted = host_of(9, 2);
        for (std::uint32_t number = 0; number < 40; ++number)
        {
            const host_share share =
                share_of(replica_of(number, 2), upstream_limits{3, 30, 2}, host_view{1, unlisted, hosts});
            CPPUNIT_ASSERT_EQUAL(0U, share.connections());
            CPPUNIT_ASSERT_EQUAL(0U, share.slots());
            CPPUNIT_ASSERT_EQUAL(0U, share.cold_requests());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_share_test);

} // namespace
