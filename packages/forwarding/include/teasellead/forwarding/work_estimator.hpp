#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "teasellead/forwarding/mean_table.hpp"
#include "teasellead/forwarding/ratio_histogram.hpp"
#include "teasellead/kernel/clock.hpp"

namespace teasellead::forwarding
{

/// work of a request about which nothing is known
inline constexpr duration default_work = std::chrono::milliseconds{15};

/// what is known of a request's work before it is sent
class request_profile
{
  public:
    /*!
    @brief creates the profile of a request

    @param[in] route        name of its route
    @param[in] fingerprint  digest that is the same for equal requests; may be empty
    @param[in] body_bytes   size of its body
    */
    request_profile(const std::string& route, std::string_view fingerprint, std::size_t body_bytes);

    [[nodiscard]] const std::string& route() const noexcept
    {
        return m_route;
    }

    [[nodiscard]] std::uint64_t route_key() const noexcept
    {
        return m_route_key;
    }

    /// key of the requests of the route with a similar size
    [[nodiscard]] std::uint64_t size_key() const noexcept
    {
        return m_size_key;
    }

    /// key of the requests that are equal to this one; empty if they can't be recognised
    [[nodiscard]] std::optional<std::uint64_t> equal_key() const noexcept
    {
        return m_equal_key;
    }

  private:
    std::string m_route;
    std::uint64_t m_route_key;
    std::uint64_t m_size_key;
    std::optional<std::uint64_t> m_equal_key;
};

/// expected work of a request: the time that it takes at an idle upstream of usual speed in the same place
struct work_estimate
{
    duration m_mean{default_work};
    duration m_service_mean{default_work}; ///< of all requests that the service gets
    std::optional<double> m_late_ratio;    ///< multiple of the mean that few requests exceed, if known

    friend bool operator==(const work_estimate&, const work_estimate&) = default;
};

/// how well the work of a route's requests was estimated
struct work_accuracy
{
    std::uint64_t m_replies{0};
    duration m_expected{duration::zero()}; ///< sum of the expected work
    duration m_actual{duration::zero()};   ///< sum of the observed work
    double m_ratio_error{0.0};             ///< sum of the deviations, as fractions of the expected work

    friend bool operator==(const work_accuracy&, const work_accuracy&) = default;
};

/*!
@brief learns the expected work of requests from the replies of upstreams

The work of a request is the mean of its route at its service, times a ratio that was learned from equal
requests or else from requests of similar size. All shards of a scatter share the ratio, so that one search
teaches it. Uses a fixed amount of memory for means, and a histogram for each of the latest routes. Not safe
for concurrent use by several threads.
*/
class work_estimator
{
  public:
    /// largest number of routes with a distribution of their own
    static constexpr std::size_t max_routes = 512;

    /// the expected work of a request at a service. @complexity constant
    [[nodiscard]] work_estimate estimate(const request_profile& request, const std::string& service) const;

    /*!
    @brief learns from a successful reply

    A value that is far from the estimate counts as one at a bounded distance.

    @param[in] request   the request
    @param[in] service   service of the upstream that replied
    @param[in] expected  the estimate when it was sent
    @param[in] observed  its work, normalised as described at @ref work_estimate
    @param[in] run_ratio ratio of the time that it ran to the time that was expected at that upstream
    */
    void add(const request_profile& request, const std::string& service, const work_estimate& expected,
             duration observed, double run_ratio);

    /// accuracy of the estimates by route
    [[nodiscard]] std::unordered_map<std::string, work_accuracy> accuracy() const;

    /// number of bytes that this object can use at most, without the names of routes
    [[nodiscard]] std::size_t max_memory_bytes() const noexcept;

  private:
    struct route_statistics
    {
        ratio_histogram m_ratios; ///< of the times that requests ran to those expected
        work_accuracy m_accuracy;
        std::uint64_t m_used{0}; ///< number of the latest addition
    };

    [[nodiscard]] double base_of(std::uint64_t route, std::uint64_t service) const noexcept;
    [[nodiscard]] double ratio_of(const request_profile& request) const noexcept;
    [[nodiscard]] route_statistics& statistics_of(const std::string& route);

    mean_table m_means{4096, 32};       ///< milliseconds by route, service, and both
    mean_table m_size_ratios{1024, 32}; ///< to the mean of the route at the service
    mean_table m_equal_ratios{4096, 8}; ///< to the mean of the route at the service
    std::unordered_map<std::string, route_statistics> m_routes;
    std::uint64_t m_additions{0};
};

} // namespace teasellead::forwarding
