// prints the cost of membership and lending per node: messages and bytes per second, CPU time per tick
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "teasellead/fleet/account_limiter.hpp"
#include "teasellead/fleet/codec.hpp"
#include "teasellead/fleet/membership.hpp"

namespace
{

using namespace teasellead;

constexpr std::chrono::milliseconds tick{20};
constexpr int ticks = 3000;

double microseconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>{std::chrono::steady_clock::now() - start}.count();
}

host_list list_of(std::size_t data_centres, std::size_t hosts)
{
    host_list list{1, {}};
    std::uint32_t address = 0x0A000001U;
    for (std::size_t number = 0; number < data_centres; ++number)
    {
        for (std::size_t host = 0; host < hosts; ++host)
        {
            list.m_hosts.push_back({{endpoint{address++, 7000}, "dc" + std::to_string(number)}, false});
        }
    }
    return list;
}

void measure_membership(std::size_t data_centres, std::size_t hosts)
{
    const host_list list = list_of(data_centres, hosts);
    membership node{list.m_hosts.front().m_host, 1, membership_settings{}};
    time_point now{std::chrono::hours{1}};
    std::size_t messages = 0;
    std::size_t bytes = 0;
    double spent = 0.0;
    for (int step = 0; step < ticks; ++step)
    {
        if (step % 150 == 0)
        {
            node.on_list(list, now);
        }
        const auto start = std::chrono::steady_clock::now();
        const auto sent = node.on_tick({1, true, false}, now);
        (void)node.current_limit_fraction(now);
        spent += microseconds_since(start);
        for (const outgoing_message& message : sent)
        {
            ++messages;
            bytes += encode({list.m_hosts.front().m_host.peer(), 1, message.m_content}).size();
        }
        now += tick;
    }
    const double seconds = std::chrono::duration<double>{tick}.count() * ticks;
    std::printf("membership data_centres %zu hosts_each %zu hellos/s %.1f bytes/s %.0f us/tick %.2f\n",
                data_centres, hosts, static_cast<double>(messages) / seconds,
                static_cast<double>(bytes) / seconds, spent / ticks);
}

void measure_limiter(std::size_t accounts, std::size_t active)
{
    configuration::declarations declared;
    declared.m_data_centres.emplace_back("dc0", data_centre_state::live, 1);
    for (std::size_t number = 0; number < accounts; ++number)
    {
        declared.m_client_accounts.emplace_back("account" + std::to_string(number), 100.0, 100.0, 1);
    }
    const host_list list = list_of(1, 9);
    account_limiter limiter{list.m_hosts.front().m_host};
    time_point now{std::chrono::hours{1}};
    limiter.on_revision({1, "", std::make_shared<const configuration>(std::move(declared))}, now);
    std::vector<listed_host> hosts;
    for (const platform_host& entry : list.m_hosts)
    {
        hosts.push_back(entry.m_host);
    }
    limiter.on_views({host_view{1, hosts.front(), hosts}}, now);
    limiter.on_limit_fraction({1.0 / 9, 0.0, now + std::chrono::hours{1}, now + std::chrono::hours{1}, 1},
                              now);
    std::vector<std::string> names;
    for (std::size_t number = 0; number < active; ++number)
    {
        names.push_back("account" + std::to_string(number));
    }
    double ticking = 0.0;
    double admitting = 0.0;
    constexpr int steps = ticks / 10;
    const double arrivals = static_cast<double>(active) * steps;
    for (int step = 0; step < steps; ++step)
    {
        auto start = std::chrono::steady_clock::now();
        for (const std::string& name : names)
        {
            (void)limiter.try_admit(name, now);
        }
        admitting += microseconds_since(start);
        now += tick;
        start = std::chrono::steady_clock::now();
        (void)limiter.on_tick(now);
        ticking += microseconds_since(start);
    }
    std::printf("limiter accounts %zu active %zu us/tick %.2f ns/admission %.0f\n", accounts, active,
                ticking / steps, 1000.0 * admitting / arrivals);
}

} // namespace

int main()
{
    for (const std::size_t hosts : {3U, 30U, 100U, 309U})
    {
        measure_membership(1, hosts);
        measure_membership(22, hosts);
    }
    for (const std::size_t accounts : {8U, 100U, 1000U, 5000U})
    {
        measure_limiter(accounts, accounts);
        measure_limiter(accounts, std::min<std::size_t>(accounts, 8));
    }
    return 0;
}
