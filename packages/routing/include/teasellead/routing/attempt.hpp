#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/kernel/topology.hpp"
#include "teasellead/kernel/upstream_evidence.hpp"
#include "teasellead/kernel/verdict.hpp"

namespace teasellead
{

/// number of an attempt within its request
using attempt_id = std::uint32_t;

/// why an attempt was made
enum class attempt_kind
{
    first, ///< the first attempt on a shard
    retry, ///< after another attempt failed
    hedge  ///< a second attempt while a slow one is still running
};

/*!
@brief name of a kind as used in logs and traces

@exceptionsafety never throws
*/
[[nodiscard]] std::string_view to_string(attempt_kind kind) noexcept;

/// how an attempt ended without a usable reply
enum class attempt_failure
{
    not_connected,      ///< no connection; nothing was sent
    no_free_connection, ///< all connections that this host may hold are in use; nothing was sent
    lost,               ///< the connection broke after bytes were sent
    shed,               ///< the upstream refused for overload and confirms that it didn't run the request
    draining,           ///< the upstream is shutting down and confirms that it didn't run the request
    wrong_snapshot,     ///< the upstream doesn't have the pinned snapshot and didn't run the request
    invalid_reply,      ///< truncated, oversized, malformed, or for another request
    timed_out           ///< no reply within the attempt's time
};

/*!
@brief name of a failure as used in logs and traces

@exceptionsafety never throws
*/
[[nodiscard]] std::string_view to_string(attempt_failure failure) noexcept;

/*!
@brief whether the upstream may have run the request of a failed attempt

@param[in] failure  how the attempt failed

@return @ref verdict::not_run only where nothing was sent or the upstream confirmed it

@exceptionsafety never throws
*/
[[nodiscard]] verdict verdict_of(attempt_failure failure) noexcept;

/// a reply of an upstream to one sub-request
class upstream_reply
{
  public:
    /*!
    @brief creates a reply

    @param[in] request_id     request id that the upstream echoed
    @param[in] service        service that the upstream echoed
    @param[in] shard          shard that the upstream echoed
    @param[in] shard_map      shard map that the upstream echoed
    @param[in] snapshot       snapshot on which the reply is based
    @param[in] incarnation    incarnation of the upstream
    @param[in] covered_keys   number of the shard's keys that the reply covers
    @param[in] body           the result, opaque to routing
    */
    upstream_reply(std::string request_id, std::string service, std::string shard, shard_map_id shard_map,
                   snapshot_id snapshot, upstream_incarnation incarnation, std::uint32_t covered_keys,
                   std::string body)
        : m_request_id(std::move(request_id)), m_service(std::move(service)), m_shard(std::move(shard)),
          m_shard_map(shard_map), m_snapshot(snapshot), m_incarnation(incarnation),
          m_covered_keys(covered_keys), m_body(std::move(body))
    {
    }

    [[nodiscard]] const std::string& request_id() const noexcept
    {
        return m_request_id;
    }

    [[nodiscard]] const std::string& service() const noexcept
    {
        return m_service;
    }

    [[nodiscard]] const std::string& shard() const noexcept
    {
        return m_shard;
    }

    [[nodiscard]] shard_map_id shard_map() const noexcept
    {
        return m_shard_map;
    }

    [[nodiscard]] snapshot_id snapshot() const noexcept
    {
        return m_snapshot;
    }

    [[nodiscard]] upstream_incarnation incarnation() const noexcept
    {
        return m_incarnation;
    }

    [[nodiscard]] std::uint32_t covered_keys() const noexcept
    {
        return m_covered_keys;
    }

    [[nodiscard]] const std::string& body() const noexcept
    {
        return m_body;
    }

    friend bool operator==(const upstream_reply&, const upstream_reply&) = default;

  private:
    std::string m_request_id;
    std::string m_service;
    std::string m_shard;
    shard_map_id m_shard_map;
    snapshot_id m_snapshot;
    upstream_incarnation m_incarnation;
    std::uint32_t m_covered_keys;
    std::string m_body;
};

} // namespace teasellead
