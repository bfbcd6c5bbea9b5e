#include "teasellead/runtime/connection_eviction.hpp"

#include <algorithm>
#include <array>
#include <chrono>

namespace teasellead::runtime
{

namespace
{

// descriptors that a process needs for files
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t caller_share = 2;
constexpr std::size_t operator_share = 16;
constexpr std::size_t min_connections = 4;

constexpr std::array dispensable_order{connection_activity::lingering, connection_activity::idle,
                                       connection_activity::receiving, connection_activity::sending};

/// fraction of the descriptors for sockets
std::size_t socket_share(std::size_t max_descriptors, std::size_t divisor) noexcept
{
    const std::size_t sockets = max_descriptors - std::min(max_descriptors, file_descriptors);
    return std::max(sockets / divisor, min_connections);
}

double occupation(const connection_load& load)
{
    // a connection whose activity has just begun counts by its bytes
    constexpr double min_seconds = 0.001;
    const double seconds = std::chrono::duration<double>(load.m_duration).count();
    return static_cast<double>(load.m_bytes) * std::max(seconds, min_seconds);
}

} // namespace

std::optional<std::size_t> heaviest_connection(const std::vector<connection_load>& connections,
                                               memory_use use)
{
    const auto evictable =
        use == memory_use::response ? connection_activity::sending : connection_activity::receiving;
    std::optional<std::size_t> heaviest;
    std::size_t holders = 0;
    for (std::size_t index = 0; index < connections.size(); ++index)
    {
        const connection_load& each = connections[index];
        if (each.m_activity != evictable || each.m_bytes == 0)
        {
            continue;
        }
        ++holders;
        if (!heaviest || occupation(each) > occupation(connections[*heaviest]))
        {
            heaviest = index;
        }
    }
    return holders > 1 ? heaviest : std::nullopt;
}

std::optional<std::size_t> most_dispensable_connection(const std::vector<connection_load>& connections)
{
    for (const connection_activity activity : dispensable_order)
    {
        std::optional<std::size_t> oldest;
        for (std::size_t index = 0; index < connections.size(); ++index)
        {
            const connection_load& each = connections[index];
            if (each.m_activity == activity && (!oldest || each.m_duration > connections[*oldest].m_duration))
            {
                oldest = index;
            }
        }
        if (oldest)
        {
            return oldest;
        }
    }
    return std::nullopt;
}

std::size_t max_caller_connections(std::size_t max_descriptors) noexcept
{
    return socket_share(max_descriptors, caller_share);
}

std::size_t max_operator_connections(std::size_t max_descriptors) noexcept
{
    return socket_share(max_descriptors, operator_share);
}

} // namespace teasellead::runtime
