#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "teasellead/entry/completion_queue.hpp"
#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/kernel/topology.hpp"
#include "teasellead/routing/query_plan.hpp"
#include "teasellead/routing/upstream_table.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace teasellead
{

/// a request to one upstream
struct sub_request
{
    attempt_id m_attempt{0};
    endpoint m_upstream;
    std::string m_request_id;
    std::string m_route;
    std::string m_service;
    std::string m_shard;
    std::uint32_t m_shard_keys{0}; ///< number of keys in the shard
    shard_map_id m_shard_map{0};
    snapshot_id m_snapshot{0};
    std::string m_body;
    time_point m_send_deadline{time_point::max()}; ///< the first byte is sent before this time or not at all
    time_point m_deadline;            ///< the transfer is ended at this time; nothing is sent later
    bool m_expects_connection{false}; ///< nothing is sent if no connection is open at the time of sending

    friend bool operator==(const sub_request&, const sub_request&) = default;
};

/*!
@brief the sub-request for one shard of a plan, without its request id and body

@param[in] plan      the plan
@param[in] target    one of its shards
@param[in] chosen    the replica that receives it
@param[in] attempt   number of the attempt within the request
@param[in] deadline  time after which a reply is of no use

@return the sub-request; its m_deadline is at the latest the time until which @a chosen may be used
*/
[[nodiscard]] sub_request make_sub_request(const query_plan& plan, const shard_target& target,
                                           const chosen_replica& chosen, attempt_id attempt,
                                           time_point deadline);

/// identifies a sub-request in progress
using transfer_id = std::uint64_t;

/// callbacks about connections to upstreams
struct connection_policy
{
    /// returns the number of connections that this host may have open to an upstream
    std::function<std::uint32_t(const endpoint&)> m_limit;

    /// called when the last open connection to an upstream has closed: from then on a restart goes undetected
    std::function<void(const endpoint&)> m_on_disconnected;
};

/*!
@brief sends sub-requests over persistent connections and reports their outcomes

An event loop drives all transfers. Safe for use by several threads.
*/
class upstream_client
{
  public:
    /*!
    @brief creates a client without connections

    @param[in] loop             loop that drives the transfers; must outlive the client
    @param[in] clock            source of time; must outlive the loop
    @param[in] max_reply_bytes  larger replies are invalid
    @param[in] connections      callbacks about connections; called on the loop's thread
    */
    upstream_client(runtime::loop_thread& loop, const monotonic_clock& clock, std::size_t max_reply_bytes,
                    connection_policy connections);
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;

    /// ends all transfers without a completion
    ~upstream_client();

    /*!
    @brief sends a sub-request

    @param[in] request      what to send
    @param[in] completions  receives one completion, unless the transfer is cancelled before

    @return id for @ref cancel
    */
    transfer_id send(sub_request request, std::shared_ptr<completion_queue> completions);

    /*!
    @brief ends a transfer without a completion

    Its connection is closed, unless it is the only one to its upstream: an open connection confirms that the
    upstream hasn't restarted, so the reply is awaited and dropped.

    @param[in] transfer  the transfer
    */
    void cancel(transfer_id transfer);

  private:
    class implementation;
    runtime::loop_thread& m_loop;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace teasellead
