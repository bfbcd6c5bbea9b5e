#include "teasellead/fleet/token_sources.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

using std::chrono::milliseconds;

// time after which a hint about the holder is no longer used
constexpr milliseconds holder_lifetime{2000};
// number of nodes of a data centre that are kept as candidates
constexpr std::size_t max_asked = 2;

} // namespace

void token_sources::on_members(const remote_members& others)
{
    if (others.version() == m_members_version)
    {
        return;
    }
    m_members_version = others.version();
    for (known_source& each : m_sources)
    {
        each.m_nodes.clear();
    }
    // known data centres keep their index, to which a pending call may refer
    for (data_centre_nodes& each : others.preferred(m_key, max_asked))
    {
        const auto known = std::find_if(m_sources.begin() + 1, m_sources.end(),
                                        [&each](const known_source& old)
                                        { return old.m_data_centre == each.m_data_centre; });
        known_source& updated = known != m_sources.end() ? *known : m_sources.emplace_back();
        updated.m_data_centre = each.m_data_centre;
        updated.m_nodes = std::move(each.m_nodes);
    }
}

bool token_sources::is_available(index source, time_point now) const
{
    const auto& wanted = m_sources[source];
    const bool has_nodes = source == local || !wanted.m_nodes.empty();
    return has_nodes && now >= wanted.m_refused_until && now >= wanted.m_silent_until;
}

std::optional<token_sources::index> token_sources::next(bool skips_local, time_point now) const
{
    for (index each = skips_local ? 1 : 0; each < m_sources.size(); ++each)
    {
        if (is_available(each, now))
        {
            return each;
        }
    }
    return skips_local && is_available(local, now) ? std::optional<index>{local} : std::nullopt;
}

endpoint token_sources::target(index source, time_point now) const
{
    const auto& wanted = m_sources[source];
    return wanted.m_holder && now < wanted.m_holder_until ? *wanted.m_holder : wanted.m_nodes.front();
}

void token_sources::on_holder_hint(index source, const endpoint& holder, time_point now)
{
    if (source < m_sources.size())
    {
        m_sources[source].m_holder = holder;
        m_sources[source].m_holder_until = now + holder_lifetime;
    }
}

void token_sources::on_refusal(index source, time_point ask_again_at, time_point retry_at) noexcept
{
    if (source < m_sources.size())
    {
        m_sources[source].m_refused_until = ask_again_at;
        m_sources[source].m_retry_at = retry_at;
    }
}

void token_sources::on_silence(index source, time_point until) noexcept
{
    if (source < m_sources.size())
    {
        auto& silent = m_sources[source];
        silent.m_silent_until = until;
        silent.m_holder.reset();
        // the second candidate is asked next, and knows the holder if it isn't the first
        std::reverse(silent.m_nodes.begin(), silent.m_nodes.end());
    }
}

time_point token_sources::retry_at(time_point now) const
{
    time_point result = time_point::max();
    for (const known_source& each : m_sources)
    {
        const time_point retry_at = std::max(each.m_retry_at, each.m_silent_until);
        result = retry_at > now ? std::min(result, retry_at) : result;
    }
    return result == time_point::max() ? now : result;
}

} // namespace teasellead
