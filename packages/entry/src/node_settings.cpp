#include "teasellead/entry/node_settings.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cxxopts.hpp>

#include "teasellead/fleet/limit_policy.hpp"
#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/routing/hedge_policy.hpp"
#include "teasellead/routing/replica_selector.hpp"

namespace teasellead
{

namespace
{

constexpr int unknown_flag_id = 201;
constexpr int invalid_value_id = 202;
constexpr int missing_setting_id = 204;
constexpr std::size_t fleet_key_size = 40;

/// looks up the text of a setting by name, first in the flags, then in the environment
class settings_source
{
  public:
    settings_source(const cxxopts::ParseResult& flags, const environment_lookup& environment)
        : m_flags(flags), m_environment(environment)
    {
    }

    [[nodiscard]] std::optional<std::string> find(const std::string& name) const
    {
        if (m_flags.count(name) > 0)
        {
            return m_flags[name].as<std::string>();
        }
        return m_environment(variable_of(name));
    }

    [[nodiscard]] std::string require(const std::string& name) const
    {
        const auto value = find(name);
        if (!value || value->empty())
        {
            throw settings_error(missing_setting_id, "setting \"" + name + "\" is missing: use --" + name +
                                                         " or " + variable_of(name));
        }
        return *value;
    }

    [[nodiscard]] static std::string variable_of(const std::string& name)
    {
        std::string variable = "TEASELLEAD_" + name;
        std::transform(variable.begin(), variable.end(), variable.begin(),
                       [](unsigned char letter) { return letter == '-' ? '_' : std::toupper(letter); });
        return variable;
    }

  private:
    const cxxopts::ParseResult& m_flags;
    const environment_lookup& m_environment;
};

[[noreturn]] void reject(const std::string& name, const std::string& value, const std::string& expected)
{
    throw settings_error(invalid_value_id, "setting \"" + name + "\" is \"" + value + "\", not " + expected);
}

endpoint parse_address(const std::string& name, const std::string& value)
{
    try
    {
        return endpoint::parse(value);
    }
    catch (const protocol_error&)
    {
        reject(name, value, "an IP number with a port");
    }
}

std::int64_t parse_integer(const std::string& name, const std::string& value, std::int64_t low,
                           std::int64_t high)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc{} || end != value.data() + value.size() || number < low || number > high)
    {
        reject(name, value, "an integer from " + std::to_string(low) + " to " + std::to_string(high));
    }
    return number;
}

double parse_ratio(const std::string& name, const std::string& value)
{
    double number = 0.0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (error != std::errc{} || end != value.data() + value.size() || !(number >= 0.0 && number <= 1.0))
    {
        reject(name, value, "a number from 0 to 1");
    }
    return number;
}

void read_count(const settings_source& source, const std::string& name, std::int64_t high,
                std::size_t& target)
{
    if (const auto value = source.find(name))
    {
        target = static_cast<std::size_t>(parse_integer(name, *value, 1, high));
    }
}

void read_milliseconds(const settings_source& source, const std::string& name,
                       std::chrono::milliseconds& target)
{
    constexpr std::int64_t longest_ms = 3'600'000;
    if (const auto value = source.find(name))
    {
        target = std::chrono::milliseconds{parse_integer(name, *value, 0, longest_ms)};
    }
}

log_format parse_log_format(const std::string& name, const std::string& value)
{
    if (value == "key-value")
    {
        return log_format::key_value;
    }
    if (value == "json")
    {
        return log_format::json;
    }
    reject(name, value, "\"key-value\" or \"json\"");
}

bool parse_on_off(const std::string& name, const std::string& value)
{
    if (value != "on" && value != "off")
    {
        reject(name, value, "\"on\" or \"off\"");
    }
    return value == "on";
}

/// reads the key pair from the environment only, since command lines are visible in process lists
fleet_key read_fleet_key(const environment_lookup& environment)
{
    const std::string public_name = "TEASELLEAD_FLEET_PUBLIC_KEY";
    const std::string secret_name = "TEASELLEAD_FLEET_SECRET_KEY";
    fleet_key key{environment(public_name).value_or(""), environment(secret_name).value_or("")};
    const bool is_complete = key.m_public.size() == fleet_key_size && key.m_secret.size() == fleet_key_size;
    if (!is_complete)
    {
        throw settings_error(missing_setting_id,
                             public_name + " and " + secret_name +
                                 " must have 40 characters each: make them with teaselleadctl "
                                 "fleet-key");
    }
    return key;
}

