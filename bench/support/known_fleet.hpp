#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "search_topology.hpp"
#include "teasellead/routing/gather.hpp"

namespace teasellead::bench
{

/*!
@brief state that one host keeps about many upstreams, and a search of 63 shards on the first service

Each service has 63 shards with 3 replicas; each replica and each shard has replied before.
*/
class known_fleet
{
  public:
    /*!
    @brief creates the fleet

    @param[in] replicas  number of upstreams in the host's table, rounded up to whole services
    */
    explicit known_fleet(std::uint32_t replicas)
        : m_services((replicas + replicas_per_service - 1) / replicas_per_service),
          m_revision(declare(m_services)), m_random(1), m_table(testing::table_settings("two-choices", true)),
          m_hedging(make_hedging_rule("quantile"),
                    extra_load_budget{default_extra_load_ratio, default_extra_load_capacity})
    {
        m_table.set_views(testing::single_host_view({}));
        for (const service& owner : m_revision->configuration().services())
        {
            for (const shard& part : owner.shards())
            {
                learn(shard_target{owner, part});
            }
        }
        (void)m_table.take_evidence();
    }

    /// plans a search and starts its first attempts; cancels it at once to release the request slots
    std::size_t start_search()
    {
        const route& requested = *m_revision->configuration().find_route("/find");
        const auto plan = std::make_shared<const query_plan>(m_revision, requested);
        gather search{"request", plan, gather_context{m_table, m_hedging, m_random},
                      m_now + std::chrono::milliseconds{200}};
        const std::size_t sent = search.start(m_revision->configuration(), m_now).size();
        (void)search.cancel(m_now);
        return sent;
    }

    /// selects one replica and releases its request slot at once
    bool choose_replica()
    {
        const service& owner = m_revision->configuration().services().front();
        const shard& part = owner.shards()[m_next_shard++ % shards_per_service];
        const selection selected =
            m_table.select(shard_target{owner, part}, m_revision->configuration(), {}, m_random, m_now);
        const auto* const chosen = std::get_if<chosen_replica>(&selected);
        if (chosen == nullptr)
        {
            return false;
        }
        m_table.on_cancelled(chosen->upstream(), duration::zero(), m_now);
        return true;
    }

    static constexpr std::uint32_t shards_per_service = 63;
    static constexpr std::uint32_t replicas_per_shard = 3;
    static constexpr std::uint32_t replicas_per_service = shards_per_service * replicas_per_shard;

  private:
    static shared_revision declare(std::uint32_t services)
    {
        const testing::topology_parameters all{.m_shards = services * shards_per_service};
        configuration::declarations declared;
        declared.m_data_centres.emplace_back("a", data_centre_state::live, 1);
        declared.m_indexes.emplace_back("index", 1, 1);
        for (std::uint32_t number = 0; number < services; ++number)
        {
            std::vector<shard> shards;
            for (std::uint32_t position = 0; position < shards_per_service; ++position)
            {
                shards.push_back(testing::make_shard(all, number * shards_per_service + position));
            }
            const std::string name = number == 0 ? "find" : "service-" + std::to_string(number);
            declared.m_services.emplace_back(name, "index", std::vector<std::string>{}, all.m_limits,
                                             std::move(shards));
        }
        declared.m_routes.emplace_back("/find", "find", true, true, std::chrono::milliseconds{200});
        return std::make_shared<const configuration_revision>(
            1, "", std::make_shared<const configuration>(std::move(declared)));
    }

    void learn(const shard_target& target)
    {
        constexpr std::chrono::milliseconds usual{5};
        constexpr std::uint32_t samples = 32;
        for (std::uint32_t sample = 0; sample < samples; ++sample)
        {
            m_hedging.on_reply(target, usual, m_now);
        }
        // each reply is a step of the warm-up, until the upstream receives its full share
        for (const replica& holder : target.shard().replicas())
        {
            const selection taken = m_table.select(target, m_revision->configuration(), {}, m_random, m_now);
            (void)taken;
            for (std::uint32_t sample = 0; sample < samples; ++sample)
            {
                // a reply counts towards the next step only if its request began after the last one
                m_now += 2 * usual;
                m_table.on_reply(holder.upstream(), 1, usual, m_now);
            }
        }
    }

    std::uint32_t m_services;
    shared_revision m_revision;
    random_source m_random;
    upstream_table m_table;
    hedge_policy m_hedging;
    time_point m_now{std::chrono::hours{1}};
    std::uint32_t m_next_shard{0};
};

} // namespace teasellead::bench
