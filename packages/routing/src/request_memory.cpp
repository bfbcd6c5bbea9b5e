#include "teasellead/routing/request_memory.hpp"

#include <algorithm>
#include <mutex>

namespace teasellead
{

std::string_view to_string(admission_error error) noexcept
{
    switch (error)
    {
    case admission_error::expired:
        return "expired";
    case admission_error::other_request:
        return "other_request";
    case admission_error::memory_full:
        return "memory_full";
    case admission_error::too_many_waiters:
        return "too_many_waiters";
    }
    return "expired";
}

request_memory::request_memory(request_memory_settings settings) : m_settings(settings)
{
}

request_admission request_memory::admit(const own_request_id& id, std::string_view fingerprint,
                                        response_listener on_response, time_point now)
{
    const std::scoped_lock lock{m_mutex};
    remove_expired(now);
    const auto known = m_entries.find(id.sequence());
    if (known != m_entries.end())
    {
        return admit_repeat(known->second, fingerprint, std::move(on_response));
    }
    // `now` may be earlier than the time up to which entries were removed
    if (m_latest_time >= id.expires())
    {
        return admission_refused{admission_error::expired, verdict::may_have_run};
    }
    if (m_requests >= m_settings.max_requests())
    {
        return refuse_at_capacity(id);
    }
    entry& added = m_entries[id.sequence()];
    added.m_fingerprint = fingerprint;
    m_expiries.emplace(id.expires(), id.sequence());
    ++m_requests;
    return request_admitted{};
}

bool request_memory::was_refused_at_capacity(const entry& known)
{
    return known.m_refusal && known.m_response == nullptr;
}

bool request_memory::is_running(const entry& known)
{
    return !known.m_refusal && known.m_response == nullptr;
}

request_admission request_memory::admit_repeat(entry& known, std::string_view fingerprint,
                                               response_listener on_response)
{
    if (was_refused_at_capacity(known))
    {
        return admission_refused{admission_error::memory_full, verdict::not_run};
    }
    if (known.m_fingerprint != fingerprint)
    {
        return admission_refused{admission_error::other_request, verdict::not_run};
    }
    if (known.m_response != nullptr)
    {
        if (known.m_body_dropped)
        {
            return answer_dropped{known.m_response->verdict()};
        }
        return request_ended{known.m_response};
    }
    if (known.m_waiters.size() >= m_settings.max_waiters())
    {
        return admission_refused{admission_error::too_many_waiters, verdict::may_have_run};
    }
    if (on_response)
    {
        known.m_waiters.push_back(std::move(on_response));
    }
    return request_running{};
}

request_admission request_memory::refuse_at_capacity(const own_request_id& id)
{
    // unless the id is recorded as refused, a copy of the request could run later
    if (m_refusals >= m_settings.max_refusals())
    {
        return admission_refused{admission_error::memory_full, verdict::may_have_run};
    }
    m_entries[id.sequence()].m_refusal = true;
    m_expiries.emplace(id.expires(), id.sequence());
    ++m_refusals;
    return admission_refused{admission_error::memory_full, verdict::not_run};
}

void request_memory::remove_expired(time_point now)
{
    m_latest_time = std::max(m_latest_time, now);
    while (!m_expiries.empty() && m_expiries.begin()->first <= m_latest_time)
    {
        const auto position = m_entries.find(m_expiries.begin()->second);
        m_expiries.erase(m_expiries.begin());
        if (is_running(position->second))
        {
            position->second.m_expired = true;
        }
        else
        {
            remove(position);
        }
    }
}

void request_memory::remove(entries::iterator position)
{
    --(position->second.m_refusal ? m_refusals : m_requests);
    m_entries.erase(position);
}

void request_memory::store_response(entry& ended, final_response response)
{
    ended.m_body_dropped = response.body().size() > m_settings.max_body_size();
    if (ended.m_body_dropped)
    {
        response = final_response{response.status(), {}, response.verdict(), response.retry_after()};
    }
    const bool counts_as_refusal =
        response.verdict() == verdict::not_run && m_refusals < m_settings.max_refusals();
    if (counts_as_refusal)
    {
        ended.m_refusal = true;
        ++m_refusals;
        --m_requests;
    }
    ended.m_response = std::make_shared<const final_response>(std::move(response));
}

void request_memory::complete(const own_request_id& id, final_response response)
{
    std::vector<response_listener> waiters;
    {
        const std::scoped_lock lock{m_mutex};
        const auto position = m_entries.find(id.sequence());
        if (position == m_entries.end() || was_refused_at_capacity(position->second))
        {
            return;
        }
        entry& known = position->second;
        const bool is_late = known.m_response != nullptr;
        const bool resolves_outcome = is_late && known.m_response->verdict() == verdict::may_have_run &&
                                      response.verdict() == verdict::ran;
        if (is_late && !resolves_outcome)
        {
            return;
        }
        waiters = std::exchange(known.m_waiters, {});
        store_response(known, response);
        if (known.m_expired)
        {
            remove(position);
        }
    }
    for (const response_listener& waiter : waiters)
    {
        waiter(response);
    }
}

std::size_t request_memory::requests() const
{
    const std::scoped_lock lock{m_mutex};
    return m_requests;
}

std::size_t request_memory::refusals() const
{
    const std::scoped_lock lock{m_mutex};
    return m_refusals;
}

} // namespace teasellead
