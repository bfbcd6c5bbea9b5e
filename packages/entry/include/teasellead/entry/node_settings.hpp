#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/fleet/peer_link.hpp"
#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/runtime/decision_log.hpp"

namespace teasellead
{

/// validated settings of a node
struct node_settings
{
    endpoint m_listen;          ///< address for callers
    endpoint m_peer_listen;     ///< address for other nodes; identifies the host
    endpoint m_operator_listen; ///< address for reports and metrics
    endpoint m_platform;        ///< address of the platform's configuration service
    std::string m_data_centre;
    fleet_key m_fleet_key;
    std::size_t m_workers{32};          ///< number of requests that run concurrently
    std::size_t m_queue{256};           ///< largest number of queued requests of one client account
    std::size_t m_max_body{1'000'000};  ///< largest request body in bytes
    std::size_t m_max_reply{1'000'000}; ///< largest reply of an upstream in bytes
    std::chrono::milliseconds m_balancer_lag{
        std::chrono::seconds{5}}; ///< time until the load balancer stops sending requests to a stopping node
    std::chrono::milliseconds m_stop_timeout{std::chrono::seconds{30}}; ///< longest graceful stop
    std::chrono::milliseconds m_list_lag{std::chrono::seconds{3}};      ///< longest delay of the host list
    std::chrono::milliseconds m_list_freshness{
        std::chrono::seconds{10}};                 ///< age from which the host list is no longer valid
    std::chrono::milliseconds m_hello_period{200}; ///< time between two heartbeats to a peer
    double m_extra_load{0.02}; ///< budget of hedges and retries, as a fraction of the sub-requests
    std::string m_replica_selector{"two-choices"};
    std::string m_hedging{"quantile"};
    std::string m_limits{"lending"};
    bool m_cold_start_limit{true};
    log_format m_log_format{log_format::key_value};
    log_level m_log_level{log_level::info};
};

/// text to print, if the command line asks for the help text or the version
struct help_text
{
    std::string m_text;
};

/*!
@brief parses the name of a log level

@param[in] name   name of the setting, for the error message
@param[in] value  `debug`, `info`, `warning`, `error` or `off`

@throw settings_error 202 if @a value isn't the name of a level
*/
[[nodiscard]] log_level parse_log_level(const std::string& name, const std::string& value);

/// reads an environment variable
using environment_lookup = std::function<std::optional<std::string>(const std::string&)>;

/*!
@brief reads and checks the settings of a node

A flag overrides the environment variable of the same name with the prefix `TEASELLEAD_`.

@param[in] arguments    command line without the program's name
@param[in] environment  reads environment variables

@return the settings, or the text that `--help` or `--version` asks for

@throw settings_error 201 unknown flag, 202 invalid value, 203 unknown plug-in, 204 missing setting
*/
[[nodiscard]] std::variant<node_settings, help_text>
read_node_settings(const std::vector<std::string>& arguments, const environment_lookup& environment);

} // namespace teasellead
