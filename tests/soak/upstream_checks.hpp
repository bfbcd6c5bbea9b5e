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

/// a time interval in which a node was killed, stopped, paused or started
struct disturbance
{
    soak_time m_from;
    soak_time m_to;
};

/// disturbances by node
using node_disturbances = std::map<unsigned, std::vector<disturbance>>;

/// id of a request that names the node to which its caller sent it
[[nodiscard]] std::string request_id_of(unsigned caller, int request, unsigned node);

/*!
@brief broken promises about what an upstream has said of itself

@param[in] arrivals   requests that reached the upstream, in their order
@param[in] disturbed  a restart or pause of a node excuses it

@return a line for each kind that is broken
*/
[[nodiscard]] std::vector<std::string> check_notices(const std::vector<upstream_arrival>& arrivals,
                                                     const node_disturbances& disturbed);

/*!
@brief number of times that a crashing request was sent though it had crashed three upstreams

@param[in] arrivals  its arrivals at all upstreams; each ended one
@param[in] from      when all faults had ended
*/
[[nodiscard]] std::size_t late_crash_arrivals(std::vector<soak_time> arrivals, soak_time from);

} // namespace test_support
