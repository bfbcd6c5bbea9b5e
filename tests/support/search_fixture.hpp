#pragma once

#include <string>
#include <vector>

#include "search_topology.hpp"
#include "teasellead/routing/gather.hpp"

namespace teasellead::testing
{

/// a search to which a test delivers each event
class search_fixture
{
  public:
    explicit search_fixture(const topology_parameters& parameters,
                            extra_load_budget budget = extra_load_budget{0.02, 10.0})
        : m_parameters(parameters), m_revision(make_revision(1, parameters)), m_random(1),
          m_table(table_settings("two-choices", false)), m_hedging(make_hedging_rule("quantile"), budget),
          m_plan(std::make_shared<const query_plan>(m_revision,
                                                    *m_revision->configuration().find_route("/find"))),
          m_gather("q", m_plan, gather_context{m_table, m_hedging, m_random}, m_start + time_limit)
    {
        m_table.set_views(single_host_view(parameters));
    }

    [[nodiscard]] const configuration& current() const
    {
        return m_revision->configuration();
    }

    /// a correct reply for a shard
    [[nodiscard]] upstream_reply reply_for(std::size_t target) const
    {
        const shard& part = m_plan->targets()[target].shard();
        return upstream_reply{
            "q", "find", part.name(), m_plan->shard_map(), m_plan->snapshot(), 1, part.keys().size(), "body"};
    }

    /// requests in flight at all upstreams
    [[nodiscard]] std::uint32_t in_flight() const
    {
        std::uint32_t sum = 0;
        for (const upstream_status& status : m_table.status(m_start))
        {
            sum += status.in_flight();
        }
        return sum;
    }

    /// trains the hedge policy with replies of each shard after a usual latency
    void learn(duration usual)
    {
        for (const shard_target& target : m_plan->targets())
        {
            for (std::uint32_t sample = 0; sample < learned_samples; ++sample)
            {
                m_hedging.on_reply(target, usual, m_start);
            }
        }
    }

    static constexpr std::chrono::milliseconds time_limit{50};
    static constexpr std::uint32_t learned_samples = 200;

    topology_parameters m_parameters;
    shared_revision m_revision;
    random_source m_random;
    upstream_table m_table;
    hedge_policy m_hedging;
    shared_plan m_plan;
    time_point m_start{std::chrono::hours{1}};
    gather m_gather;
};

} // namespace teasellead::testing
