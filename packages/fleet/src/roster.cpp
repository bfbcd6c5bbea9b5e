#include "teasellead/fleet/roster.hpp"

#include <algorithm>

namespace teasellead
{

namespace
{

// gossip periods without a new record after which a node is suspected to have failed; gossip needs a few
// periods to deliver records
constexpr int suspect_periods = 6;
constexpr int unresponsive_periods = 5;
// nodes that are assumed to be on the same side of a network partition as a seed without a record
constexpr std::size_t nodes_per_missing_seed = 2;
constexpr duration recent_nodes_window = std::chrono::seconds{30};

} // namespace

roster::roster(endpoint self, std::string data_centre, node_incarnation incarnation,
               std::vector<endpoint> seeds, roster_settings settings, time_point now)
    : m_self(self), m_own_record{self, incarnation, 0, false, std::move(data_centre)}, m_settings(settings),
      m_started_at(now), m_next_gossip(now), m_current_node_timeout(settings.m_node_timeout),
      m_reply_random(incarnation)
{
    set_seeds(std::move(seeds));
}

void roster::set_seeds(std::vector<endpoint> seeds)
{
    m_seeds = std::move(seeds);
    m_is_seed = std::erase(m_seeds, m_self) > 0;
    m_missing_seeds = m_seeds;
    std::erase_if(m_missing_seeds, [this](const endpoint& seed) { return m_nodes.count(seed) > 0; });
}

void roster::merge(const node_record& record, time_point now)
{
    if (record.m_address == m_self)
    {
        // a record of an earlier process at this address; the records of this process must be newer
        m_own_record.m_incarnation =
            std::max(m_own_record.m_incarnation,
                     record.m_incarnation + (record.m_sequence > m_own_record.m_sequence ? 1 : 0));
        return;
    }
    const auto known = m_nodes.find(record.m_address);
    if (known == m_nodes.end())
    {
        std::erase(m_missing_seeds, record.m_address);
        // the record's age is subtracted, since the node may be unresponsive already
        m_nodes.emplace(record.m_address, known_node{record, now - std::max<duration>(record.m_age, {})});
        m_last_joined = now;
        return;
    }
    const node_record& old = known->second.m_record;
    const bool is_newer = record.m_incarnation > old.m_incarnation ||
                          (record.m_incarnation == old.m_incarnation && record.m_sequence > old.m_sequence);
    if (is_newer)
    {
        known->second = known_node{record, now};
    }
}

std::vector<outgoing_message> roster::on_notice(const endpoint& sender, const roster_notice& notice,
                                                time_point now)
{
    for (const node_record& record : notice.m_records)
    {
        merge(record, now);
    }
    if (!notice.m_wants_reply || sender == m_self)
    {
        return {};
    }
    return {{sender, make_notice(m_reply_random, false, now)}};
}

void roster::update_node_timeout(time_point now)
{
    const duration suspect_age = suspect_periods * m_settings.m_gossip_period;
    std::size_t unresponsive = 0;
    std::size_t responsive = 0;
    for (const auto& [address, node] : m_nodes)
    {
        const duration age = now - node.m_updated_at;
        if (node.m_record.m_leaving || age > m_settings.m_partition_timeout)
        {
            continue;
        }
        ++(age > suspect_age ? unresponsive : responsive);
    }
    m_current_node_timeout =
        unresponsive > responsive ? m_settings.m_partition_timeout : m_settings.m_node_timeout;
    std::erase_if(m_nodes, [this, now](const auto& entry)
                  { return now - entry.second.m_updated_at > m_settings.m_partition_timeout; });
}

std::vector<outgoing_message> roster::on_tick(bool leaving, random_source& random, time_point now)
{
    const bool has_begun_leaving = leaving && !m_own_record.m_leaving;
    if (now < m_next_gossip && !has_begun_leaving)
    {
        return {};
    }
    const bool is_new = !has_converged(now);
    m_next_gossip = now + (is_new ? m_settings.m_joining_period : m_settings.m_gossip_period);
    ++m_own_record.m_sequence;
    m_own_record.m_leaving = leaving;
    update_node_timeout(now);
    std::vector<endpoint> receivers = next_receivers(random, now);
    // two groups that were separated by a partition would never merge without occasional notices to a seed
    if (!m_seeds.empty())
    {
        const endpoint seed = m_seeds[random.below(m_seeds.size())];
        constexpr std::uint64_t seed_interval = 6;
        const bool is_due = is_new || receivers.empty() || m_own_record.m_sequence % seed_interval == 0;
        if (is_due && std::find(receivers.begin(), receivers.end(), seed) == receivers.end())
        {
            receivers.push_back(seed);
        }
    }
    std::vector<outgoing_message> result;
    result.reserve(receivers.size());
    for (const endpoint& receiver : receivers)
    {
        result.push_back({receiver, make_notice(random, is_new, now)});
    }
    return result;
}

std::optional<endpoint> roster::next_receiver(std::vector<endpoint>& queue, bool is_local,
                                              random_source& random, time_point now) const
{
    for (const bool is_refilled : {false, true})
    {
        if (is_refilled)
        {
            queue = peers(is_local, now);
            std::shuffle(queue.begin(), queue.end(), random.engine());
        }
        while (!queue.empty())
        {
            const endpoint next = queue.back();
            queue.pop_back();
            const auto known = m_nodes.find(next);
            if (known != m_nodes.end() && is_counted(known->second, now) && !known->second.m_record.m_leaving)
            {
                return next;
            }
        }
    }
    return std::nullopt;
}

std::vector<endpoint> roster::next_receivers(random_source& random, time_point now)
{
    std::vector<endpoint> result;
    for (std::size_t i = 0; i < m_settings.m_fanout; ++i)
    {
        // alternate, so that records reach other data centres in as few messages as they spread inside one
        const bool is_local = i % 2 == 0;
        auto next = next_receiver(is_local ? m_next_local : m_next_remote, is_local, random, now);
        if (!next)
        {
            next = next_receiver(is_local ? m_next_remote : m_next_local, !is_local, random, now);
        }
        if (next && std::find(result.begin(), result.end(), *next) == result.end())
        {
            result.push_back(*next);
        }
    }
    return result;
}

roster_notice roster::make_notice(random_source& random, bool wants_reply, time_point now) const
{
    std::vector<const known_node*> fresh;
    for (const auto& [address, node] : m_nodes)
    {
        if (now - node.m_updated_at < suspect_periods * m_settings.m_gossip_period)
        {
            fresh.push_back(&node);
        }
    }
    std::shuffle(fresh.begin(), fresh.end(), random.engine());
    std::size_t max_records = m_settings.m_max_records;
    if (has_converged(now))
    {
        // the newest records are sent first; a node that has just started sends a random choice
        std::stable_sort(fresh.begin(), fresh.end(),
                         [](const known_node* lhs, const known_node* rhs)
                         { return lhs->m_updated_at > rhs->m_updated_at; });
        max_records = std::clamp(m_nodes.size() / 2, m_settings.m_min_records, m_settings.m_max_records);
    }
    fresh.resize(std::min(fresh.size(), max_records));
    roster_notice notice;
    notice.m_wants_reply = wants_reply;
    notice.m_records.push_back(m_own_record);
    for (const known_node* node : fresh)
    {
        notice.m_records.push_back(node->m_record);
        notice.m_records.back().m_age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - node->m_updated_at);
    }
    return notice;
}

