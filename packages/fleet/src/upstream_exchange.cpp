#include "teasellead/fleet/upstream_exchange.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace teasellead
{

namespace
{

using forwarding::observation_lifetime;
using std::chrono::milliseconds;

// part of a notice that is left to relayed observations
constexpr std::size_t relays_per_notice = 6;
// a node that passes each observation on once misses some of the others
constexpr std::size_t sends_per_relay = 3;
constexpr std::size_t max_queued_relays = 4 * relays_per_notice;
// with a fan-out of 3, four relays reach more nodes than a data centre has
constexpr std::uint32_t max_relays = 4;
// an upstream is relayed again only with an observation that is this much newer
constexpr duration relay_interval = milliseconds{250};
// added for the link, whose delay a receiver can't measure
constexpr duration age_per_hop = milliseconds{5};
constexpr duration rate_window = std::chrono::seconds{1};
constexpr std::size_t max_rejected = 64;
constexpr std::size_t max_logged_name = 64;

/// whether the figures of an observation are possible
bool is_possible(const observed_upstream& observed)
{
    const double ratio = observed.m_observation.m_failure_ratio;
    return ratio >= 0.0 && ratio <= 1.0 && observed.m_observation.m_age >= duration::zero() &&
           observed.m_relays <= max_relays;
}

} // namespace

std::string_view to_string(observation_fault fault) noexcept
{
    switch (fault)
    {
    case observation_fault::unknown_sender:
        return "unknown_sender";
    case observation_fault::too_frequent:
        return "too_frequent";
    case observation_fault::too_many:
        return "too_many";
    case observation_fault::unknown_upstream:
        return "unknown_upstream";
    case observation_fault::too_old:
        return "too_old";
    case observation_fault::out_of_range:
        return "out_of_range";
    }
    return "unknown";
}

void upstream_exchange::on_members(const std::vector<peer_status>& others)
{
    std::vector<endpoint> peers;
    for (const peer_status& each : others)
    {
        const bool takes_part = !each.m_is_unresponsive && !each.m_is_leaving;
        if (takes_part && each.m_data_centre == m_data_centre && each.m_address != m_self)
        {
            peers.push_back(each.m_address);
        }
    }
    std::sort(peers.begin(), peers.end());
    if (peers == m_peers)
    {
        return;
    }
    m_peers = std::move(peers);
    const auto has_gone = [this](const endpoint& each)
    {
        return !std::binary_search(m_peers.begin(), m_peers.end(), each);
    };
    std::erase_if(m_next_receivers, has_gone);
    std::erase_if(m_rates, [&](const auto& each) { return has_gone(each.first); });
}

bool upstream_exchange::may_send(const endpoint& sender, time_point now)
{
    sender_rate& rate = m_rates[sender];
    if (now - rate.m_since >= rate_window)
    {
        rate = {now, 0};
    }
    return ++rate.m_notices <= max_notices_per_s;
}

void upstream_exchange::reject(const endpoint& sender, observation_fault fault, const std::string& instance,
                               std::size_t count)
{
    m_counts.m_rejected[static_cast<std::size_t>(fault)] += count;
    const auto same = std::find_if(m_rejected.begin(), m_rejected.end(),
                                   [&](const rejected_observations& each)
                                   { return each.m_sender == sender && each.m_fault == fault; });
    if (same != m_rejected.end())
    {
        same->m_count += count;
    }
    else if (m_rejected.size() < max_rejected)
    {
        // a peer may name anything; a log line holds the beginning
        m_rejected.push_back({sender, fault, instance.substr(0, max_logged_name), count});
    }
}

void upstream_exchange::on_message(const endpoint& sender, const observation_notice& content, time_point now)
{
    const std::size_t size = content.m_observations.size();
    if (!std::binary_search(m_peers.begin(), m_peers.end(), sender))
    {
        reject(sender, observation_fault::unknown_sender, {}, size);
        return;
    }
    if (!may_send(sender, now))
    {
        reject(sender, observation_fault::too_frequent, {}, size);
        return;
    }
    if (size > max_observations)
    {
        reject(sender, observation_fault::too_many, {}, size - max_observations);
    }
    for (std::size_t index = 0; index < std::min(size, max_observations); ++index)
    {
        apply(sender, content.m_observations[index], now);
    }
}

void upstream_exchange::apply(const endpoint& sender, const observed_upstream& observed, time_point now)
{
    const std::string& instance = observed.m_process.m_instance;
    if (!is_possible(observed))
    {
        reject(sender, observation_fault::out_of_range, instance, 1);
        return;
    }
    if (observed.m_observation.m_age >= observation_lifetime)
    {
        reject(sender, observation_fault::too_old, instance, 1);
        return;
    }
    const forwarding::shared_upstream target = m_directory.find(instance);
    if (!target || target->process() != observed.m_process)
    {
        reject(sender, observation_fault::unknown_upstream, instance, 1);
        return;
    }
    observed_upstream next = observed;
    next.m_observation.m_age += age_per_hop;
    if (next.m_observation.m_load)
    {
        next.m_observation.m_load = forwarding::bounded(*next.m_observation.m_load);
    }
    ++m_counts.m_received;
    const bool is_direct = next.m_relays == 0;
    target->on_peer_observation(is_direct ? std::optional{sender} : std::nullopt, next.m_observation, now);
    queue_relay(next, *target, now);
}

void upstream_exchange::queue_relay(const observed_upstream& observed, const forwarding::upstream& target,
                                    time_point now)
{
    const time_point observed_at = now - observed.m_observation.m_age;
    const auto relayed = m_relayed.find(observed.m_process.m_instance);
    const bool is_known = relayed != m_relayed.end() && observed_at - relayed->second < relay_interval;
    // what this node has observed itself is sent anyway
    if (is_known || observed.m_relays >= max_relays || m_relays.size() >= max_queued_relays ||
        target.observation(now))
    {
        return;
    }
    m_relayed[observed.m_process.m_instance] = observed_at;
    m_relays.push_back({observed, observed_at});
    ++m_relays.back().m_observed.m_relays;
}

std::vector<observed_upstream> upstream_exchange::own_observations(random_source& random, time_point now)
{
    std::vector<observed_upstream> result;
    m_counts.m_in_trouble = 0;
    for (const auto& [instance, each] : m_directory.upstreams())
    {
        m_is_enabled = m_is_enabled || each->reports_load();
        if (const auto observation = each->observation(now))
        {
            m_counts.m_in_trouble += observation->m_trouble != forwarding::upstream_trouble::none ? 1 : 0;
            result.push_back({each->process(), *observation, 0});
        }
    }
    if (!m_is_enabled)
    {
        return {};
    }
    // if there are too many for one notice, each tick sends others
    std::shuffle(result.begin(), result.end(), random.engine());
    const std::size_t reserved = std::min(m_relays.size(), relays_per_notice);
    result.resize(std::min(result.size(), max_observations - reserved));
    return result;
}

void upstream_exchange::append_relays(std::vector<observed_upstream>& observations, time_point now)
{
    const auto is_finished = [now](const relay& each)
    {
        return each.m_sends == sends_per_relay || now - each.m_observed_at >= observation_lifetime;
    };
    std::erase_if(m_relays, is_finished);
    const std::size_t count = std::min(m_relays.size(), max_observations - observations.size());
    const auto end = m_relays.begin() + static_cast<std::ptrdiff_t>(count);
    for (auto each = m_relays.begin(); each != end; ++each)
    {
        ++each->m_sends;
        each->m_observed.m_observation.m_age = now - each->m_observed_at;
        observations.push_back(each->m_observed);
    }
    // the others come first next time
    std::rotate(m_relays.begin(), end, m_relays.end());
}

void upstream_exchange::forget_relays(time_point now)
{
    std::erase_if(m_relayed, [&](const auto& each) { return now - each.second >= observation_lifetime; });
}

std::vector<endpoint> upstream_exchange::next_receivers(random_source& random)
{
    std::vector<endpoint> result;
    while (result.size() < std::min(fanout, m_peers.size()))
    {
        if (m_next_receivers.empty())
        {
            m_next_receivers = m_peers;
            std::shuffle(m_next_receivers.begin(), m_next_receivers.end(), random.engine());
        }
        const endpoint next = m_next_receivers.back();
        m_next_receivers.pop_back();
        if (std::find(result.begin(), result.end(), next) == result.end())
        {
            result.push_back(next);
        }
    }
    return result;
}

std::vector<outgoing_message> upstream_exchange::on_tick(random_source& random, time_point now)
{
    forget_relays(now);
    std::vector<observed_upstream> observations = own_observations(random, now);
    append_relays(observations, now);
    std::vector<outgoing_message> result;
    if (observations.empty())
    {
        return result;
    }
    for (const endpoint& receiver : next_receivers(random))
    {
        m_counts.m_sent += observations.size();
        result.push_back({receiver, observation_notice{observations}});
    }
    return result;
}

std::vector<rejected_observations> upstream_exchange::take_rejected()
{
    return std::exchange(m_rejected, {});
}

} // namespace teasellead
