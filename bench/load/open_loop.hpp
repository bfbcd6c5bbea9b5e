#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "deployment.hpp"
#include "teasellead/kernel/endpoint.hpp"

namespace bench
{

/// a request to be sent at a given time, independently of the outcome of earlier ones
struct arrival
{
    std::chrono::nanoseconds m_at{0}; ///< since the start of the run
    std::size_t m_account{0};
    std::size_t m_node{0};
    std::size_t m_path{0};
};

/// how a request ended
struct sample
{
    std::chrono::nanoseconds m_at{0};      ///< intended time of sending
    std::chrono::nanoseconds m_latency{0}; ///< from the intended time of sending to the response
    std::size_t m_account{0};
    std::size_t m_path{0};
    unsigned m_status{0}; ///< 0 if no response arrived
    double m_coverage{0.0};
};

/// load that the callers send
struct traffic
{
    std::chrono::seconds m_duration{10};
    double m_rate_factor{0.5};          ///< fraction of each account's rate that it sends
    std::size_t m_noisy_account{0};     ///< account that sends more
    double m_noisy_factor{1.0};         ///< how many times as much it sends
    std::vector<double> m_node_weights; ///< how the balancer spreads requests over the nodes
    std::uint64_t m_seed{1};
};

/// Poisson arrivals of all accounts in chronological order
[[nodiscard]] std::vector<arrival> make_arrivals(const deployment& target, const traffic& wanted);

/*!
@brief sends requests at their times, each latency counted from the intended time

@param[in] arrivals  requests to send, in chronological order
@param[in] target    accounts and paths
@param[in] nodes     node addresses that callers connect to
@param[in] callers   number of threads that send

@return a sample for each arrival
*/
[[nodiscard]] std::vector<sample> run_open_loop(const std::vector<arrival>& arrivals,
                                                const deployment& target,
                                                const std::vector<teasellead::endpoint>& nodes,
                                                std::size_t callers);

} // namespace bench
