#include "teasellead/runtime/upstream_pool.hpp"

#include <algorithm>
#include <numeric>

namespace teasellead::runtime
{

namespace
{

using shared_connection = std::shared_ptr<client_connection>;

bool is_usable(const shared_connection& connection, time_point now)
{
    return connection->is_idle() && now < connection->usable_until();
}

} // namespace

bool upstream_pool::has_capacity(const forwarding::upstream& target, std::size_t limit) const
{
    const auto known = m_connections.find(&target);
    if (known == m_connections.end())
    {
        return limit > 0;
    }
    const time_point now = m_clock.now();
    std::size_t busy = 0;
    for (const shared_connection& each : known->second.m_open)
    {
        if (is_usable(each, now))
        {
            return true;
        }
        // idle connections that can't be used are closed before another one is opened
        busy += each->is_idle() ? 0 : 1;
    }
    return busy < limit;
}

std::shared_ptr<client_connection> upstream_pool::acquire(const forwarding::shared_upstream& target)
{
    upstream_connections& known = m_connections[target.get()];
    known.m_upstream = target;
    const time_point now = m_clock.now();
    // the connections are ordered by their last use, the most recent at the end
    for (auto each = known.m_open.rbegin(); each != known.m_open.rend(); ++each)
    {
        if (is_usable(*each, now))
        {
            const shared_connection found = *each;
            std::rotate(std::prev(each.base()), each.base(), known.m_open.end());
            return found;
        }
    }
    const std::vector<shared_connection> open = known.m_open;
    for (const shared_connection& each : open)
    {
        if (each->is_idle())
        {
            each->close();
        }
    }
    const auto added = std::make_shared<client_connection>(m_loop, m_clock, target->entry().m_address,
                                                           m_connect_timeout, m_budget);
    added->on_closed(
        [this, key = target.get(), raw = added.get()]
        {
            m_reset_on_first_use += raw->was_reset_on_first_use() ? 1 : 0;
            const auto entry = m_connections.find(key);
            if (entry != m_connections.end())
            {
                std::erase_if(entry->second.m_open,
                              [raw](const shared_connection& each) { return each.get() == raw; });
            }
        });
    known.m_open.push_back(added);
    ++m_opened;
    return added;
}

std::size_t upstream_pool::held() const noexcept
{
    return std::accumulate(m_connections.begin(), m_connections.end(), std::size_t{0},
                           [](std::size_t sum, const auto& each) { return sum + each.second.m_open.size(); });
}

void upstream_pool::close_surplus(const limit_function& limit_of)
{
    const time_point now = m_clock.now();
    for (const auto& [key, known] : m_connections)
    {
        const std::size_t limit = limit_of(*known.m_upstream);
        const std::vector<shared_connection> open = known.m_open;
        for (const shared_connection& each : open)
        {
            const bool is_surplus = known.m_open.size() > limit || !is_usable(each, now);
            if (each->is_idle() && is_surplus)
            {
                each->close();
            }
        }
    }
}

void upstream_pool::close_unused()
{
    std::vector<const forwarding::upstream*> unused;
    for (const auto& [key, known] : m_connections)
    {
        if (!known.m_upstream->is_leaving())
        {
            continue;
        }
        const std::vector<shared_connection> open = known.m_open;
        for (const shared_connection& each : open)
        {
            if (each->is_idle())
            {
                each->close();
            }
        }
        if (known.m_open.empty())
        {
            unused.push_back(key);
        }
    }
    for (const forwarding::upstream* key : unused)
    {
        m_connections.erase(key);
    }
}

} // namespace teasellead::runtime
