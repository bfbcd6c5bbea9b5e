#include <algorithm>
#include <array>
#include <utility>

#include "teasellead/forwarding/crash_guard.hpp"

namespace teasellead::forwarding
{

namespace
{

using std::chrono::milliseconds;

constexpr duration first_trial_pause = std::chrono::seconds{2};
constexpr duration longest_trial_pause = std::chrono::seconds{4};
// pauses before the first and second trial of a refused request; there are no more
constexpr std::array<duration, 2> refused_trial_pauses{std::chrono::seconds{30}, std::chrono::minutes{10}};
constexpr milliseconds longest_retry_after = std::chrono::minutes{10};

} // namespace

crash_check crash_guard::check(const std::string& fingerprint, trial_id id, const std::string& trial_service,
                               time_point now)
{
    if (!is_restricted(fingerprint))
    {
        return attempt_allowed{};
    }
    const known_request& request = m_requests.at(fingerprint);
    const bool is_refused = request.m_restriction == request_restriction::refused;
    const milliseconds wait = until_next_trial(request, now);
    if (wait > milliseconds::zero())
    {
        return attempt_denied{is_refused, wait};
    }
    const auto [known, is_new] = m_trials.try_emplace(id, trial{{id, fingerprint, trial_service}});
    if (is_new)
    {
        m_requested.push_back(known->second.m_request);
    }
    switch (known->second.m_state)
    {
    case trial_state::granted:
        return trial_allowed{};
    case trial_state::denied:
        return attempt_denied{is_refused, known->second.m_retry_after};
    case trial_state::requested:
        break;
    }
    return trial_pending{};
}

milliseconds crash_guard::until_next_trial(const known_request& request, time_point now) const
{
    const auto next = next_trial_of(request);
    if (!next)
    {
        return longest_retry_after;
    }
    return std::chrono::ceil<milliseconds>(std::max(*next - now, duration::zero()));
}

std::optional<time_point> crash_guard::next_trial_of(const known_request& request)
{
    const crash_record& record = request.m_record;
    if (request.m_restriction == request_restriction::refused)
    {
        if (record.m_trials_since_refusal >= refused_trial_pauses.size())
        {
            return std::nullopt;
        }
        return request.m_last_trial + refused_trial_pauses.at(record.m_trials_since_refusal);
    }
    const std::size_t trials = isolated_losses(record);
    if (trials == 0)
    {
        return time_point{};
    }
    return request.m_last_trial + (trials == 1 ? first_trial_pause : longest_trial_pause);
}

std::optional<time_point> crash_guard::next_trial(const std::string& fingerprint) const
{
    const auto found = m_requests.find(fingerprint);
    return found == m_requests.end() ? time_point{} : next_trial_of(found->second);
}

void crash_guard::count_trial(const std::string& fingerprint, time_point now)
{
    const auto found = m_requests.find(fingerprint);
    if (found != m_requests.end() && found->second.m_restriction == request_restriction::refused)
    {
        ++found->second.m_record.m_trials_since_refusal;
        found->second.m_last_trial = now;
        m_locally_changed.push_back(fingerprint);
        m_changed.push_back(fingerprint);
    }
}

void crash_guard::end_trial(trial_id id)
{
    const auto found = m_trials.find(id);
    if (found != m_trials.end())
    {
        if (found->second.m_state != trial_state::denied)
        {
            m_ended_trials.push_back(found->second.m_request);
        }
        m_trials.erase(found);
    }
}

void crash_guard::on_trial_reply(trial_id id, bool is_granted, milliseconds retry_after)
{
    const auto found = m_trials.find(id);
    if (found != m_trials.end())
    {
        found->second.m_state = is_granted ? trial_state::granted : trial_state::denied;
        found->second.m_retry_after = retry_after;
    }
}

std::vector<requested_trial> crash_guard::take_requested_trials()
{
    return std::exchange(m_requested, {});
}

std::vector<requested_trial> crash_guard::take_ended_trials()
{
    return std::exchange(m_ended_trials, {});
}

} // namespace teasellead::forwarding