bool roster::may_be_isolated(time_point now) const
{
    const std::size_t seeds = m_seeds.size() + (m_is_seed ? 1 : 0);
    const bool knows_most = m_missing_seeds.size() * 2 < seeds || seeds == 0;
    return !knows_most && now - m_started_at < m_settings.m_partition_timeout;
}

bool roster::has_joined(time_point now) const
{
    return !m_nodes.empty() || now - m_started_at >= m_settings.m_join_timeout;
}

bool roster::is_counted(const known_node& node, time_point now) const
{
    return now - node.m_updated_at <= m_current_node_timeout;
}

std::size_t roster::counted_nodes(time_point now) const
{
    const auto counted =
        std::count_if(m_nodes.begin(), m_nodes.end(),
                      [this, now](const auto& entry) { return is_counted(entry.second, now); });
    const std::size_t nodes = static_cast<std::size_t>(counted) + 1;
    return !has_converged(now) ? std::max(nodes, m_settings.m_min_nodes_at_start) : nodes;
}

std::size_t roster::assumed_nodes(time_point now) const
{
    const bool may_be_partitioned = now - m_started_at < m_settings.m_partition_timeout;
    return may_be_partitioned ? nodes_per_missing_seed * m_missing_seeds.size() : 0;
}

std::size_t roster::expected_nodes(time_point now) const
{
    return m_nodes.size() + 1 + assumed_nodes(now);
}

std::size_t roster::expected_local_nodes(time_point now) const
{
    const auto local =
        std::count_if(m_nodes.begin(), m_nodes.end(),
                      [this](const auto& entry)
                      { return entry.second.m_record.m_data_centre == m_own_record.m_data_centre; });
    return static_cast<std::size_t>(local) + 1 + assumed_nodes(now);
}

std::size_t roster::recent_nodes(time_point now)
{
    const std::size_t counted = counted_nodes(now);
    if (counted >= m_recent_nodes || now - m_recent_nodes_at > recent_nodes_window)
    {
        m_recent_nodes = counted;
        m_recent_nodes_at = now;
    }
    return m_recent_nodes;
}

std::vector<endpoint> roster::receivers(time_point now) const
{
    std::vector<endpoint> result = peers(now);
    result.insert(result.end(), m_seeds.begin(), m_seeds.end());
    return result;
}

std::vector<endpoint> roster::peers(time_point now) const
{
    std::vector<endpoint> result;
    for (const auto& [address, node] : m_nodes)
    {
        if (is_counted(node, now) && !node.m_record.m_leaving)
        {
            result.push_back(address);
        }
    }
    return result;
}

std::vector<peer_status> roster::peer_statuses(time_point now) const
{
    const duration max_age = unresponsive_periods * m_settings.m_gossip_period;
    std::vector<peer_status> result;
    for (const auto& [address, node] : m_nodes)
    {
        if (is_counted(node, now))
        {
            const bool is_unresponsive = now - node.m_updated_at > max_age;
            result.push_back({address, node.m_record.m_incarnation, is_unresponsive, node.m_record.m_leaving,
                              data_centre_id_of(node.m_record.m_data_centre)});
        }
    }
    return result;
}

std::vector<node_location> roster::recent_locations() const
{
    std::vector<node_location> result{{m_self, data_centre_id_of(m_own_record.m_data_centre)}};
    for (const auto& [address, node] : m_nodes)
    {
        result.push_back({address, data_centre_id_of(node.m_record.m_data_centre)});
    }
    return result;
}

std::vector<endpoint> roster::peers(bool is_local, time_point now) const
{
    std::vector<endpoint> result;
    for (const auto& [address, node] : m_nodes)
    {
        const bool is_same = node.m_record.m_data_centre == m_own_record.m_data_centre;
        if (is_counted(node, now) && !node.m_record.m_leaving && is_same == is_local)
        {
            result.push_back(address);
        }
    }
    return result;
}

} // namespace teasellead
