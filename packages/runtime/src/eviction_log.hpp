#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "teasellead/runtime/caller_server.hpp"
#include "teasellead/runtime/request_log.hpp"

namespace teasellead::runtime
{

/// logs and counts the connections that a node closed to stay within its limits
class eviction_log
{
  public:
    /// @param[in] log  where the lines go; must outlive this object
    explicit eviction_log(request_log& log) : m_log(log)
    {
    }

    /// records a closed connection
    void add(const eviction& evicted);

    /// counters of closed connections, and the bytes held, in the Prometheus text exposition format
    [[nodiscard]] std::string exposition(const memory_budget& memory) const;

  private:
    [[nodiscard]] std::uint64_t count_of(eviction_reason reason) const;

    request_log& m_log;
    std::map<eviction_reason, std::uint64_t> m_counts;
};

} // namespace teasellead::runtime
