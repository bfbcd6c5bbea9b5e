#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "search_simulation.hpp"

namespace teasellead::testing
{

/// probabilities of the faults of one sub-request; what remains is a correct reply
struct fault_weights
{
    double m_silent{0};           ///< no reply at all
    double m_late{0};             ///< a reply after the deadline
    double m_twice{0};            ///< the same reply two times
    double m_other_request{0};    ///< a reply to another request
    double m_other_shard{0};      ///< a reply of another shard
    double m_too_many_keys{0};    ///< claims more keys than the shard has
    double m_partial{0};          ///< covers half of the shard
    double m_lost{0};             ///< the connection breaks after the request ran
    double m_shed{0};             ///< refused for overload
    double m_draining{0};         ///< refused since the upstream is leaving
    double m_not_connected{0};    ///< nothing was sent
    double m_careless_version{0}; ///< fraction of the version mismatches that get a reply
};

/// version that an upstream has from a time on
struct version_change
{
    time_point m_from;
    snapshot_id m_snapshot;
    shard_map_id m_shard_map;
};

/// true outcome of the attempts of one shard of one request
struct shard_truth
{
    std::uint32_t m_sent{0};
    std::uint32_t m_mismatched{0}; ///< the upstream had another version
    std::uint32_t m_failed{0};     ///< failed, or its reply must not count, for another cause
    std::uint32_t m_ran{0};        ///< the upstream ran it
};

/*!
@brief upstreams whose faults are drawn from weights, and which record the true outcome of each attempt

The body of each reply names its true content: request, shard, shard map, snapshot and covered keys.
*/
class faulty_upstreams
{
  public:
    using truth_key = std::pair<std::string, std::string>;

    faulty_upstreams(fault_weights weights, duration usual_delay, random_source& random)
        : m_weights(weights), m_usual_delay(usual_delay), m_random(&random)
    {
    }

    void set_versions(const endpoint& upstream, std::vector<version_change> versions)
    {
        m_versions[upstream] = std::move(versions);
    }

    [[nodiscard]] const std::map<truth_key, shard_truth>& truth() const noexcept
    {
        return m_truth;
    }

    [[nodiscard]] static std::string make_body(const std::string& request, const std::string& shard,
                                               shard_map_id shard_map, snapshot_id snapshot,
                                               std::uint32_t covered)
    {
        return request + "|" + shard + "|" + std::to_string(shard_map) + "|" + std::to_string(snapshot) +
               "|" + std::to_string(covered);
    }

    std::vector<delivery> operator()(const sub_request& request)
    {
        shard_truth& truth = m_truth[{request.m_request_id, request.m_target->shard().name()}];
        ++truth.m_sent;
        const duration delay = draw_delay();
        if (draw(m_weights.m_not_connected))
        {
            return fail(truth, attempt_failure::not_connected, delay);
        }
        if (draw(m_weights.m_draining))
        {
            return fail(truth, attempt_failure::draining, delay);
        }
        if (draw(m_weights.m_shed))
        {
            return fail(truth, attempt_failure::shed, delay);
        }
        const version_change held = version_at(request.m_upstream, request.m_arrival + delay / 2);
        const bool holds_it =
            held.m_snapshot == request.m_snapshot && held.m_shard_map == request.m_shard_map;
        if (!holds_it)
        {
            ++truth.m_mismatched;
            if (!draw(m_weights.m_careless_version))
            {
                return {{delay, attempt_failure::wrong_snapshot}};
            }
        }
        ++truth.m_ran;
        return run(request, held, truth, delay);
    }

  private:
    [[nodiscard]] bool draw(double probability)
    {
        return m_random->unit() < probability;
    }

    [[nodiscard]] duration draw_delay()
    {
        const double factor = 0.2 + 1.6 * m_random->unit();
        return std::chrono::duration_cast<duration>(m_usual_delay * factor);
    }

    [[nodiscard]] version_change version_at(const endpoint& upstream, time_point when) const
    {
        version_change result{time_point{}, 1, 1};
        const auto found = m_versions.find(upstream);
        if (found != m_versions.end())
        {
            for (const version_change& change : found->second)
            {
                result = change.m_from <= when ? change : result;
            }
        }
        return result;
    }

    static std::vector<delivery> fail(shard_truth& truth, attempt_failure failure, duration delay)
    {
        ++truth.m_failed;
        return {{delay, failure}};
    }

    std::vector<delivery> run(const sub_request& request, const version_change& held, shard_truth& truth,
                              duration delay)
    {
        if (draw(m_weights.m_silent))
        {
            return {};
        }
        if (draw(m_weights.m_lost))
        {
            return fail(truth, attempt_failure::lost, delay);
        }
        std::string id = request.m_request_id;
        std::string name = request.m_target->shard().name();
        std::uint32_t covered = request.m_target->shard().keys().size();
        if (draw(m_weights.m_other_request))
        {
            id = "other";
            ++truth.m_failed;
        }
        if (draw(m_weights.m_other_shard))
        {
            name = "other";
            ++truth.m_failed;
        }
        if (draw(m_weights.m_too_many_keys))
        {
            ++covered;
            ++truth.m_failed;
        }
        else if (draw(m_weights.m_partial))
        {
            covered /= 2;
        }
        std::string body = make_body(id, name, held.m_shard_map, held.m_snapshot, covered);
        const upstream_reply reply{id,
                                   request.m_target->service().name(),
                                   name,
                                   held.m_shard_map,
                                   held.m_snapshot,
                                   1,
                                   covered,
                                   std::move(body)};
        if (draw(m_weights.m_twice))
        {
            return {{delay, reply}, {delay + draw_delay(), reply}};
        }
        constexpr std::chrono::seconds after_deadline{1};
        return {{draw(m_weights.m_late) ? after_deadline : delay, reply}};
    }

    fault_weights m_weights;
    duration m_usual_delay;
    random_source* m_random;
    std::map<endpoint, std::vector<version_change>> m_versions;
    std::map<truth_key, shard_truth> m_truth;
};

} // namespace teasellead::testing
