#include "teasellead/forwarding/crash_record.hpp"

#include <algorithm>
#include <set>

namespace teasellead::forwarding
{

namespace
{

constexpr std::size_t losses_to_isolate = 2;
constexpr std::size_t ended_losses_to_refuse = 3;
constexpr std::size_t isolated_ended_losses_to_refuse = 2;
// a scatter to many shards may lose more upstreams at once
constexpr std::size_t max_losses = 32;
constexpr std::size_t max_losses_with_isolated = 64;

bool merge_flag(bool& known, bool other)
{
    const bool is_changed = other && !known;
    known = known || other;
    return is_changed;
}

bool merge(upstream_loss& known, const upstream_loss& other)
{
    const bool is_isolation_new = merge_flag(known.m_in_isolation, other.m_in_isolation);
    const bool is_end_new = merge_flag(known.m_has_ended, other.m_has_ended);
    const bool is_disregard_new = merge_flag(known.m_is_disregarded, other.m_is_disregarded);
    return is_isolation_new || is_end_new || is_disregard_new;
}

} // namespace

std::size_t isolated_losses(const crash_record& record)
{
    return static_cast<std::size_t>(std::count_if(record.m_losses.begin(), record.m_losses.end(),
                                                  [](const upstream_loss& each)
                                                  { return each.m_in_isolation && !each.m_is_disregarded; }));
}

std::size_t ended_losses(const crash_record& record)
{
    return static_cast<std::size_t>(std::count_if(record.m_losses.begin(), record.m_losses.end(),
                                                  [](const upstream_loss& each)
                                                  { return each.m_has_ended && !each.m_is_disregarded; }));
}

request_restriction restriction_of(const crash_record& record)
{
    std::set<upstream_process> lost;
    std::size_t isolated_ends = 0;
    for (const upstream_loss& each : record.m_losses)
    {
        if (!each.m_is_disregarded)
        {
            lost.insert(each.m_process);
            isolated_ends += each.m_in_isolation && each.m_has_ended ? 1 : 0;
        }
    }
    if (isolated_ends >= isolated_ended_losses_to_refuse && ended_losses(record) >= ended_losses_to_refuse)
    {
        return request_restriction::refused;
    }
    return lost.size() >= losses_to_isolate ? request_restriction::isolated : request_restriction::clear;
}

bool merge(crash_record& known, const crash_record& other)
{
    if (other.m_epoch != known.m_epoch)
    {
        const bool is_newer = other.m_epoch > known.m_epoch;
        if (is_newer)
        {
            known = other;
        }
        return is_newer;
    }
    bool is_changed = other.m_trials_since_refusal > known.m_trials_since_refusal;
    known.m_trials_since_refusal = std::max(known.m_trials_since_refusal, other.m_trials_since_refusal);
    for (const upstream_loss& each : other.m_losses)
    {
        const auto found =
            std::find_if(known.m_losses.begin(), known.m_losses.end(),
                         [&each](const upstream_loss& loss) { return loss.m_process == each.m_process; });
        if (found != known.m_losses.end())
        {
            is_changed = merge(*found, each) || is_changed;
        }
        else if (known.m_losses.size() < (each.m_in_isolation ? max_losses_with_isolated : max_losses))
        {
            known.m_losses.push_back(each);
            is_changed = true;
        }
    }
    return is_changed;
}

} // namespace teasellead::forwarding
