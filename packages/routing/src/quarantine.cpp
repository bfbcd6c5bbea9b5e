#include "teasellead/routing/quarantine.hpp"

#include <algorithm>
#include <mutex>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

constexpr std::uint32_t losses_to_refuse = 2;

std::chrono::milliseconds milliseconds_until(time_point expires, time_point now)
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(expires - now, duration::zero()));
}

template <class Value>
bool contains(const std::vector<Value>& values, const Value& value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

template <class Value>
void add_once(std::vector<Value>& values, const Value& value)
{
    if (!contains(values, value))
    {
        values.push_back(value);
    }
}

} // namespace

shard_key key_of(const shard_target& target)
{
    const std::uint64_t service = hash64(target.service().name());
    return shard_key{hash64(target.shard().name(), service)};
}

quarantine::quarantine(quarantine_settings settings)
    : m_settings(settings), m_suspicions(settings.max_suspicions()), m_refusals(settings.max_refusals())
{
}

quarantine_check quarantine::check(const std::string& fingerprint, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    remove_expired(now);
    const refusal* const refused = m_refusals.find(fingerprint);
    if (refused == nullptr)
    {
        return request_allowed{};
    }
    return request_quarantined{refused->m_lost_upstreams,
                               milliseconds_until(m_refusals.expires(fingerprint), now)};
}

void quarantine::on_attempt_started(const endpoint& upstream, shard_key shard, const std::string& fingerprint)
{
    const std::scoped_lock lock{m_mutex};
    m_running[upstream].push_back({fingerprint, shard, m_event, false});
}

void quarantine::on_attempt_ended(const endpoint& upstream, shard_key shard, const std::string& fingerprint,
                                  attempt_end end, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    remove_expired(now);
    const auto found = m_running.find(upstream);
    if (found == m_running.end())
    {
        return;
    }
    std::vector<running_attempt>& running = found->second;
    // attempts are stored in the order of their starts, so a lost one precedes those started after the loss
    const auto position =
        std::find_if(running.begin(), running.end(),
                     [&](const running_attempt& attempt)
                     { return attempt.m_shard == shard && attempt.m_fingerprint == fingerprint; });
    if (position == running.end())
    {
        return;
    }
    running.erase(position);
    if (running.empty())
    {
        m_running.erase(found);
    }
    if (end == attempt_end::replied)
    {
        on_replied(shard, fingerprint);
    }
}

void quarantine::on_replied(shard_key shard, const std::string& fingerprint)
{
    suspicion* const suspected = m_suspicions.find(fingerprint);
    if (suspected == nullptr || !contains(suspected->m_shards, shard))
    {
        return;
    }
    std::erase(suspected->m_shards, shard);
    if (suspected->m_shards.empty())
    {
        withdraw_suspicion(fingerprint);
    }
}

std::vector<quarantine::running_attempt> quarantine::mark_running_lost(const endpoint& upstream)
{
    std::vector<running_attempt> lost;
    const auto found = m_running.find(upstream);
    if (found == m_running.end())
    {
        return lost;
    }
    for (running_attempt& attempt : found->second)
    {
        if (!attempt.m_lost)
        {
            lost.push_back(attempt);
            attempt.m_lost = true;
        }
    }
    return lost;
}

bool quarantine::extend_refusals(const std::vector<running_attempt>& lost, time_point now)
{
    std::vector<std::string> extended;
    for (const running_attempt& attempt : lost)
    {
        const refusal* const refused = m_refusals.find(attempt.m_fingerprint);
        if (refused != nullptr && !contains(extended, attempt.m_fingerprint))
        {
            extended.push_back(attempt.m_fingerprint);
            add_refusal(attempt.m_fingerprint, refused->m_lost_upstreams + 1, attempt.m_shard, now);
        }
    }
    return !extended.empty();
}

bool quarantine::started_under_suspicion(const running_attempt& attempt)
{
    const suspicion* const suspected = m_suspicions.find(attempt.m_fingerprint);
    return suspected != nullptr && attempt.m_started >= suspected->m_first;
}

void quarantine::on_upstream_lost(const endpoint& upstream, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    remove_expired(now);
    const std::vector<running_attempt> lost = mark_running_lost(upstream);
    if (lost.empty() || extend_refusals(lost, now))
    {
        return;
    }
    std::vector<running_attempt> suspected;
    std::copy_if(lost.begin(), lost.end(), std::back_inserter(suspected),
                 [this](const running_attempt& attempt) { return started_under_suspicion(attempt); });
    ++m_event;
    for (const running_attempt& attempt : suspected.empty() ? lost : suspected)
    {
        if (suspected.empty())
        {
            add_suspicion(attempt, now);
        }
        else
        {
            add_refusal(attempt.m_fingerprint, losses_to_refuse, attempt.m_shard, now);
        }
    }
}

void quarantine::add_suspicion(const running_attempt& attempt, time_point now)
{
    const suspicion* const known = m_suspicions.find(attempt.m_fingerprint);
    suspicion next = known != nullptr ? *known : suspicion{m_event, {}, {}};
    add_once(next.m_losses, m_event);
    add_once(next.m_shards, attempt.m_shard);
    m_suspicions.put(attempt.m_fingerprint, std::move(next), now + m_settings.suspicion_term());
    queue_report(attempt.m_fingerprint, 1, m_settings.suspicion_term());
}

