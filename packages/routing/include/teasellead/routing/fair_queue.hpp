#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace teasellead
{

/*!
@brief queue of waiting requests that is shared fairly by the weights of their client accounts

Implements start-time fair queueing: in virtual time, an account's next request starts when its previous one
ends, and the request with the earliest start is taken first. An account that sends many requests only delays
its own. Not safe for use by several threads.

@tparam Request  a movable type
*/
template <class Request>
class fair_queue
{
  public:
    /*!
    @brief creates an empty queue

    @param[in] capacity  largest number of waiting requests of one account
    */
    explicit fair_queue(std::size_t capacity) : m_capacity(capacity)
    {
    }

    /*!
    @brief adds a request

    @param[in] account  its client account
    @param[in] weight   weight of the account, at least 1
    @param[in] request  the request; moved from only if it was added

    @return false if the account already has the largest permitted number of waiting requests

    @complexity constant on average
    */
    [[nodiscard]] bool push(const std::string& account, std::uint32_t weight, Request&& request)
    {
        account_queue& target = m_account_queues[account];
        if (target.m_waiting.size() >= m_capacity)
        {
            return false;
        }
        const double start = std::max(m_virtual_time, target.m_finish);
        target.m_finish = start + 1.0 / weight;
        target.m_waiting.push_back({start, std::move(request)});
        ++m_size;
        return true;
    }

    /*!
    @brief removes the request with the earliest start

    @return the request, or nothing if none waits

    @complexity linear in the number of accounts with waiting requests
    */
    [[nodiscard]] std::optional<Request> pop()
    {
        auto earliest = m_account_queues.end();
        for (auto candidate = m_account_queues.begin(); candidate != m_account_queues.end();)
        {
            if (candidate->second.m_waiting.empty() && candidate->second.m_finish <= m_virtual_time)
            {
                candidate = m_account_queues.erase(candidate);
                continue;
            }
            const bool is_earlier = !candidate->second.m_waiting.empty() &&
                                    (earliest == m_account_queues.end() ||
                                     start_of(candidate->second) < start_of(earliest->second));
            earliest = is_earlier ? candidate : earliest;
            ++candidate;
        }
        if (earliest == m_account_queues.end())
        {
            return std::nullopt;
        }
        return take_first(earliest->second);
    }

    /// number of waiting requests
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_size;
    }

  private:
    struct waiting_request
    {
        double m_start;
        Request m_request;
    };

    struct account_queue
    {
        double m_finish{0.0};
        std::deque<waiting_request> m_waiting;
    };

    [[nodiscard]] static double start_of(const account_queue& source)
    {
        return source.m_waiting.front().m_start;
    }

    std::optional<Request> take_first(account_queue& source)
    {
        m_virtual_time = std::max(m_virtual_time, start_of(source));
        std::optional<Request> result{std::move(source.m_waiting.front().m_request)};
        source.m_waiting.pop_front();
        --m_size;
        return result;
    }

    std::size_t m_capacity;
    std::size_t m_size{0};
    double m_virtual_time{0.0};
    std::unordered_map<std::string, account_queue> m_account_queues;
};

} // namespace teasellead
