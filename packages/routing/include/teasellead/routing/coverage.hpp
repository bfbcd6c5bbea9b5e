#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace teasellead
{

/// why a shard is missing from a response, wholly or in part
enum class missing_reason
{
    no_replica,     ///< no replica is live
    cold,           ///< every replica is in a cold start and has no free request slot
    at_capacity,    ///< every replica was at its limits until the deadline
    deadline,       ///< no reply in time
    failed,         ///< all permitted attempts failed
    wrong_snapshot, ///< no replica has the pinned snapshot
    partial_reply   ///< the reply covered only some of the shard's keys
};

/*!
@brief name of a reason as used in responses, logs and traces

@exceptionsafety never throws
*/
[[nodiscard]] std::string_view to_string(missing_reason reason) noexcept;

/// a shard that is missing from a response, wholly or in part
class missing_shard
{
  public:
    missing_shard(std::string service, std::string shard, missing_reason reason)
        : m_service(std::move(service)), m_shard(std::move(shard)), m_reason(reason)
    {
    }

    [[nodiscard]] const std::string& service() const noexcept
    {
        return m_service;
    }

    [[nodiscard]] const std::string& shard() const noexcept
    {
        return m_shard;
    }

    [[nodiscard]] missing_reason reason() const noexcept
    {
        return m_reason;
    }

    friend auto operator<=>(const missing_shard&, const missing_shard&) = default;

  private:
    std::string m_service;
    std::string m_shard;
    missing_reason m_reason;
};

/*!
@brief how much of the key space a response covers

Counted in keys rather than in shards, so that a new partitioning doesn't change it.
*/
class coverage
{
  public:
    /*!
    @brief creates a coverage

    @param[in] answered_keys  number of keys that the response covers
    @param[in] total_keys     number of keys that the request targets
    @param[in] missing        shards that are missing, wholly or in part
    */
    coverage(std::uint64_t answered_keys, std::uint64_t total_keys, std::vector<missing_shard> missing)
        : m_answered_keys(answered_keys), m_total_keys(total_keys), m_missing(std::move(missing))
    {
    }

    [[nodiscard]] std::uint64_t answered_keys() const noexcept
    {
        return m_answered_keys;
    }

    [[nodiscard]] std::uint64_t total_keys() const noexcept
    {
        return m_total_keys;
    }

    [[nodiscard]] const std::vector<missing_shard>& missing() const noexcept
    {
        return m_missing;
    }

    /// whether the response covers every key
    [[nodiscard]] bool complete() const noexcept
    {
        return m_answered_keys == m_total_keys;
    }

    /// covered fraction of the key space, in [0, 1]
    [[nodiscard]] double fraction() const noexcept
    {
        return m_total_keys == 0 ? 1.0
                                 : static_cast<double>(m_answered_keys) / static_cast<double>(m_total_keys);
    }

    friend bool operator==(const coverage&, const coverage&) = default;

  private:
    std::uint64_t m_answered_keys;
    std::uint64_t m_total_keys;
    std::vector<missing_shard> m_missing;
};

} // namespace teasellead
