#include "teasellead/entry/upstream_client.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <unordered_map>
#include <variant>
#include <vector>

#include "detail/upstream_message.hpp"

namespace teasellead
{

namespace
{

using runtime::client_connection;
using shared_connection = std::shared_ptr<client_connection>;

constexpr std::chrono::milliseconds connect_timeout{5'000};

/// a sub-request in progress
struct transfer
{
    transfer(runtime::asio::io_context& loop, sub_request request,
             std::shared_ptr<completion_queue> completions)
        : m_request(std::move(request)), m_completions(std::move(completions)), m_timer(loop)
    {
    }

    void complete(std::variant<upstream_reply, attempt_failure> outcome) const
    {
        if (!m_is_cancelled)
        {
            m_completions->push({m_request.m_attempt, std::move(outcome)});
        }
    }

    sub_request m_request;
    std::shared_ptr<completion_queue> m_completions;
    runtime::asio::steady_timer m_timer;
    shared_connection m_connection;
    bool m_may_have_sent{false}; ///< whether bytes may have been sent
    bool m_is_cancelled{false};  ///< whether it was cancelled; it ends without a completion
};

using shared_transfer = std::shared_ptr<transfer>;

} // namespace

sub_request make_sub_request(const query_plan& plan, const shard_target& target, const chosen_replica& chosen,
                             attempt_id attempt, time_point deadline)
{
    sub_request request;
    request.m_attempt = attempt;
    request.m_upstream = chosen.upstream();
    request.m_route = plan.route().path();
    request.m_service = target.service().name();
    request.m_shard = target.shard().name();
    request.m_shard_keys = target.shard().keys().size();
    request.m_shard_map = plan.shard_map();
    request.m_snapshot = plan.snapshot();
    request.m_deadline = std::min(deadline, chosen.end_by());
    request.m_expects_connection = chosen.requires_connection();
    return request;
}

// owned also by the handlers queued in the loop, which may outlive the client
class upstream_client::implementation : public std::enable_shared_from_this<implementation>
{
  public:
    implementation(runtime::loop_thread& loop, const monotonic_clock& clock, std::size_t max_reply_bytes,
                   connection_policy connections)
        : m_loop(loop), m_clock(clock), m_max_reply_bytes(max_reply_bytes), m_policy(std::move(connections))
    {
    }

    transfer_id send(sub_request request, std::shared_ptr<completion_queue> completions)
    {
        const transfer_id id = ++m_last_transfer;
        auto added = std::make_shared<transfer>(m_loop.loop(), std::move(request), std::move(completions));
        runtime::asio::post(m_loop.loop(),
                            [self = shared_from_this(), id, added] { self->begin(id, added); });
        return id;
    }

    void cancel(transfer_id id)
    {
        runtime::asio::post(m_loop.loop(), [self = shared_from_this(), id] { self->cancel_on_loop(id); });
    }

    /// ends all transfers without a completion and closes the connections
    void close()
    {
        m_is_closed = true;
        for (const auto& [id, running] : m_transfers)
        {
            running->m_timer.cancel();
        }
        m_transfers.clear();
        const auto open = std::move(m_connections);
        m_connections.clear();
        for (const auto& [upstream, connections] : open)
        {
            for (const shared_connection& each : connections)
            {
                each->close();
            }
        }
    }

  private:
    void begin(transfer_id id, const shared_transfer& added)
    {
        const time_point now = m_clock.now();
        if (m_is_closed)
        {
            return;
        }
        if (now >= added->m_request.m_deadline)
        {
            // the process stalled between the decision to send and now
            added->complete(attempt_failure::not_connected);
            return;
        }
        const auto found = connection_for(added->m_request);
        if (const auto* const failure = std::get_if<attempt_failure>(&found))
        {
            added->complete(*failure);
            return;
        }
        added->m_connection = std::get<shared_connection>(found);
        m_transfers.emplace(id, added);
        arm(id, *added, now);
        added->m_connection->start(exchange_of(id, added, now));
    }

    void arm(transfer_id id, transfer& added, time_point now)
    {
        added.m_timer.expires_after(added.m_request.m_deadline - now);
        added.m_timer.async_wait(
            [self = shared_from_this(), id](const boost::system::error_code& error)
            {
                if (!error)
                {
                    self->on_timeout(id);
                }
            });
    }

    runtime::exchange exchange_of(transfer_id id, const shared_transfer& added, time_point now)
    {
        runtime::exchange next;
        next.m_bytes = detail::sub_request_text(added->m_request, now);
        next.m_max_body = m_max_reply_bytes;
        next.m_may_send = [&clock = m_clock, added]
        {
            // the process may have stalled since the decision to send
            added->m_may_have_sent = !added->m_is_cancelled && clock.now() < added->m_request.m_send_deadline;
            return added->m_may_have_sent;
        };
        next.m_on_end = [self = shared_from_this(), id](const runtime::exchange_result& result)
        {
            self->on_end(id, result);
        };
        return next;
    }

