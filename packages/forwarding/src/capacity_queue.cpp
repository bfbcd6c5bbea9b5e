#include "teasellead/forwarding/capacity_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <unordered_map>

namespace teasellead::forwarding
{

namespace
{

// an attempt is late in the last part of its wait
constexpr int late_divisor = 4;
// number of attempts after which a less urgent one that is late goes first
constexpr std::uint32_t attempts_between_late_ones = 3;
// time in which the count of an account's attempts halves
constexpr double half_life_s = 1.0;
// counts of accounts that are less than this are dropped once there are more accounts than max_accounts
constexpr double negligible_count = 0.01;
constexpr std::size_t max_accounts = 1024;

bool is_late(const capacity_waiter& waiter, time_point now)
{
    return waiter.m_until - now <= (waiter.m_until - waiter.m_joined) / late_divisor;
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
    /// the attempts that wait for one service
    struct service_state
    {
        std::vector<numbered_waiter> m_waiting;
        std::uint32_t m_sent_since_late{0}; ///< number of attempts made since the latest that was late

        [[nodiscard]] bool is_turn_of_late() const noexcept
        {
            return m_sent_since_late >= attempts_between_late_ones;
        }

        [[nodiscard]] std::uint32_t most_urgent() const
        {
            std::uint32_t result = std::numeric_limits<std::uint32_t>::max();
            for (const numbered_waiter& each : m_waiting)
            {
                result = std::min(result, each.m_waiter.m_priority);
            }
            return result;
        }
    };

    /// whether the attempt goes after the late ones, its priority, recent attempts of its account, the end of
    /// its wait, and its number
    using position = std::tuple<bool, std::uint32_t, double, time_point, std::uint64_t>;

    [[nodiscard]] position position_of(const std::string& service, const numbered_waiter& each,
                                       time_point now) const
    {
        const service_state& others = state_of(service);
        const bool goes_first = others.is_turn_of_late() && is_late(each.m_waiter, now) &&
                                each.m_waiter.m_priority > others.most_urgent();
        return {!goes_first, each.m_waiter.m_priority, recent(each.m_waiter.m_account, now),
                each.m_waiter.m_until, each.m_id};
    }

    [[nodiscard]] const service_state& state_of(const std::string& service) const
    {
        static const service_state none;
        const auto known = m_services.find(service);
        return known == m_services.end() ? none : known->second;
    }

    [[nodiscard]] double recent(const std::string& account, time_point now) const
    {
        const auto known = m_accounts.find(account);
        return known == m_accounts.end() ? 0.0 : known->second.at(now);
    }

    [[nodiscard]] const numbered_waiter* find(const std::string& service, std::uint64_t id) const
    {
        const std::vector<numbered_waiter>& waiting = state_of(service).m_waiting;
        const auto found = std::find_if(waiting.begin(), waiting.end(),
                                        [id](const numbered_waiter& each) { return each.m_id == id; });
        return found == waiting.end() ? nullptr : &*found;
    }

    /// number of attempts before a position that are still waiting, and can use an upstream if one is given
    [[nodiscard]] std::size_t ahead(const std::string& service, const position& own, const upstream* free,
                                    time_point now) const
    {
        const std::vector<numbered_waiter>& waiting = state_of(service).m_waiting;
        const auto precedes = [&](const numbered_waiter& each)
        {
            return now < each.m_waiter.m_until && position_of(service, each, now) < own &&
                   (free == nullptr || can_use(each.m_waiter, *free));
        };
        return static_cast<std::size_t>(std::count_if(waiting.begin(), waiting.end(), precedes));
    }

    void remove(const std::string& service, std::uint64_t id)
    {
        const auto known = m_services.find(service);
        if (known == m_services.end())
        {
            return;
        }
        std::vector<numbered_waiter>& waiting = known->second.m_waiting;
        std::erase_if(waiting, [id](const numbered_waiter& each) { return each.m_id == id; });
        if (waiting.empty())
        {
            m_services.erase(known);
        }
    }

    std::unordered_map<std::string, service_state> m_services; ///< only those for which attempts wait
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
    std::vector<numbered_waiter>& waiting = m_state->m_services[service].m_waiting;
    const std::uint64_t id = ++m_state->m_last_id;
    waiting.push_back({id, std::move(waiter)});
    if (waiting.size() > max_waiting)
    {
        ++m_state->m_displaced;
        const auto precedes = [&](const numbered_waiter& left, const numbered_waiter& right)
        {
            return m_state->position_of(service, left, now) < m_state->position_of(service, right, now);
        };
        const auto last = std::max_element(waiting.begin(), waiting.end(), precedes);
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
    const state::service_state& others = m_state->state_of(service);
    const auto goes_before = [&](const capacity_waiter& each)
    {
        return each.m_priority <= arrival.m_priority || (others.is_turn_of_late() && is_late(each, now));
    };
    return std::none_of(others.m_waiting.begin(), others.m_waiting.end(),
                        [&](const numbered_waiter& each) {
                            return now < each.m_waiter.m_until && can_use(each.m_waiter, free) &&
                                   goes_before(each.m_waiter);
                        });
}

void capacity_queue::on_sent(const std::string& service, const std::string& account, const place* taken,
                             time_point now)
{
    const auto known = m_state->m_services.find(service);
    if (known != m_state->m_services.end())
    {
        const numbered_waiter* const sent = taken == nullptr ? nullptr : m_state->find(service, taken->m_id);
        const bool was_late = sent != nullptr && is_late(sent->m_waiter, now) &&
                              sent->m_waiter.m_priority > known->second.most_urgent();
        known->second.m_sent_since_late = was_late ? 0 : known->second.m_sent_since_late + 1;
    }
    if (account.empty())
    {
        return;
    }
    auto& accounts = m_state->m_accounts;
    if (accounts.size() > max_accounts)
    {
        std::erase_if(accounts, [now](const auto& each) { return each.second.at(now) < negligible_count; });
    }
    recent_attempts& counted = accounts[account];
    counted = {counted.at(now) + 1.0, now};
}

std::size_t capacity_queue::ahead_of(const std::string& service, const capacity_waiter& arrival,
                                     time_point now) const
{
    return m_state->ahead(service, m_state->position_of(service, {m_state->m_last_id + 1, arrival}, now),
                          nullptr, now);
}

std::size_t capacity_queue::size(const std::string& service) const
{
    return m_state->state_of(service).m_waiting.size();
}

std::map<std::uint32_t, std::size_t> capacity_queue::count_by_priority() const
{
    std::map<std::uint32_t, std::size_t> result;
    for (const auto& [service, others] : m_state->m_services)
    {
        for (const numbered_waiter& each : others.m_waiting)
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
    return own != nullptr &&
           queue->ahead(m_service, queue->position_of(m_service, *own, now), &free, now) == 0;
}

std::size_t capacity_queue::place::ahead(time_point now) const
{
    const auto queue = m_queue.lock();
    const numbered_waiter* const own = queue ? queue->find(m_service, m_id) : nullptr;
    return own == nullptr ? 0
                          : queue->ahead(m_service, queue->position_of(m_service, *own, now), nullptr, now);
}

} // namespace teasellead::forwarding
