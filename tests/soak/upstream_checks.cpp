#include "upstream_checks.hpp"

#include <algorithm>

namespace test_support
{

namespace
{

using namespace std::chrono_literals;

// bounds of the guarantees plus a margin for delays of the test machine
constexpr auto drain_bound = 3s;
constexpr auto pause_notice = 500ms;
constexpr std::size_t arrivals_in_pause = 2;
constexpr auto contact_time = 4s;
constexpr std::size_t crash_threshold = 3;
constexpr auto margin = 500ms;

bool any_overlaps(const std::vector<disturbance>& times, soak_time from, soak_time to)
{
    return std::any_of(times.begin(), times.end(),
                       [&](const disturbance& each) { return each.m_to >= from && each.m_from <= to; });
}

unsigned node_of(const std::string& request_id)
{
    return static_cast<unsigned>(std::stoul(request_id.substr(request_id.rfind('n') + 1)));
}

} // namespace

bool was_disturbed(const node_disturbances& disturbed, unsigned node, soak_time from, soak_time to)
{
    const auto known = disturbed.find(node);
    return known != disturbed.end() && any_overlaps(known->second, from, to);
}

std::string request_id_of(unsigned caller, int request, unsigned node)
{
    return std::to_string(caller) + "-" + std::to_string(request) + "-n" + std::to_string(node);
}

std::vector<std::string> check_notices(const std::vector<upstream_arrival>& arrivals,
                                       const node_disturbances& disturbed,
                                       const std::vector<disturbance>& one_way_times)
{
    std::map<unsigned, std::vector<const upstream_arrival*>> by_node;
    for (const upstream_arrival& each : arrivals)
    {
        by_node[node_of(each.m_request_id)].push_back(&each);
    }
    std::vector<std::string> broken;
    for (const auto& [node, reached] : by_node)
    {
        for (std::size_t index = 0; index < reached.size(); ++index)
        {
            const upstream_arrival& notice = *reached[index];
            if (any_overlaps(one_way_times, notice.m_at, notice.m_at))
            {
                continue;
            }
            std::size_t in_pause = 0;
            for (std::size_t i = index + 1; i < reached.size(); ++i)
            {
                const upstream_arrival& later = *reached[i];
                if (was_disturbed(disturbed, node, notice.m_at, later.m_at))
                {
                    break;
                }
                if (notice.m_is_told_of_leaving && later.m_at > notice.m_at + drain_bound + margin)
                {
                    broken.push_back(later.m_request_id +
                                     " reached an upstream that had announced that it was leaving");
                    return broken;
                }
                const bool is_in_pause = later.m_at > notice.m_at + pause_notice + margin &&
                                         later.m_at < notice.m_at + notice.m_pause;
                in_pause += is_in_pause ? 1 : 0;
            }
            if (in_pause > arrivals_in_pause)
            {
                broken.push_back(std::to_string(in_pause) + " requests of node " + std::to_string(node) +
                                 " reached an upstream that had requested a pause from it");
                return broken;
            }
        }
    }
    return broken;
}

std::size_t late_crash_arrivals(std::vector<soak_time> arrivals, soak_time from)
{
    if (arrivals.size() < crash_threshold)
    {
        return 0;
    }
    std::sort(arrivals.begin(), arrivals.end());
    const soak_time counted = std::max(arrivals[crash_threshold - 1], from) + contact_time;
    return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(),
                                                  [counted](soak_time each) { return each > counted; }));
}

} // namespace test_support
