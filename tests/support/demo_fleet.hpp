#pragma once

#include <memory>
#include <string>
#include <vector>

#include "demo_text.hpp"
#include "process_fleet.hpp"

namespace test_support
{

/// whether a response to a search covers all shards
inline bool is_complete(const caller_answer& answer)
{
    return answer.m_status == 200 && !answer.m_body.value("partial", true);
}

/// addresses of the upstreams that @ref demo_text declares in data centre 1 or 2
inline std::vector<std::string> upstreams_of(unsigned data_centre)
{
    const std::string host = std::to_string(data_centre) + ".1:";
    return {host + "9001", host + "9002", host + "9003", host + "9004"};
}

/// a platform with @ref demo_text, upstreams `north` and `south`, and a warm node in each of two data centres
inline std::unique_ptr<process_fleet> start_demo_fleet(unsigned net)
{
    auto fleet = std::make_unique<process_fleet>(net, demo_text());
    fleet->start_upstreams("north", upstreams_of(1));
    fleet->start_upstreams("south", upstreams_of(2));
    fleet->start_node(1, "north");
    fleet->start_node(2, "south");
    fleet->publish_hosts({1, 2});
    for (const unsigned node : {1U, 2U})
    {
        fleet->wait_until_ready(node);
    }
    for (const unsigned node : {1U, 2U})
    {
        fleet->call_until(node, "/search", coach_key, is_complete);
    }
    return fleet;
}

} // namespace test_support
