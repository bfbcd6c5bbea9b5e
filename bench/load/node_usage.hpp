#pragma once

#include <chrono>
#include <cstdint>
#include <sys/types.h>

namespace bench
{

/// resources used so far by one process, or by several together
struct node_usage
{
    std::chrono::microseconds m_processor_time{0};
    std::uint64_t m_resident_kib{0};
    std::uint64_t m_threads{0};

    friend bool operator==(const node_usage&, const node_usage&) = default;
};

/*!
@brief reads the resource usage of a process

@param[in] process  id of a process of the same user

@return its usage

@throw std::runtime_error if the operating system doesn't report it
*/
[[nodiscard]] node_usage usage_of(pid_t process);

/// sum of two usages
[[nodiscard]] node_usage operator+(const node_usage& lhs, const node_usage& rhs) noexcept;

} // namespace bench
