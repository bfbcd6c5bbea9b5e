#include "teasellead/forwarding/crash_guard.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace teasellead::forwarding
{

namespace
{

constexpr std::size_t max_requests = 1024;
constexpr duration record_lifetime = std::chrono::minutes{10};
constexpr duration cleared_lifetime = std::chrono::minutes{1};
// A reply to an attempt started within this time after a loss shows that the process survived: a process that
// ended can't have been replaced so soon under the same instance name.
constexpr duration survival_window = std::chrono::seconds{1};
// replies to such attempts are evaluated until this time after the end of survival_window
constexpr duration survival_reply_timeout = std::chrono::seconds{5};
// after the end of an upstream's process, its entry is removed or replaced within this time
constexpr duration end_detection_time = std::chrono::seconds{15};
} // namespace

bool crash_guard::is_restricted(const std::string& fingerprint) const
{
    if (m_requests.empty())
    {
        return false;
    }
    const auto found = m_requests.find(fingerprint);
    return found != m_requests.end() && found->second.m_restriction != request_restriction::clear;
}

bool crash_guard::has_loss_at(const std::string& fingerprint, const std::string& service) const
{
    const crash_record* const record = find(fingerprint);
    return record != nullptr &&
           std::any_of(record->m_losses.begin(), record->m_losses.end(),
                       [&service](const upstream_loss& each) { return each.m_service == service; });
}

crash_guard::known_request& crash_guard::find_or_insert(const std::string& fingerprint, time_point now)
{
    const auto found = m_requests.find(fingerprint);
    if (found != m_requests.end())
    {
        return found->second;
    }
    if (m_requests.size() >= max_requests)
    {
        evict_one();
    }
    known_request& added = m_requests[fingerprint];
    added.m_record.m_fingerprint = fingerprint;
    added.m_changed = now;
    return added;
}

/// removes one record: a clear one before an isolated one before a refused one, then the least recently
/// changed
void crash_guard::evict_one()
{
    const auto oldest =
        std::min_element(m_requests.begin(), m_requests.end(),
                         [](const auto& lhs, const auto& rhs)
                         {
                             return std::pair{lhs.second.m_restriction, lhs.second.m_changed} <
                                    std::pair{rhs.second.m_restriction, rhs.second.m_changed};
                         });
    m_requests.erase(oldest);
}

void crash_guard::on_lost(const std::string& fingerprint, const std::string& service,
                          const upstream_process& process, bool in_isolation, time_point now)
{
    if (fingerprint.empty())
    {
        return;
    }
    known_request& request = find_or_insert(fingerprint, now);
    const std::size_t isolated_before = isolated_losses(request.m_record);
    crash_record observed{fingerprint, request.m_record.m_epoch, 0, {{service, process, in_isolation}}};
    m_watched_until = now + survival_window + survival_reply_timeout;
    if (merge(request.m_record, observed))
    {
        m_locally_changed.push_back(fingerprint);
        on_change(request, isolated_before, now);
    }
}

void crash_guard::on_reply(const std::string& fingerprint, const std::string& service,
                           const upstream_process& process, time_point began, time_point now)
{
    if (m_requests.empty())
    {
        return;
    }
    on_process_alive(process, began, now);
    const auto found = m_requests.find(fingerprint);
    if (found != m_requests.end() && has_loss_at(fingerprint, service))
    {
        m_locally_changed.push_back(fingerprint);
        clear(found->second, now);
    }
}

void crash_guard::on_process_alive(const upstream_process& process, time_point began, time_point now)
{
    if (now > m_watched_until)
    {
        return;
    }
    for (auto& [fingerprint, request] : m_requests)
    {
        const std::size_t isolated_before = isolated_losses(request.m_record);
        for (std::size_t i = 0; i < request.m_record.m_losses.size(); ++i)
        {
            upstream_loss& loss = request.m_record.m_losses[i];
            const time_point lost_at = request.m_lost_at[i];
            const bool is_soon = began > lost_at && began <= lost_at + survival_window;
            if (loss.m_process == process && !loss.m_is_disregarded && is_soon)
            {
                loss.m_is_disregarded = true;
                m_locally_changed.push_back(fingerprint);
                on_change(request, isolated_before, now);
            }
        }
    }
}

void crash_guard::on_ended(const upstream_process& process, time_point now)
{
    for (auto& [fingerprint, request] : m_requests)
    {
        for (std::size_t i = 0; i < request.m_record.m_losses.size(); ++i)
        {
            upstream_loss& loss = request.m_record.m_losses[i];
            const bool is_soon = now <= request.m_lost_at[i] + end_detection_time;
            if (loss.m_process == process && !loss.m_has_ended && is_soon)
            {
                loss.m_has_ended = true;
                on_change(request, isolated_losses(request.m_record), now);
            }
        }
    }
}

void crash_guard::clear(known_request& request, time_point now)
{
    ++request.m_record.m_epoch;
    request.m_record.m_losses.clear();
    request.m_record.m_trials_since_refusal = 0;
    on_change(request, 0, now);
}

void crash_guard::on_change(known_request& request, std::size_t isolated_before, time_point now)
{
    const crash_record& record = request.m_record;
    request.m_lost_at.resize(record.m_losses.size(), now);
    request.m_changed = now;
    if (isolated_losses(record) > isolated_before)
    {
        request.m_last_trial = now;
    }
    if (request.m_first_loss == time_point{})
    {
        request.m_first_loss = now;
    }
    m_changed.push_back(record.m_fingerprint);
    update_restriction(request, now);
    if (record.m_losses.empty())
    {
        request.m_first_loss = time_point{};
    }
    disregard_explained_losses(now);
}

void crash_guard::update_restriction(known_request& request, time_point now)
{
    const crash_record& record = request.m_record;
    const request_restriction restriction = restriction_of(record);
    if (restriction == request.m_restriction)
    {
        return;
    }
    request.m_restriction = restriction;
    request.m_was_shared = true;
    request.m_last_trial = restriction == request_restriction::refused ? now : request.m_last_trial;
    m_restriction_changes.push_back({record.m_fingerprint, restriction, record.m_losses.size(),
                                     ended_losses(record), isolated_losses(record),
                                     now - request.m_first_loss});
}

void crash_guard::disregard_explained_losses(time_point now)
{
    std::set<upstream_process> ended_by_refused;
    for (const auto& [fingerprint, request] : m_requests)
    {
        if (request.m_restriction == request_restriction::refused)
        {
            for (const upstream_loss& loss : request.m_record.m_losses)
            {
                ended_by_refused.insert(loss.m_process);
            }
        }
    }
    if (ended_by_refused.empty())
    {
        return;
    }
    for (auto& [fingerprint, request] : m_requests)
    {
        if (request.m_restriction == request_restriction::refused)
        {
            continue;
        }
        for (upstream_loss& loss : request.m_record.m_losses)
        {
            if (!loss.m_is_disregarded && ended_by_refused.count(loss.m_process) > 0)
            {
                loss.m_is_disregarded = true;
                m_changed.push_back(fingerprint);
                update_restriction(request, now);
            }
        }
    }
}

void crash_guard::on_tick(time_point now)
{
    std::erase_if(m_requests,
                  [now](const auto& each)
                  {
                      const known_request& request = each.second;
                      const duration lifetime =
                          request.m_record.m_losses.empty() ? cleared_lifetime : record_lifetime;
                      return request.m_restriction != request_restriction::refused &&
                             now - request.m_changed > lifetime;
                  });
}

std::size_t crash_guard::lift(std::string_view digits, time_point now)
{
    std::size_t lifted = 0;
    for (auto& [fingerprint, request] : m_requests)
    {
        if (request.m_restriction != request_restriction::clear && fingerprint.starts_with(digits))
        {
            m_locally_changed.push_back(fingerprint);
            clear(request, now);
            ++lifted;
        }
    }
    return lifted;
}

void crash_guard::merge_record(const crash_record& record, time_point now)
{
    if (record.m_losses.empty() && m_requests.count(record.m_fingerprint) == 0)
    {
        return;
    }
    known_request& request = find_or_insert(record.m_fingerprint, now);
    const std::size_t isolated_before =
        record.m_epoch > request.m_record.m_epoch ? 0 : isolated_losses(request.m_record);
    if (record.m_epoch > request.m_record.m_epoch)
    {
        request.m_lost_at.clear();
    }
    const std::uint32_t late_before = request.m_record.m_trials_since_refusal;
    if (merge(request.m_record, record))
    {
        request.m_last_trial =
            request.m_record.m_trials_since_refusal > late_before ? now : request.m_last_trial;
        on_change(request, isolated_before, now);
    }
}

const crash_record* crash_guard::find(const std::string& fingerprint) const
{
    const auto found = m_requests.find(fingerprint);
    return found == m_requests.end() ? nullptr : &found->second.m_record;
}

std::vector<std::string> crash_guard::take_locally_changed()
{
    return std::exchange(m_locally_changed, {});
}

void crash_guard::mark_changed(const std::string& fingerprint)
{
    m_locally_changed.push_back(fingerprint);
    m_changed.push_back(fingerprint);
}

std::vector<std::string> crash_guard::fingerprints() const
{
    std::vector<std::string> result;
    result.reserve(m_requests.size());
    for (const auto& [fingerprint, request] : m_requests)
    {
        result.push_back(fingerprint);
    }
    return result;
}

std::vector<std::string> crash_guard::take_changed()
{
    return std::exchange(m_changed, {});
}

std::vector<restriction_change> crash_guard::take_restriction_changes()
{
    return std::exchange(m_restriction_changes, {});
}

std::vector<crash_record> crash_guard::shared_records() const
{
    std::vector<crash_record> result;
    for (const auto& [fingerprint, request] : m_requests)
    {
        if (request.m_was_shared)
        {
            result.push_back(request.m_record);
        }
    }
    return result;
}

bool crash_guard::is_shared(const std::string& fingerprint) const
{
    const auto found = m_requests.find(fingerprint);
    return found != m_requests.end() && found->second.m_was_shared;
}

std::size_t crash_guard::count(request_restriction restriction) const
{
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(),
                                                  [restriction](const auto& each)
                                                  { return each.second.m_restriction == restriction; }));
}

} // namespace teasellead::forwarding
