#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "teasellead/kernel/clock.hpp"
#include "teasellead/runtime/memory_budget.hpp"

namespace teasellead::runtime
{

/// what happens on a caller's connection
enum class connection_activity
{
    idle,      ///< no byte of the next request has arrived
    receiving, ///< a request was received in part
    handling,  ///< a request has no response yet
    sending,   ///< a response isn't read completely
    lingering  ///< the last response was sent, and the caller hasn't closed yet
};

/// one caller's connection as the choice of a connection to close sees it
struct connection_load
{
    connection_activity m_activity{connection_activity::idle};
    std::size_t m_bytes{0};                ///< bytes held for it
    duration m_duration{duration::zero()}; ///< time since the activity began

    friend bool operator==(const connection_load&, const connection_load&) = default;
};

/*!
@brief chooses the connection to close when too many bytes are held for a use

It is the one that has occupied the most memory for the longest time: its bytes times the duration of its
activity are the greatest. A caller that reads a little now and then gains nothing by it. Connections whose
request is being handled are never chosen, and neither is a connection that holds bytes alone.

@param[in] connections  all connections
@param[in] use          `request` chooses among those that receive, `response` among those that send

@return index of the connection; nothing if none may be closed; linear in the number of connections
*/
[[nodiscard]] std::optional<std::size_t> heaviest_connection(const std::vector<connection_load>& connections,
                                                             memory_use use);

/*!
@brief chooses the connection to close when there are too many

Lingering connections go first, then idle ones, then those with a request received in part, then those that
send; among equal ones the one whose activity has lasted the longest.

@param[in] connections  all connections

@return index of the connection; nothing if all requests are being handled; linear in the number of
        connections
*/
[[nodiscard]] std::optional<std::size_t>
most_dispensable_connection(const std::vector<connection_load>& connections);

/*!
@brief largest number of callers' connections of a process

Half of the descriptors for sockets; the others are left to upstreams, other nodes and operators.

@param[in] max_descriptors  file descriptors that the process may have open
*/
[[nodiscard]] std::size_t max_caller_connections(std::size_t max_descriptors) noexcept;

/// largest number of connections to the addresses for readiness checks or for operators
[[nodiscard]] std::size_t max_operator_connections(std::size_t max_descriptors) noexcept;

} // namespace teasellead::runtime
