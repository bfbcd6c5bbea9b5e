#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "standin_upstream.hpp"

namespace test_support
{

using soak_time = std::chrono::steady_clock::time_point;

/// a time interval in which a node was killed, stopped, paused or started, or a link had a fault
struct disturbance
{
    soak_time m_from;
    soak_time m_to;
};

/// disturbances by node
using node_disturbances = std::map<unsigned, std::vector<disturbance>>;

/// whether a node was disturbed between two times
[[nodiscard]] bool was_disturbed(const node_disturbances& disturbed, unsigned node, soak_time from,
                                 soak_time to);

/// id of a request that names the node to which its caller sent it
[[nodiscard]] std::string request_id_of(unsigned caller, int request, unsigned node);

/*!
@brief requests that violate a notice of an upstream (leaving or pause)

@param[in] arrivals   requests that reached the upstream, in their order
@param[in] disturbed  restarts and pauses of nodes; requests of a node after one of them are not checked
against earlier notices
@param[in] one_way_times  times in which the upstream's link discarded all answers, and notices with them

@return a line for the first violation; empty if there is none
*/
[[nodiscard]] std::vector<std::string> check_notices(const std::vector<upstream_arrival>& arrivals,
                                                     const node_disturbances& disturbed,
                                                     const std::vector<disturbance>& one_way_times);

/*!
@brief number of times that a crashing request was sent although it had already crashed three upstreams

@param[in] arrivals  its arrivals at all upstreams; each crashed one
@param[in] from      when all faults had ended
*/
[[nodiscard]] std::size_t late_crash_arrivals(std::vector<soak_time> arrivals, soak_time from);

} // namespace test_support
