#pragma once

#include <algorithm>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "dispatch_fixture.hpp"

namespace teasellead::test
{

/// processor time of a node, and its connections
struct node_costs
{
    duration m_send{duration::zero()}; ///< to hand one attempt to the network
    duration m_read{duration::zero()}; ///< to read a reply, or that a connection is open
    std::size_t m_new_connections{0};  ///< every n-th attempt needs a new connection; 0 if none does
};

/// how a search ended
struct search_outcome
{
    std::size_t m_hedges{0};
    std::size_t m_replies{0}; ///< in the result
};

/*!
@brief runs searches at a node whose processor time is simulated, without a network

Like an event loop, it handles all input that is there when it looks, then the timer if it was due by then.
The time passes only by the node's own work, or until the next event if it has none. An upstream replies 5 ms
after a request has reached it; a connection is open 1 ms after it was begun.
*/
class slow_node
{
  public:
    explicit slow_node(std::vector<std::string> shards, int replicas = 2)
        : m_shards(std::move(shards)), m_fixture(m_shards, replicas), m_now(dispatch_start)
    {
    }

    /// searches over all shards; the first upstream of some of them never replies
    search_outcome search(const node_costs& costs, std::size_t silent, double min_coverage = 1.0)
    {
        m_min_coverage = min_coverage;
        m_now += 5s;
        m_costs = costs;
        m_silent = silent;
        m_input = {};
        dispatch request = over_all_shards();
        execute(request, request.start(m_now));
        while (!request.is_finished())
        {
            turn(request);
        }
        return {request.hedges(), std::get<gathered>(request.result()).m_shard_replies.size()};
    }

  private:
    using gathered = forwarding::gathered;
    using dispatch = forwarding::dispatch;

    static constexpr duration reply_time = 5ms;
    static constexpr duration connect_time = 1ms;

    /// a reply, or that the connection of an attempt is open
    struct input
    {
        time_point m_at;
        forwarding::attempt_number m_attempt{0};
        bool m_is_reply{true};

        friend bool operator>(const input& lhs, const input& rhs)
        {
            return lhs.m_at > rhs.m_at;
        }
    };

    dispatch over_all_shards()
    {
        forwarding::dispatch_request request = dispatch_fixture::search_over(m_shards, m_min_coverage, m_now);
        request.m_route = "search";
        request.m_objective = 60ms;
        return {request, m_fixture.m_context, m_now};
    }

    void execute(dispatch& request, const std::vector<forwarding::dispatch_action>& actions)
    {
        for (const forwarding::attempt_number attempt : sends_of(actions))
        {
            m_now += m_costs.m_send;
            const bool connects = m_costs.m_new_connections > 0 && attempt % m_costs.m_new_connections == 0;
            request.on_handed_over(attempt, m_now);
            if (connects)
            {
                m_input.push({m_now + connect_time, attempt, false});
            }
            else
            {
                expect_reply(attempt);
            }
        }
    }

    void expect_reply(forwarding::attempt_number attempt)
    {
        // the first attempts have the numbers of their shards
        if (attempt >= m_silent)
        {
            m_input.push({m_now + reply_time, attempt, true});
        }
    }

    /// one turn of the event loop
    void turn(dispatch& request)
    {
        const time_point next = m_input.empty() ? time_point::max() : m_input.top().m_at;
        m_now = std::max(m_now, std::min(next, request.next_wakeup()));
        const time_point looked_at = m_now;
        const bool is_timer_due = request.next_wakeup() <= looked_at;
        std::vector<input> arrived;
        while (!m_input.empty() && m_input.top().m_at <= looked_at)
        {
            arrived.push_back(m_input.top());
            m_input.pop();
        }
        for (const input& each : arrived)
        {
            handle(request, each);
        }
        if (is_timer_due && !request.is_finished())
        {
            execute(request, request.on_timer(m_now, looked_at));
        }
    }

    void handle(dispatch& request, const input& each)
    {
        m_now += m_costs.m_read;
        if (each.m_is_reply)
        {
            execute(request, request.on_reply(each.m_attempt, reply_of(200), m_now));
            return;
        }
        m_now += m_costs.m_send;
        request.on_handed_over(each.m_attempt, m_now);
        expect_reply(each.m_attempt);
    }

    std::vector<std::string> m_shards;
    dispatch_fixture m_fixture;
    time_point m_now;
    node_costs m_costs;
    std::size_t m_silent{0};
    double m_min_coverage{1.0};
    std::priority_queue<input, std::vector<input>, std::greater<>> m_input;
};

} // namespace teasellead::test
