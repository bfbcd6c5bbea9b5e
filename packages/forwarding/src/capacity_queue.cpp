#include "teasellead/forwarding/capacity_queue.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_map>

namespace teasellead::forwarding
{

namespace
{

// part of the wait, at its end, in which an attempt counts as most urgent
constexpr int aged_divisor = 4;
// time in which the count of an account's attempts halves
constexpr double half_life_s = 1.0;
// counts of accounts that are less than this are dropped once there are more accounts than max_accounts
constexpr double negligible_count = 0.01;
constexpr std::size_t max_accounts = 1024;

std::uint32_t aged_priority(const capacity_waiter& waiter, time_point now)
{
    const bool is_aged = waiter.m_until - now <= (waiter.m_until - waiter.m_joined) / aged_divisor;
    return is_aged ? 0 : waiter.m_priority;
}

bool can_use(const capacity_waiter& waiter, const upstream& free)
{
    return std::none_of(waiter.m_tried.begin(), waiter.m_tried.end(),
                        [&free](const shared_upstream& each) { return each.get() == &free; });
}

/// number of an account's attempts, of which older ones count less
struct recent_attempts
{
    double m_count{0.0};
    time_point m_counted_at{};

    [[nodiscard]] double at(time_point now) const
    {
        const double passed_s = std::chrono::duration<double>(now - m_counted_at).count();
        return m_count * std::exp2(-passed_s / half_life_s);
    }
};

struct numbered_waiter
{
    std::uint64_t m_id{0};
    capacity_waiter m_waiter;
};

} // namespace

struct capacity_queue::state
{
    using position = std::tuple<std::uint32_t, double, time_point, std::uint64_t>;

    /// sorts before the positions of those who wait longer
    [[nodiscard]] position position_of(const numbered_waiter& each, time_point now) const
    {
        return {aged_priority(each.m_waiter, now), recent(each.m_waiter.m_account, now),
                each.m_waiter.m_until, each.m_id};
    }

    [[nodiscard]] double recent(const std::string& account, time_point now) const
    {
        const auto known = m_accounts.find(account);
        return known == m_accounts.end() ? 0.0 : known->second.at(now);
    }

    [[nodiscard]] const std::vector<numbered_waiter>& waiting_for(const std::string& service) const
    {
        static const std::vector<numbered_waiter> none;
        const auto known = m_waiting.find(service);
        return known == m_waiting.end() ? none : known->second;
    }

    [[nodiscard]] const numbered_waiter* find(const std::string& service, std::uint64_t id) const
    {
        const std::vector<numbered_waiter>& waiting = waiting_for(service);
        const auto found = std::find_if(waiting.begin(), waiting.end(),
                                        [id](const numbered_waiter& each) { return each.m_id == id; });
        return found == waiting.end() ? nullptr : &*found;
    }

    /// number of attempts before a position that are still waiting, and can use an upstream if one is given
    [[nodiscard]] std::size_t ahead(const std::string& service, const position& own, const upstream* free,
                                    time_point now) const
    {
        const std::vector<numbered_waiter>& waiting = waiting_for(service);
        const auto precedes = [&](const numbered_waiter& each)
        {
            return now < each.m_waiter.m_until && position_of(each, now) < own &&
                   (free == nullptr || can_use(each.m_waiter, *free));
        };
        return static_cast<std::size_t>(std::count_if(waiting.begin(), waiting.end(), precedes));
    }

    void remove(const std::string& service, std::uint64_t id)
    {
        const auto known = m_waiting.find(service);
        if (known == m_waiting.end())
        {
            return;
        }
        std::erase_if(known->second, [id](const numbered_waiter& each) { return each.m_id == id; });
        if (known->second.empty())
        {
            m_waiting.erase(known);
        }
    }

    std::unordered_map<std::string, std::vector<numbered_waiter>> m_waiting; ///< by service
    std::unordered_map<std::string, recent_attempts> m_accounts;
    std::uint64_t m_last_id{0};
    std::uint64_t m_displaced{0};
};

capacity_queue::capacity_queue() : m_state(std::make_shared<state>())
{
}

std::optional<capacity_queue::place> capacity_queue::join(const std::string& service, capacity_waiter waiter,
                                                          time_point now)
{
    std::vector<numbered_waiter>& waiting = m_state->m_waiting[service];
    const std::uint64_t id = ++m_state->m_last_id;
    waiting.push_back({id, std::move(waiter)});
    if (waiting.size() > max_waiting)
    {
        ++m_state->m_displaced;
        const auto last =
            std::max_element(waiting.begin(), waiting.end(),
                             [this, now](const numbered_waiter& left, const numbered_waiter& right)
                             { return m_state->position_of(left, now) < m_state->position_of(right, now); });
        const bool is_refused = last->m_id == id;
        waiting.erase(last);
        if (is_refused)
        {
            return std::nullopt;
        }
    }
    return place{m_state, service, id};
}

bool capacity_queue::may_take(const std::string& service, const capacity_waiter& arrival,
                              const upstream& free, time_point now) const
{
    const std::vector<numbered_waiter>& waiting = m_state->waiting_for(service);
    return std::none_of(waiting.begin(), waiting.end(),
                        [&](const numbered_waiter& each)
                        {
                            return now < each.m_waiter.m_until && can_use(each.m_waiter, free) &&
                                   aged_priority(each.m_waiter, now) <= arrival.m_priority;
                        });
}

void capacity_queue::on_sent(const std::string& account, time_point now)
{
    if (account.empty())
    {
        return;
    }
    auto& accounts = m_state->m_accounts;
    if (accounts.size() > max_accounts)
    {
        std::erase_if(accounts, [now](const auto& each) { return each.second.at(now) < negligible_count; });
    }
    recent_attempts& known = accounts[account];
    known = {known.at(now) + 1.0, now};
}

std::size_t capacity_queue::ahead_of(const std::string& service, const capacity_waiter& arrival,
                                     time_point now) const
{
    return m_state->ahead(service, m_state->position_of({m_state->m_last_id + 1, arrival}, now), nullptr,
                          now);
}

std::size_t capacity_queue::size(const std::string& service) const
{
    return m_state->waiting_for(service).size();
}

std::map<std::uint32_t, std::size_t> capacity_queue::count_by_priority() const
{
    std::map<std::uint32_t, std::size_t> result;
    for (const auto& [service, waiting] : m_state->m_waiting)
    {
        for (const numbered_waiter& each : waiting)
        {
            ++result[each.m_waiter.m_priority];
        }
    }
    return result;
}

std::uint64_t capacity_queue::displaced() const noexcept
{
    return m_state->m_displaced;
}

capacity_queue::place::~place()
{
    if (const auto queue = m_queue.lock())
    {
        queue->remove(m_service, m_id);
    }
}

bool capacity_queue::place::is_lost() const
{
    const auto queue = m_queue.lock();
    return !queue || queue->find(m_service, m_id) == nullptr;
}

bool capacity_queue::place::may_take(const upstream& free, time_point now) const
{
    const auto queue = m_queue.lock();
    const numbered_waiter* const own = queue ? queue->find(m_service, m_id) : nullptr;
    return own != nullptr && queue->ahead(m_service, queue->position_of(*own, now), &free, now) == 0;
}

std::size_t capacity_queue::place::ahead(time_point now) const
{
    const auto queue = m_queue.lock();
    const numbered_waiter* const own = queue ? queue->find(m_service, m_id) : nullptr;
    return own == nullptr ? 0 : queue->ahead(m_service, queue->position_of(*own, now), nullptr, now);
}

} // namespace teasellead::forwarding
