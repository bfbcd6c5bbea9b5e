#include "teasellead/forwarding/upstream_directory.hpp"
#include "teasellead/kernel/scaled_duration.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace teasellead::forwarding
{

namespace
{

// maximum random addition to an expected time, as a fraction of it
constexpr double jitter = 0.15;
// an upstream without a share is preferred if others are expected to take this many times as long
constexpr double min_gain_without_share = 1.25;
// versions of services without upstreams are kept up to this number
constexpr std::size_t max_versions_per_service = 2;
constexpr std::size_t min_versions = 64;

bool contains(std::span<const shared_upstream> tried, const shared_upstream& candidate)
{
    return std::find(tried.begin(), tried.end(), candidate) != tried.end();
}

/// keeps the best of the candidates, and the one that their place and number of attempts alone would select
class candidate_selection
{
  public:
    void add(const shared_upstream& candidate, const completion_estimate& expected, bool is_near,
             random_source& random)
    {
        const duration total = expected.total();
        const duration compared = total + scaled(total, jitter * random.unit());
        if (compared < m_best_time)
        {
            m_best = &candidate;
            m_best_time = compared;
            m_expected = expected;
        }
        const double slots = std::max<std::uint32_t>(candidate->entry().m_capacity, 1);
        const plain_order order{!is_near, candidate->in_flight() / slots};
        if (m_plain_time == duration::max() || order < m_plain_order)
        {
            m_plain_order = order;
            m_plain_time = total;
            return;
        }
        // of equal ones, the choice is compared with the best
        m_plain_time = order == m_plain_order ? std::min(m_plain_time, total) : m_plain_time;
    }

    /// the best candidate, or null if there is none
    [[nodiscard]] const shared_upstream* best() const noexcept
    {
        return m_best;
    }

    [[nodiscard]] const completion_estimate& expected() const noexcept
    {
        return m_expected;
    }

    [[nodiscard]] bool is_rerouted() const noexcept
    {
        return m_plain_time > scaled(m_expected.total(), 1.0 + jitter);
    }

  private:
    /// order of candidates without an estimate
    struct plain_order
    {
        bool m_is_far{false};
        double m_attempts_per_slot{0.0};

        friend auto operator<=>(const plain_order&, const plain_order&) = default;
    };

    const shared_upstream* m_best{nullptr};
    duration m_best_time{duration::max()};
    completion_estimate m_expected;
    plain_order m_plain_order;
    duration m_plain_time{duration::max()};
};

} // namespace

void upstream_directory::on_notice(upstream& from, const upstream_notice& notice, time_point now)
{
    if (notice.m_load)
    {
        from.on_load(*notice.m_load, now);
    }
    if (!notice.is_request())
    {
        return;
    }
    instance_state& state = m_instance_states[from.entry().m_instance];
    const bool is_same_process = state.m_incarnation == from.entry().m_incarnation;
    if (notice.m_is_leaving)
    {
        from.set_announced_shutdown();
        state.m_has_announced_shutdown = state.m_has_announced_shutdown || is_same_process;
    }
    if (notice.m_pause)
    {
        const time_point until = now + std::min(*notice.m_pause, longest_pause);
        from.pause_until(std::max(from.paused_until(), until));
        state.m_paused_until = is_same_process ? from.paused_until() : state.m_paused_until;
    }
}

std::optional<time_point> upstream_directory::end_of_pause(const std::string& service, time_point now) const
{
    std::optional<time_point> result;
    for (const shared_upstream& each : upstreams_of(service))
    {
        if (may_receive(*each) && each->is_paused(now))
        {
            result = std::min(result.value_or(time_point::max()), each->paused_until());
        }
    }
    return result;
}

void upstream_directory::set_evacuated(std::set<std::string> data_centres)
{
    if (data_centres == m_evacuated)
    {
        return;
    }
    m_evacuated = std::move(data_centres);
    m_common_version = ++m_version;
}

std::uint64_t upstream_directory::version_of(const std::string& service) const
{
    const auto known = m_service_versions.find(service);
    return known == m_service_versions.end() ? m_common_version : std::max(m_common_version, known->second);
}

void upstream_directory::count_change(const std::string& service)
{
    // entries may name ever new services
    if (m_service_versions.size() > max_versions_per_service * m_by_service.size() + min_versions)
    {
        m_service_versions.clear();
        m_common_version = ++m_version;
    }
    m_service_versions[service] = ++m_version;
}

std::span<const shared_upstream> upstream_directory::upstreams_of(const std::string& service) const
{
    const auto group = m_by_service.find(service);
    return group == m_by_service.end() ? std::span<const shared_upstream>{} : group->second;
}

bool upstream_directory::may_receive(const upstream& candidate) const
{
    return !candidate.is_leaving() && m_evacuated.count(candidate.entry().m_data_centre) == 0;
}

std::variant<upstream_choice, no_upstream>
upstream_directory::choose(const std::string& service, const work_estimate& work,
                           std::span<const shared_upstream> tried, const capacity_check& has_capacity,
                           random_source& random, time_point now) const
{
    candidate_selection selection;
    candidate_selection without_share;
    no_upstream failure = no_upstream::none_known;
    for (const shared_upstream& candidate : upstreams_of(service))
    {
        if (!may_receive(*candidate) || candidate->is_ejected(now))
        {
            continue;
        }
        if (contains(tried, candidate))
        {
            failure = failure == no_upstream::none_known ? no_upstream::all_tried : failure;
            continue;
        }
        if (candidate->is_paused(now))
        {
            failure = failure == no_upstream::all_busy ? failure : no_upstream::all_paused;
            continue;
        }
        if (!candidate->is_below_ramp_up_limit(now) || !has_capacity(*candidate))
        {
            failure = no_upstream::all_busy;
            continue;
        }
        const completion_estimate expected =
            expected_completion(*candidate, work, m_distances, m_has_connection, now);
        candidate_selection& group_of = has_share(*candidate) ? selection : without_share;
        group_of.add(candidate, expected, m_distances.is_own(candidate->entry().m_data_centre), random);
    }
    const bool is_far_better =
        selection.best() != nullptr && without_share.best() != nullptr &&
        without_share.expected().total() * min_gain_without_share < selection.expected().total();
    const candidate_selection& preferred =
        selection.best() == nullptr || is_far_better ? without_share : selection;
    if (preferred.best() == nullptr)
    {
        return failure;
    }
    return upstream_choice{*preferred.best(), work, preferred.expected(), preferred.is_rerouted()};
}

std::optional<completion_estimate>
upstream_directory::expected_wait(const std::string& service, const work_estimate& work, time_point now) const
{
    std::optional<completion_estimate> result;
    for (const shared_upstream& each : upstreams_of(service))
    {
        if (!is_candidate(*each, now))
        {
            continue;
        }
        const completion_estimate expected =
            expected_completion(*each, work, m_distances, m_has_connection, now);
        if (!result || expected.total() < result->total())
        {
            result = expected;
        }
    }
    return result;
}

bool upstream_directory::is_candidate(const upstream& each, time_point now) const
{
    return may_receive(each) && !each.is_ejected(now) && !each.is_paused(now);
}

bool upstream_directory::has_candidates(const std::string& service, time_point now) const
{
    const std::span<const shared_upstream> listed = upstreams_of(service);
    return std::any_of(listed.begin(), listed.end(),
                       [this, now](const shared_upstream& each) { return is_candidate(*each, now); });
}

} // namespace teasellead::forwarding