void add_options(cxxopts::Options& options)
{
    const auto text = []
    {
        return cxxopts::value<std::string>();
    };
    auto add = options.add_options();
    add("listen", "address for callers, IP:PORT", text());
    add("peer-listen", "address for other nodes, IP:PORT", text());
    add("operator-listen", "address for reports and metrics, IP:PORT", text());
    add("platform", "address of the platform, IP:PORT", text());
    add("data-centre", "data centre of this host", text());
    add("workers", "requests that run at the same time (32)", text());
    add("queue", "largest number of queued requests of one client account (256)", text());
    add("max-body", "largest request body in bytes (1000000)", text());
    add("max-reply", "largest reply of an upstream in bytes (1000000)", text());
    add("balancer-lag-ms", "time until the load balancer stops sending requests to a stopping node (5000)",
        text());
    add("stop-timeout-ms", "longest duration of a graceful stop (30000)", text());
    add("list-lag-ms", "longest delay of the platform's host list (3000)", text());
    add("list-freshness-ms", "age from which the host list is no longer valid (10000)", text());
    add("hello-period-ms", "time between two heartbeats to a peer (200)", text());
    add("extra-load", "budget of hedges and retries, as a fraction of the sub-requests (0.02)", text());
    add("replica-selector", "two-choices or random (two-choices)", text());
    add("hedging", "quantile or none (quantile)", text());
    add("limits", "lending or static-split (lending)", text());
    add("cold-start-limit", "on or off (on)", text());
    add("log-format", "key-value or json (key-value)", text());
    add("log-level", "debug, info, warning, error or off (info)", text());
    add("help", "print this text");
    add("version", "print the version");
}

node_settings read_settings(const settings_source& source, const environment_lookup& environment)
{
    constexpr std::int64_t max_workers = 4096;
    constexpr std::int64_t max_queue = 1'000'000;
    constexpr std::int64_t max_bytes = 64'000'000;
    const auto address = [&source](const std::string& name)
    {
        return parse_address(name, source.require(name));
    };
    node_settings settings;
    settings.m_listen = address("listen");
    settings.m_peer_listen = address("peer-listen");
    settings.m_operator_listen = address("operator-listen");
    settings.m_platform = address("platform");
    settings.m_data_centre = source.require("data-centre");
    read_count(source, "workers", max_workers, settings.m_workers);
    read_count(source, "queue", max_queue, settings.m_queue);
    read_count(source, "max-body", max_bytes, settings.m_max_body);
    read_count(source, "max-reply", max_bytes, settings.m_max_reply);
    read_milliseconds(source, "balancer-lag-ms", settings.m_balancer_lag);
    read_milliseconds(source, "stop-timeout-ms", settings.m_stop_timeout);
    read_milliseconds(source, "list-lag-ms", settings.m_list_lag);
    read_milliseconds(source, "list-freshness-ms", settings.m_list_freshness);
    read_milliseconds(source, "hello-period-ms", settings.m_hello_period);
    if (const auto value = source.find("extra-load"))
    {
        settings.m_extra_load = parse_ratio("extra-load", *value);
    }
    settings.m_replica_selector = source.find("replica-selector").value_or(settings.m_replica_selector);
    settings.m_hedging = source.find("hedging").value_or(settings.m_hedging);
    (void)make_replica_selector(settings.m_replica_selector);
    (void)make_hedging_rule(settings.m_hedging);
    settings.m_limits = source.find("limits").value_or(settings.m_limits);
    (void)make_limit_policy(settings.m_limits);
    settings.m_cold_start_limit =
        parse_on_off("cold-start-limit", source.find("cold-start-limit").value_or("on"));
    settings.m_log_format = parse_log_format("log-format", source.find("log-format").value_or("key-value"));
    settings.m_log_level = parse_log_level("log-level", source.find("log-level").value_or("info"));
    settings.m_fleet_key = read_fleet_key(environment);
    return settings;
}

} // namespace

log_level parse_log_level(const std::string& name, const std::string& value)
{
    struct named_level
    {
        const char* m_name;
        log_level m_level;
    };
    constexpr named_level levels[] = {{"debug", log_level::debug},
                                      {"info", log_level::info},
                                      {"warning", log_level::warning},
                                      {"error", log_level::error},
                                      {"off", log_level::off}};
    for (const named_level& candidate : levels)
    {
        if (value == candidate.m_name)
        {
            return candidate.m_level;
        }
    }
    reject(name, value, "one of debug, info, warning, error, off");
}

std::variant<node_settings, help_text> read_node_settings(const std::vector<std::string>& arguments,
                                                          const environment_lookup& environment)
{
    cxxopts::Options options{"teasellead", "Query tier over many shards: the node on an entry host"};
    add_options(options);
    std::vector<const char*> argv{"teasellead"};
    for (const std::string& argument : arguments)
    {
        argv.push_back(argument.c_str());
    }
    try
    {
        const auto flags = options.parse(static_cast<int>(argv.size()), argv.data());
        if (flags.count("help") > 0)
        {
            return help_text{options.help()};
        }
        if (flags.count("version") > 0)
        {
            return help_text{"teasellead " TEASELLEAD_VERSION "\n"};
        }
        if (!flags.unmatched().empty())
        {
            throw settings_error(unknown_flag_id, "unknown argument \"" + flags.unmatched().front() + "\"");
        }
        return read_settings(settings_source{flags, environment}, environment);
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        throw settings_error(unknown_flag_id, error.what());
    }
}

} // namespace teasellead
