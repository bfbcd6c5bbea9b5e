#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "teasellead/routing/upstream_table.hpp"

namespace teasellead::fixture
{

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const endpoint first_upstream{0x0A000001, 80};
inline const endpoint second_upstream{0x0A000002, 80};

inline listed_host host_number(std::uint32_t number)
{
    return listed_host{endpoint{0x0A0A0000 + number, 9000}, "a"};
}

inline std::vector<listed_host> host_numbers(std::uint32_t count)
{
    std::vector<listed_host> hosts;
    for (std::uint32_t number = 0; number < count; ++number)
    {
        hosts.push_back(host_number(number));
    }
    return hosts;
}

/// a configuration of one shard with the given replicas in data centre `a`
inline std::shared_ptr<const configuration> one_shard(const std::vector<replica>& replicas,
                                                      upstream_limits limits,
                                                      data_centre_state state = data_centre_state::live)
{
    configuration::declarations declared;
    declared.m_data_centres.emplace_back("a", state, 1);
    declared.m_indexes.emplace_back("index", 1, 1);
    const shard only{"s", key_range{0, key_space_size}, replicas};
    declared.m_services.emplace_back("service", "index", std::vector<std::string>{}, limits,
                                     std::vector<shard>{only});
    return std::make_shared<const configuration>(std::move(declared));
}

/// one host's upstream table with one shard; the test controls the clock and every event
class table_under_test
{
  public:
    explicit table_under_test(listed_host self, std::vector<listed_host> hosts,
                              upstream_limits limits = {4, 40, 1})
        : m_limits(limits),
          m_table(upstream_table_settings{
              two_choices_selector{}, warm_up_settings{1, milliseconds{10}, seconds{1}}, true, seconds{2}})
    {
        m_table.set_views({host_view{1, std::move(self), std::move(hosts)}});
        declare({first_upstream});
    }

    void declare(const std::vector<endpoint>& upstreams, bool leaving = false,
                 data_centre_state state = data_centre_state::live)
    {
        std::vector<replica> replicas;
        replicas.reserve(upstreams.size());
        for (const endpoint& upstream : upstreams)
        {
            replicas.emplace_back("a", upstream, leaving);
        }
        m_current = one_shard(replicas, m_limits, state);
        m_planned = m_planned == nullptr ? m_current : m_planned;
        m_table.on_configuration(*m_current, m_clock.now());
    }

    /// lets new requests use the last declared configuration
    void plan_anew()
    {
        m_planned = m_current;
    }

    [[nodiscard]] selection select()
    {
        const service& owner = m_planned->services().front();
        return m_table.select(shard_target{owner, owner.shards().front()}, *m_current, {}, m_random,
                              m_clock.now());
    }

    /// starts requests until one is refused; returns the number of those started
    [[nodiscard]] std::uint32_t start_all()
    {
        std::uint32_t started = 0;
        while (std::holds_alternative<chosen_replica>(select()))
        {
            ++started;
        }
        return started;
    }

    void reply(upstream_incarnation incarnation, duration latency = milliseconds{5})
    {
        m_table.on_reply(first_upstream, incarnation, latency, m_clock.now());
    }

    /// starts and completes requests one after another; returns whether all of them were started
    bool serve(std::uint32_t requests, upstream_incarnation incarnation, duration latency = milliseconds{5})
    {
        for (std::uint32_t number = 0; number < requests; ++number)
        {
            if (!std::holds_alternative<chosen_replica>(select()))
            {
                return false;
            }
            m_clock.advance(latency);
            reply(incarnation, latency);
            m_clock.advance(milliseconds{1});
        }
        return true;
    }

    [[nodiscard]] warm_up_state state()
    {
        return m_table.status(m_clock.now()).front().state();
    }

    [[nodiscard]] upstream_table& table() noexcept
    {
        return m_table;
    }

    [[nodiscard]] manual_clock& clock() noexcept
    {
        return m_clock;
    }

  private:
    upstream_limits m_limits;
    manual_clock m_clock;
    random_source m_random{1};
    upstream_table m_table;
    std::shared_ptr<const configuration> m_current;
    std::shared_ptr<const configuration> m_planned;
};

/// the host, among several, that owns the cold-start allowance of the first upstream
inline listed_host owner_among(const std::vector<listed_host>& hosts)
{
    return cold_owner_of(replica{"a", first_upstream, false}, host_view{1, hosts.front(), hosts});
}

/// a host, among several, that doesn't own the cold-start allowance of the first upstream
inline listed_host other_among(const std::vector<listed_host>& hosts)
{
    return hosts.front() == owner_among(hosts) ? hosts.back() : hosts.front();
}

} // namespace teasellead::fixture
