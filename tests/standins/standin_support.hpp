#pragma once

#include <charconv>
#include <csignal>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "teasellead/kernel/endpoint.hpp"

namespace standin
{

/// value of a parameter in a query such as `after=3&wait_ms=100`, or a default
inline std::uint64_t query_number(std::string_view query, std::string_view name, std::uint64_t absent)
{
    const std::string wanted = std::string{name} + "=";
    const auto position = query.find(wanted);
    if (position == std::string_view::npos)
    {
        return absent;
    }
    const std::string_view digits = query.substr(position + wanted.size());
    std::uint64_t value = absent;
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return value;
}

/// splits a text at commas
inline std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> result;
    while (!text.empty())
    {
        const auto comma = text.find(',');
        result.emplace_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return result;
}

/// waits for SIGTERM or SIGINT, which must be blocked in all threads
inline void wait_for_stop()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

/// blocks SIGTERM and SIGINT for this thread and those that it starts
inline void block_stop_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace standin
