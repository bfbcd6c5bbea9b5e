#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <utility>

namespace teasellead::runtime
{

/// what a node holds bytes for
enum class memory_use
{
    request, ///< requests that are received from callers or held until their response
    reply,   ///< replies that are received from upstreams or held until they are merged or forwarded
    response ///< responses that callers haven't read completely
};

/// limits of the bytes that a node holds
struct memory_limits
{
    std::size_t m_requests{0};  ///< in bytes
    std::size_t m_replies{0};   ///< in bytes
    std::size_t m_responses{0}; ///< in bytes

    /*!
    @brief limits that follow from the memory of a process

    Together they are half of it; the rest is left to everything else and to copies of single messages.

    @param[in] bytes  memory that the process may use
    */
    [[nodiscard]] static constexpr memory_limits for_memory(std::size_t bytes) noexcept
    {
        constexpr std::size_t sixteenths = 16;
        const std::size_t part = bytes / sixteenths;
        return {2 * part, 3 * part, 3 * part};
    }

    /// limit for one use in bytes
    [[nodiscard]] constexpr std::size_t of(memory_use use) const noexcept
    {
        switch (use)
        {
        case memory_use::request:
            return m_requests;
        case memory_use::reply:
            return m_replies;
        case memory_use::response:
            break;
        }
        return m_responses;
    }

    friend bool operator==(const memory_limits&, const memory_limits&) = default;
};

/*!
@brief counts the bytes that a node holds for callers and upstreams

Not thread-safe.
*/
class memory_budget
{
  public:
    /// @param[in] limits  largest number of bytes for each use
    explicit memory_budget(const memory_limits& limits) noexcept : m_limits(limits)
    {
    }

    /// replaces the charge of one holder, both in bytes
    void replace(memory_use use, std::size_t before, std::size_t after) noexcept
    {
        std::size_t& used = m_used.at(static_cast<std::size_t>(use));
        used = used - before + after;
    }

    /// bytes that are held for a use
    [[nodiscard]] std::size_t used(memory_use use) const noexcept
    {
        return m_used.at(static_cast<std::size_t>(use));
    }

    /// whether more bytes are held for a use than its limit
    [[nodiscard]] bool is_exceeded(memory_use use) const noexcept
    {
        return used(use) > m_limits.of(use);
    }

    /*!
    @brief whether there is room for another request

    Requests are refused before the limit of the replies is reached, so that those under way can finish.

    @param[in] own  bytes of the request, which are charged already; alone it is never too large
    */
    [[nodiscard]] bool admits_request(std::size_t own) const noexcept
    {
        return used(memory_use::reply) <= m_limits.m_replies / 2 &&
               used(memory_use::request) <= m_limits.m_requests + own;
    }

  private:
    static constexpr std::size_t use_count = 3;

    memory_limits m_limits;
    std::array<std::size_t, use_count> m_used{};
};

/// charge of one holder, which its destruction removes; without a budget it has no effect
class memory_charge
{
  public:
    memory_charge(std::shared_ptr<memory_budget> budget, memory_use use) noexcept
        : m_budget(std::move(budget)), m_use(use)
    {
    }

    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;

    ~memory_charge()
    {
        set(0);
    }

    /// sets the bytes that the holder holds now
    void set(std::size_t bytes) noexcept
    {
        const std::size_t before = std::exchange(m_bytes, bytes);
        if (m_budget)
        {
            m_budget->replace(m_use, before, bytes);
        }
    }

    /// adds to the bytes that the holder holds
    void add(std::size_t bytes) noexcept
    {
        set(m_bytes + bytes);
    }

    /// bytes that the holder holds
    [[nodiscard]] std::size_t bytes() const noexcept
    {
        return m_bytes;
    }

    /// whether the limit of this use is exceeded
    [[nodiscard]] bool is_exceeded() const noexcept
    {
        return m_budget && m_budget->is_exceeded(m_use);
    }

  private:
    std::shared_ptr<memory_budget> m_budget;
    memory_use m_use;
    std::size_t m_bytes{0};
};

} // namespace teasellead::runtime