    /// an idle connection, a new one, or the failure of the attempt if neither is available
    std::variant<shared_connection, attempt_failure> connection_for(const sub_request& request)
    {
        if (const shared_connection kept = idle_connection(request.m_upstream))
        {
            return kept;
        }
        const std::size_t open = count(request.m_upstream);
        if (request.m_expects_connection && open == 0)
        {
            // the upstream may have restarted since the decision to send
            return attempt_failure::not_connected;
        }
        if (open >= m_policy.m_limit(request.m_upstream))
        {
            return attempt_failure::no_free_connection;
        }
        return open_connection(request.m_upstream);
    }

    /// the most recently opened idle connection, or null; closes idle connections that aren't usable any more
    shared_connection idle_connection(const endpoint& upstream)
    {
        const auto known = m_connections.find(upstream);
        if (known == m_connections.end())
        {
            return nullptr;
        }
        const time_point now = m_clock.now();
        const std::vector<shared_connection> open = known->second;
        for (auto each = open.rbegin(); each != open.rend(); ++each)
        {
            const shared_connection& candidate = *each;
            if (!candidate->is_idle())
            {
                continue;
            }
            if (now < candidate->usable_until() && !candidate->has_unread_input())
            {
                return candidate;
            }
            candidate->close();
        }
        return nullptr;
    }

    shared_connection open_connection(const endpoint& upstream)
    {
        auto added = std::make_shared<client_connection>(m_loop.loop(), m_clock, upstream, connect_timeout);
        added->on_closed([self = shared_from_this(), upstream, raw = added.get()]
                         { self->on_closed(upstream, raw); });
        m_connections[upstream].push_back(added);
        return added;
    }

    void on_closed(const endpoint& upstream, const client_connection* connection)
    {
        const auto known = m_connections.find(upstream);
        if (known == m_connections.end())
        {
            return;
        }
        std::erase_if(known->second,
                      [connection](const shared_connection& each) { return each.get() == connection; });
        if (known->second.empty())
        {
            m_connections.erase(known);
            m_policy.m_on_disconnected(upstream);
        }
    }

    [[nodiscard]] std::size_t count(const endpoint& upstream) const
    {
        const auto known = m_connections.find(upstream);
        return known == m_connections.end() ? 0 : known->second.size();
    }

    /// removes a transfer and returns it; null if it has already ended
    shared_transfer remove(transfer_id id)
    {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
        {
            return nullptr;
        }
        const shared_transfer taken = std::move(found->second);
        m_transfers.erase(found);
        taken->m_timer.cancel();
        return taken;
    }

    void on_end(transfer_id id, const runtime::exchange_result& result)
    {
        if (const shared_transfer ended = remove(id))
        {
            ended->complete(detail::read_outcome(result));
        }
    }

    void on_timeout(transfer_id id)
    {
        if (const shared_transfer ended = remove(id))
        {
            ended->complete(ended->m_may_have_sent ? attempt_failure::timed_out
                                                   : attempt_failure::not_connected);
            ended->m_connection->close();
        }
    }

    void cancel_on_loop(transfer_id id)
    {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
        {
            return;
        }
        if (count(found->second->m_request.m_upstream) == 1)
        {
            found->second->m_is_cancelled = true;
            return;
        }
        remove(id)->m_connection->close();
    }

    runtime::loop_thread& m_loop;
    const monotonic_clock& m_clock;
    const std::size_t m_max_reply_bytes;
    const connection_policy m_policy;
    std::atomic<transfer_id> m_last_transfer{0};
    // the members below are accessed on the loop's thread only
    std::unordered_map<transfer_id, shared_transfer> m_transfers;
    std::unordered_map<endpoint, std::vector<shared_connection>> m_connections; ///< in the order of opening
    bool m_is_closed{false};
};

upstream_client::upstream_client(runtime::loop_thread& loop, const monotonic_clock& clock,
                                 std::size_t max_reply_bytes, connection_policy connections)
    : m_loop(loop),
      m_implementation(std::make_shared<implementation>(loop, clock, max_reply_bytes, std::move(connections)))
{
}

upstream_client::~upstream_client()
{
    m_loop.run([this] { m_implementation->close(); });
}

transfer_id upstream_client::send(sub_request request, std::shared_ptr<completion_queue> completions)
{
    return m_implementation->send(std::move(request), std::move(completions));
}

void upstream_client::cancel(transfer_id transfer)
{
    m_implementation->cancel(transfer);
}

} // namespace teasellead