void quarantine::add_refusal(const std::string& fingerprint, std::uint32_t lost_upstreams, shard_key shard,
                             time_point now)
{
    remove_suspicion(fingerprint);
    const refusal* const known = m_refusals.find(fingerprint);
    refusal next = known != nullptr ? *known : refusal{};
    next.m_lost_upstreams = std::max(next.m_lost_upstreams, lost_upstreams);
    add_once(next.m_shards, shard);
    queue_report(fingerprint, next.m_lost_upstreams, m_settings.refusal_term());
    m_refusals.put(fingerprint, std::move(next), now + m_settings.refusal_term());
}

void quarantine::queue_report(const std::string& fingerprint, std::uint32_t lost_upstreams,
                              duration remaining)
{
    if (m_new_reports.size() < m_settings.max_suspicions() + m_settings.max_refusals())
    {
        m_new_reports.emplace_back(fingerprint, lost_upstreams,
                                   std::chrono::ceil<std::chrono::milliseconds>(remaining));
    }
}

/// removes the suspicion against a refused fingerprint and withdraws those that stem from the same losses
void quarantine::remove_suspicion(const std::string& fingerprint)
{
    const suspicion* const suspected = m_suspicions.find(fingerprint);
    if (suspected == nullptr)
    {
        return;
    }
    const std::vector<event_number> losses = suspected->m_losses;
    m_suspicions.erase(fingerprint);
    withdraw_suspicions_from(losses);
}

void quarantine::withdraw_suspicions_from(const std::vector<event_number>& losses)
{
    std::vector<std::string> cleared;
    m_suspicions.for_each(
        [&](const std::string& fingerprint, suspicion& suspected, time_point)
        {
            const auto is_withdrawn = [&losses](event_number loss)
            {
                return contains(losses, loss);
            };
            if (std::erase_if(suspected.m_losses, is_withdrawn) > 0 && suspected.m_losses.empty())
            {
                cleared.push_back(fingerprint);
            }
        });
    for (const std::string& fingerprint : cleared)
    {
        withdraw_suspicion(fingerprint);
    }
}

void quarantine::withdraw_suspicion(const std::string& fingerprint)
{
    m_suspicions.erase(fingerprint);
    queue_report(fingerprint, 0, duration::zero());
}

void quarantine::on_peer_report(const quarantine_report& report, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    remove_expired(now);
    if (report.lost_upstreams() >= losses_to_refuse)
    {
        apply_reported_refusal(report, now);
        return;
    }
    if (report.lost_upstreams() > 0)
    {
        apply_reported_suspicion(report, now);
        return;
    }
    const suspicion* const suspected = m_suspicions.find(report.fingerprint());
    const bool is_only_reported = suspected != nullptr && suspected->m_losses.empty();
    if (is_only_reported)
    {
        m_suspicions.erase(report.fingerprint());
    }
}

void quarantine::apply_reported_suspicion(const quarantine_report& report, time_point now)
{
    const std::string& fingerprint = report.fingerprint();
    if (m_refusals.find(fingerprint) != nullptr)
    {
        return;
    }
    const time_point reported_until =
        now + std::min<duration>(report.remaining(), m_settings.suspicion_term());
    if (const suspicion* const known = m_suspicions.find(fingerprint))
    {
        const time_point until = std::max(m_suspicions.expires(fingerprint), reported_until);
        m_suspicions.put(fingerprint, suspicion{*known}, until);
        return;
    }
    ++m_event;
    m_suspicions.put(fingerprint, suspicion{m_event, {}, {}}, reported_until);
}

void quarantine::apply_reported_refusal(const quarantine_report& report, time_point now)
{
    const std::string& fingerprint = report.fingerprint();
    remove_suspicion(fingerprint);
    const refusal* const known = m_refusals.find(fingerprint);
    refusal next = known != nullptr ? *known : refusal{};
    next.m_lost_upstreams = std::max(next.m_lost_upstreams, report.lost_upstreams());
    const time_point reported_until = now + std::min<duration>(report.remaining(), m_settings.refusal_term());
    const time_point known_until = known != nullptr ? m_refusals.expires(fingerprint) : reported_until;
    m_refusals.put(fingerprint, std::move(next), std::max(known_until, reported_until));
}

std::vector<quarantine_report> quarantine::take_reports()
{
    const std::scoped_lock lock{m_mutex};
    return std::exchange(m_new_reports, {});
}

std::vector<quarantine_report> quarantine::all_reports(time_point now)
{
    const std::scoped_lock lock{m_mutex};
    remove_expired(now);
    std::vector<quarantine_report> reports;
    reports.reserve(m_refusals.size() + m_suspicions.size());
    m_refusals.for_each(
        [&](const std::string& fingerprint, const refusal& refused, time_point expires)
        { reports.emplace_back(fingerprint, refused.m_lost_upstreams, milliseconds_until(expires, now)); });
    m_suspicions.for_each([&](const std::string& fingerprint, const suspicion&, time_point expires)
                          { reports.emplace_back(fingerprint, 1, milliseconds_until(expires, now)); });
    return reports;
}

void quarantine::remove_expired(time_point now)
{
    const auto suspect_again = [this](const std::string& fingerprint, const refusal& ended, time_point end)
    {
        m_suspicions.put(fingerprint, suspicion{m_event, {}, ended.m_shards},
                         end + m_settings.suspicion_term());
    };
    m_refusals.remove_expired(now, suspect_again);
    m_suspicions.remove_expired(now, [](const std::string&, const suspicion&, time_point) {});
}

std::size_t quarantine::suspicions() const
{
    const std::scoped_lock lock{m_mutex};
    return m_suspicions.size();
}

std::size_t quarantine::refusals() const
{
    const std::scoped_lock lock{m_mutex};
    return m_refusals.size();
}

} // namespace teasellead
