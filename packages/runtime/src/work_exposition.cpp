#include "work_exposition.hpp"

#include <array>
#include <map>
#include <sstream>
#include <string_view>

#include "teasellead/runtime/request_log.hpp"

namespace teasellead::runtime
{

namespace
{

using forwarding::work_accuracy;

constexpr std::size_t max_routes = 200;

double milliseconds_of(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

struct work_counter
{
    std::string_view m_name;
    double (*m_value)(const work_accuracy&);
};

constexpr std::array<work_counter, 4> counters{{
    {"teasellead_work_replies_total",
     [](const work_accuracy& each)
     {
         return static_cast<double>(each.m_replies);
     }},
    {"teasellead_expected_work_milliseconds_total",
     [](const work_accuracy& each)
     {
         return milliseconds_of(each.m_expected);
     }},
    {"teasellead_work_milliseconds_total",
     [](const work_accuracy& each)
     {
         return milliseconds_of(each.m_actual);
     }},
    {"teasellead_work_error_ratio_total",
     [](const work_accuracy& each)
     {
         return each.m_ratio_error;
     }},
}};

/// the accuracy by label; the routes beyond the limit are added up
std::map<std::string, work_accuracy> labelled(const forwarding::work_estimator& work)
{
    std::map<std::string, work_accuracy> result;
    for (const auto& [route, accuracy] : work.accuracy())
    {
        work_accuracy& target = result[result.size() < max_routes ? route : "other"];
        target.m_replies += accuracy.m_replies;
        target.m_expected += accuracy.m_expected;
        target.m_actual += accuracy.m_actual;
        target.m_ratio_error += accuracy.m_ratio_error;
    }
    return result;
}

} // namespace

std::string work_exposition(const forwarding::dispatch_context& context)
{
    std::ostringstream text;
    text << exposition_line("teasellead_upstream_choices_total", "counter", context.m_choices)
         << exposition_line("teasellead_upstream_choices_rerouted_total", "counter",
                            context.m_rerouted_choices);
    const std::map<std::string, work_accuracy> routes = labelled(context.m_work);
    for (const work_counter& counter : counters)
    {
        text << "# TYPE " << counter.m_name << " counter\n";
        for (const auto& [route, accuracy] : routes)
        {
            text << counter.m_name << "{route=\"" << route << "\"} " << counter.m_value(accuracy) << '\n';
        }
    }
    return text.str();
}

} // namespace teasellead::runtime
