#include "teasellead/runtime/upstream_pool.hpp"

#include <algorithm>

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
        return true;
    }
    const auto& open = known->second.m_open;
    return open.size() < limit || std::any_of(open.begin(), open.end(),
                                              [](const shared_connection& each) { return each->is_idle(); });
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
