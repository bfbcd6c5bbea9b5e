#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "teasellead/kernel/clock.hpp"

namespace teasellead::testing
{

/// when a simulated fleet starts; not zero, so that a default-constructed time lies in the past
inline constexpr time_point simulation_start{std::chrono::hours{1}};

/// how a caller's request ended
enum class request_end
{
    unanswered, ///< no response arrived
    served,
    refused, ///< with confirmation that it hasn't run and never will
    denied,  ///< because the route or key is unknown
    failed   ///< it is unknown whether it ran
};

/// one request as observed by its caller
struct request_event
{
    std::string m_id;
    std::string m_account; ///< account whose key was sent
    std::string m_key;
    bool m_is_idempotent{true};
    bool m_crashes_upstreams{false};   ///< crashes each upstream that begins to run it
    std::vector<std::string> m_shards; ///< services of a scatter when it was admitted
    std::vector<std::string> m_parts;  ///< services whose shard replies the response contains
    std::size_t m_missing{0};
    std::size_t m_node{0};
    std::uint64_t m_process{0}; ///< incarnation of the node
    std::uint64_t m_version{0}; ///< version of the configuration used at admission; 0 if not admitted
    time_point m_sent;
    time_point m_admitted{};
    time_point m_ended{};
    duration m_timeout{};
    request_end m_end{request_end::unanswered};
    std::string m_reason; ///< why it wasn't served
};

/// one attempt that reached an upstream
struct arrival_event
{
    std::string m_request;
    std::string m_account;
    std::string m_service; ///< service of the upstream at the address
    std::string m_instance;
    std::string m_data_centre;
    std::size_t m_node{0};
    std::uint64_t m_process{0}; ///< incarnation of the node
    time_point m_request_sent;  ///< when the caller sent the request
    time_point m_sent;          ///< when the node sent the attempt
    time_point m_arrived;
    bool m_ran{false};
    bool m_is_cold{false};
    bool m_is_first{true}; ///< whether it is the first arrival of the request at the service
};

/// a time interval
struct time_span
{
    time_point m_from;
    time_point m_to{time_point::max()};

    friend bool operator==(const time_span&, const time_span&) = default;
};

/// a node has processed a notice of an upstream
struct notice_event
{
    std::size_t m_node{0};
    std::uint64_t m_process{0}; ///< incarnation of the node
    std::string m_instance;
    bool m_is_leaving{false};
    time_point m_answered; ///< when the upstream replied
    time_point m_taken;    ///< when the node processed the notice
    duration m_pause{duration::zero()};
};

/// a request that crashed an upstream
struct crash_event
{
    std::string m_request;
    std::string m_instance;
    time_point m_at;
};

/// all recorded events of a simulated fleet
struct fleet_events
{
    std::vector<request_event> m_requests;
    std::vector<arrival_event> m_arrivals;
    std::vector<crash_event> m_crashes;
    std::vector<notice_event> m_notices;
    std::map<std::size_t, std::vector<time_span>> m_frozen;     ///< by node
    std::map<std::size_t, std::vector<time_span>> m_cut;        ///< by node
    std::map<std::uint64_t, time_point> m_versions;             ///< when the store acknowledged each version
    std::map<std::uint64_t, std::vector<std::string>> m_shards; ///< services by version
    std::map<std::string, time_point> m_withdrawn_keys;         ///< when their withdrawal was acknowledged
    std::map<std::string, time_point> m_left; ///< when each instance began to drain or was removed
    std::vector<std::pair<std::string, time_span>> m_evacuations; ///< data centre and time
    std::map<std::size_t, std::vector<time_span>> m_disturbed; ///< by node: restart, stall, partition or loss
    std::vector<time_span> m_store_disturbed;
    std::map<std::string, std::vector<std::pair<time_point, double>>> m_rates; ///< limits by account and time
};

} // namespace teasellead::testing
