#include "teasellead/fleet/text_fetcher.hpp"

#include <algorithm>

namespace teasellead
{

namespace
{

// largest number of hosts of a data centre that send their requests without a random delay
constexpr std::size_t max_undelayed_hosts = 16;
// increase of the largest random delay for each host of the data centre
constexpr std::chrono::milliseconds delay_per_host{1};

} // namespace

void text_fetcher::add_holder(const endpoint& peer, revision_number number)
{
    m_holders[peer] = number;
}

void text_fetcher::remove_holder(const endpoint& peer)
{
    m_holders.erase(peer);
}

void text_fetcher::retry_now(time_point now) noexcept
{
    m_next_request = now;
}

void text_fetcher::delay_request(std::size_t hosts, time_point now, random_source& random)
{
    if (hosts <= max_undelayed_hosts)
    {
        return;
    }
    const duration longest = delay_per_host * static_cast<std::int64_t>(hosts);
    m_next_request = now + std::chrono::duration_cast<duration>(longest * random.unit());
}

void text_fetcher::on_adopted(revision_number number)
{
    m_wants_full_text = false;
    std::erase_if(m_holders, [number](const auto& holder) { return holder.second <= number; });
    m_asked.reset();
    m_next_request = time_point{};
}

std::vector<outgoing_message> text_fetcher::request(revision_number current_number,
                                                    const std::vector<listed_host>& local_hosts,
                                                    time_point now, random_source& random)
{
    if (now < m_next_request)
    {
        return {};
    }
    if (m_asked)
    {
        // the peer didn't reply in time; its next hello makes it a holder again
        m_holders.erase(*m_asked);
        m_asked.reset();
    }
    m_asked = choose(local_hosts, random);
    if (!m_asked)
    {
        return {};
    }
    const revision_number base = m_wants_full_text ? 0 : current_number;
    m_next_request = now + (base == 0 ? m_settings.m_text_timeout : m_settings.m_delta_timeout);
    return {{*m_asked, revision_request{base, 0}}};
}

std::optional<endpoint> text_fetcher::choose(const std::vector<listed_host>& local_hosts,
                                             random_source& random) const
{
    revision_number highest = 0;
    for (const auto& [address, number] : m_holders)
    {
        highest = std::max(highest, number);
    }
    std::vector<endpoint> inside;
    std::vector<endpoint> outside;
    for (const auto& [address, number] : m_holders)
    {
        const auto is_same = [&holder = address](const listed_host& host)
        {
            return host.peer() == holder;
        };
        const bool is_local = std::any_of(local_hosts.begin(), local_hosts.end(), is_same);
        if (number == highest)
        {
            (is_local ? inside : outside).push_back(address);
        }
    }
    const std::vector<endpoint>& choice = inside.empty() ? outside : inside;
    return choice.empty() ? std::nullopt : std::optional{choice[random.below(choice.size())]};
}

} // namespace teasellead
