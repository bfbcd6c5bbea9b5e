#include "teasellead/forwarding/network_distance.hpp"

#include <algorithm>

namespace teasellead::forwarding
{

namespace
{

constexpr std::uint32_t min_replies = 8;
constexpr std::uint32_t distance_smoothing = 16;
// the lowest latency rises by this part of each reply's distance from it, so that changes are noticed
constexpr int rise_divisor = 256;
constexpr std::size_t max_services = 512;

} // namespace

void network_distance::add(const std::string& service, const std::string& data_centre, duration latency)
{
    learned_distance& place = m_data_centres[data_centre];
    if (place.m_lowest.size() >= max_services && place.m_lowest.count(service) == 0)
    {
        place.m_lowest.clear();
    }
    lowest_latency& lowest = place.m_lowest[service];
    ++lowest.m_replies;
    lowest.m_value = lowest.m_replies == 1
                         ? latency
                         : std::min(latency, lowest.m_value + (latency - lowest.m_value) / rise_divisor);
    const auto own = m_data_centres.find(m_own_data_centre);
    if (is_own(data_centre) || own == m_data_centres.end() || lowest.m_replies < min_replies)
    {
        return;
    }
    const auto reference = own->second.m_lowest.find(service);
    if (reference == own->second.m_lowest.end() || reference->second.m_replies < min_replies)
    {
        return;
    }
    const duration sample = std::max(lowest.m_value - reference->second.m_value, duration::zero());
    place.m_samples = std::min(place.m_samples + 1, distance_smoothing);
    place.m_mean += (sample - place.m_mean) / place.m_samples;
}

std::optional<duration> network_distance::find(const std::string& data_centre) const
{
    if (is_own(data_centre))
    {
        return duration::zero();
    }
    const auto place = m_data_centres.find(data_centre);
    if (place == m_data_centres.end() || place->second.m_samples == 0)
    {
        return std::nullopt;
    }
    return place->second.m_mean;
}

} // namespace teasellead::forwarding
