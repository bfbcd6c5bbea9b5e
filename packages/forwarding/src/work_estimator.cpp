#include "teasellead/forwarding/work_estimator.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>

namespace teasellead::forwarding
{

namespace
{

using float_milliseconds = std::chrono::duration<double, std::milli>;

constexpr double late_fraction = 0.95;
// an observed value counts as at most this multiple or fraction of what was expected
constexpr double max_deviation = 8.0;
constexpr double max_equal_ratio = 64.0;
constexpr duration min_work = std::chrono::microseconds{50};
// weights of the more general mean, in replies
constexpr double route_weight = 4.0;
constexpr double size_weight = 8.0;
constexpr double equal_weight = 1.0;

std::uint64_t combine_keys(std::uint64_t first, std::uint64_t second) noexcept
{
    constexpr std::uint64_t multiplier = 0xff51afd7ed558ccdU;
    constexpr int rotation = 29;
    return (std::rotl(first, rotation) ^ second) * multiplier;
}

double shrunk(const moving_mean& known, double general, double weight) noexcept
{
    const double count = known.m_count;
    return (count * known.m_mean + weight * general) / (count + weight);
}

duration to_duration(double milliseconds) noexcept
{
    return std::chrono::duration_cast<duration>(float_milliseconds{milliseconds});
}

} // namespace

request_profile::request_profile(const std::string& route, std::string_view fingerprint,
                                 std::size_t body_bytes)
    : m_route(route), m_route_key(std::hash<std::string>{}(route)),
      // sizes within a factor of four are similar
      m_size_key(combine_keys(m_route_key, (static_cast<std::uint64_t>(std::bit_width(body_bytes)) + 1) / 2))
{
    if (!fingerprint.empty())
    {
        m_equal_key = combine_keys(m_route_key, std::hash<std::string_view>{}(fingerprint));
    }
}

double work_estimator::base_of(std::uint64_t route, std::uint64_t service) const noexcept
{
    const moving_mean at_service = m_means.find(service);
    const double general =
        at_service.m_count > 0 ? at_service.m_mean : float_milliseconds{default_work}.count();
    const moving_mean of_route = m_means.find(route);
    const double known = of_route.m_count > 0 ? of_route.m_mean : general;
    return shrunk(m_means.find(combine_keys(route, service)), known, route_weight);
}

double work_estimator::ratio_of(const request_profile& request) const noexcept
{
    const double of_size = shrunk(m_size_ratios.find(request.size_key()), 1.0, size_weight);
    return request.equal_key() ? shrunk(m_equal_ratios.find(*request.equal_key()), of_size, equal_weight)
                               : of_size;
}

work_estimate work_estimator::estimate(const request_profile& request, const std::string& service) const
{
    const std::uint64_t service_key = std::hash<std::string>{}(service);
    const double base = base_of(request.route_key(), service_key);
    const moving_mean at_service = m_means.find(service_key);
    const auto known = m_routes.find(request.route());
    return {std::max(min_work, to_duration(base * ratio_of(request))),
            at_service.m_count > 0 ? to_duration(at_service.m_mean) : to_duration(base),
            known == m_routes.end() ? std::nullopt : known->second.m_ratios.quantile(late_fraction)};
}

void work_estimator::add(const request_profile& request, const std::string& service,
                         const work_estimate& expected, duration observed, double run_ratio)
{
    const double observed_ms = float_milliseconds{std::max(observed, min_work)}.count();
    const std::uint64_t service_key = std::hash<std::string>{}(service);
    const std::uint64_t both_key = combine_keys(request.route_key(), service_key);
    const double base = base_of(request.route_key(), service_key);
    const bool is_known = m_means.find(request.route_key()).m_count > 0;
    const double bounded =
        is_known ? std::clamp(observed_ms, base / max_deviation, base * max_deviation) : observed_ms;
    m_means.add(request.route_key(), bounded);
    m_means.add(service_key, bounded);
    m_means.add(both_key, bounded);
    if (is_known)
    {
        const double ratio = std::clamp(observed_ms / base, 1.0 / max_equal_ratio, max_equal_ratio);
        m_size_ratios.add(request.size_key(), std::clamp(ratio, 1.0 / max_deviation, max_deviation));
        if (request.equal_key())
        {
            m_equal_ratios.add(*request.equal_key(), ratio);
        }
    }
    route_statistics& statistics = statistics_of(request.route());
    statistics.m_ratios.add(run_ratio);
    work_accuracy& accuracy = statistics.m_accuracy;
    ++accuracy.m_replies;
    accuracy.m_expected += expected.m_mean;
    accuracy.m_actual += observed;
    accuracy.m_ratio_error += std::abs(run_ratio - 1.0);
}

work_estimator::route_statistics& work_estimator::statistics_of(const std::string& route)
{
    if (m_routes.size() >= max_routes && m_routes.count(route) == 0)
    {
        m_routes.erase(std::min_element(m_routes.begin(), m_routes.end(),
                                        [](const auto& lhs, const auto& rhs)
                                        { return lhs.second.m_used < rhs.second.m_used; }));
    }
    route_statistics& result = m_routes[route];
    result.m_used = ++m_additions;
    return result;
}

std::unordered_map<std::string, work_accuracy> work_estimator::accuracy() const
{
    std::unordered_map<std::string, work_accuracy> result;
    for (const auto& [route, statistics] : m_routes)
    {
        result.emplace(route, statistics.m_accuracy);
    }
    return result;
}

std::size_t work_estimator::max_memory_bytes() const noexcept
{
    return m_means.memory_bytes() + m_size_ratios.memory_bytes() + m_equal_ratios.memory_bytes() +
           max_routes * sizeof(std::pair<const std::string, route_statistics>);
}

} // namespace teasellead::forwarding
