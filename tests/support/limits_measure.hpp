#pragma once

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "limit_simulation.hpp"

namespace teasellead::testing
{

/// rates of eight accounts in requests per second, a few of them large; each burst is one second of its rate
inline const std::vector<double>& account_rates()
{
    static const std::vector<double> rates{400.0, 300.0, 200.0, 80.0, 60.0, 40.0, 40.0, 30.0};
    return rates;
}

/// results of the accounts in a fleet without faults
struct limits_measurement
{
    limit_checker::account_record m_total;
    std::vector<limit_checker::account_record> m_accounts;
    double m_messages_per_host{0.0}; ///< per second
};

/// nine hosts in four data centres behind a balancer that prefers some of them
class measured_fleet
{
  public:
    measured_fleet(limit_policy policy, std::uint64_t seed)
        : m_fleet({membership_settings{}, policy, 0.0, 0.0, 0.0, 0.0005, std::chrono::milliseconds{20},
                   std::chrono::seconds{3}},
                  seed)
    {
        for (std::size_t number = 0; number < account_rates().size(); ++number)
        {
            m_streams.push_back({random_source{seed * account_rates().size() + number}, time_point{}});
        }
        configuration::declarations declared;
        for (const std::size_t number : {0, 1, 2, 3})
        {
            // weights in proportion to the hosts of the data centre
            declared.m_data_centres.emplace_back(name_of(number), data_centre_state::live,
                                                 number == 0 ? 3 : 2);
        }
        for (std::size_t number = 0; number < account_rates().size(); ++number)
        {
            const double rate = account_rates()[number];
            declared.m_client_accounts.emplace_back("account" + std::to_string(number), rate, rate, 1);
        }
        m_fleet.publish(std::move(declared));
        std::vector<platform_host> listed;
        for (std::uint32_t number = 0; number < hosts; ++number)
        {
            const listed_host host{endpoint{0x0A000001U + number, 7000}, name_of(number % 4)};
            m_ids.push_back(m_fleet.start_host(host));
            listed.push_back({host, false});
        }
        m_fleet.list(listed);
    }

    /// lets the balancer send four times as many requests to each of three hosts, starting at the given one
    void skew(std::size_t first)
    {
        m_first = first;
    }

    /*!
    @brief sends arrivals of all accounts, each at its rate times its load

    Each account has its own random numbers, so its arrivals don't depend on the loads of the others.
    */
    void run(duration length, const std::vector<double>& loads)
    {
        const time_point end = m_fleet.now() + length;
        for (std::size_t number = 0; number < loads.size(); ++number)
        {
            m_streams[number].m_next = m_fleet.now();
            schedule(number, loads);
        }
        while (true)
        {
            const auto earliest = std::min_element(m_streams.begin(), m_streams.end(),
                                                   [](const stream& lhs, const stream& rhs)
                                                   { return lhs.m_next < rhs.m_next; });
            if (earliest->m_next >= end)
            {
                break;
            }
            const auto number = static_cast<std::size_t>(earliest - m_streams.begin());
            m_fleet.run_until(earliest->m_next);
            m_fleet.arrive(m_ids[choose_host(earliest->m_random)], "account" + std::to_string(number));
            schedule(number, loads);
        }
        m_fleet.run_until(end);
    }

    [[nodiscard]] fleet_simulation& fleet() noexcept
    {
        return m_fleet;
    }

    /// results of the accounts since the last reset
    [[nodiscard]] limits_measurement result()
    {
        limits_measurement result;
        result.m_total = m_fleet.checker().total();
        for (std::size_t number = 0; number < account_rates().size(); ++number)
        {
            result.m_accounts.push_back(m_fleet.checker().of("account" + std::to_string(number)));
        }
        return result;
    }

  private:
    static constexpr std::uint32_t hosts = 9;
    static constexpr std::size_t preferred_hosts = 3;
    static constexpr std::uint64_t preference = 4;

    static std::string name_of(std::size_t data_centre)
    {
        return "dc" + std::to_string(data_centre);
    }

    /// arrivals of one account
    struct stream
    {
        random_source m_random;
        time_point m_next;
    };

    void schedule(std::size_t number, const std::vector<double>& loads)
    {
        stream& account = m_streams[number];
        const double wait =
            -std::log(1.0 - account.m_random.unit()) / (loads[number] * account_rates()[number]);
        account.m_next += std::chrono::duration_cast<duration>(std::chrono::duration<double>{wait});
    }

    [[nodiscard]] std::size_t choose_host(random_source& random) const
    {
        const std::uint64_t preferred = preferred_hosts * preference;
        const std::uint64_t drawn = random.below(preferred + hosts - preferred_hosts);
        const std::uint64_t offset =
            drawn < preferred ? drawn / preference : drawn - preferred + preferred_hosts;
        return (m_first + offset) % hosts;
    }

    fleet_simulation m_fleet;
    std::vector<stream> m_streams;
    std::vector<std::uint64_t> m_ids;
    std::size_t m_first{0};
};

/*!
@brief measures wrongful refusals for 20 s, from 5 s after each of three changes of the balancer's preference

@param[in] policy  how shares of the limits move between hosts
@param[in] load    arrivals of each account, as a fraction of its rate
@param[in] seed    seed of the arrivals and message delays
*/
inline limits_measurement measure_refusals(const limit_policy& policy, double load, std::uint64_t seed)
{
    measured_fleet fleet{policy, seed};
    const std::vector<double> loads(account_rates().size(), load);
    fleet.run(std::chrono::seconds{10}, loads);
    limits_measurement sum;
    sum.m_accounts.resize(account_rates().size());
    constexpr int changes = 3;
    constexpr std::chrono::seconds measured{20};
    std::uint64_t messages = 0;
    for (int change = 0; change < changes; ++change)
    {
        fleet.skew(static_cast<std::size_t>(change * 4));
        fleet.run(std::chrono::seconds{5}, loads);
        fleet.fleet().checker().reset();
        const std::uint64_t before = fleet.fleet().messages();
        fleet.run(measured, loads);
        messages += fleet.fleet().messages() - before;
        const limits_measurement part = fleet.result();
        sum.m_total.add(part.m_total);
        for (std::size_t number = 0; number < part.m_accounts.size(); ++number)
        {
            sum.m_accounts[number].add(part.m_accounts[number]);
        }
    }
    sum.m_messages_per_host = static_cast<double>(messages) / (9.0 * changes * measured.count());
    return sum;
}

} // namespace teasellead::testing
