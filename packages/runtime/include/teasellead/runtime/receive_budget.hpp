#pragma once

#include <cstddef>

namespace teasellead::runtime
{

/*!
@brief limits the total memory of all responses that are being received

Without it, servers that send endless responses on many connections could exhaust the memory. Not
thread-safe.
*/
class receive_budget
{
  public:
    /// @param[in] limit  largest total size of all unfinished responses in bytes
    explicit receive_budget(std::size_t limit) noexcept : m_limit(limit)
    {
    }

    /*!
    @brief updates the bytes that are charged for one response

    @param[in] before  bytes that were charged for it so far
    @param[in] after   bytes to charge for it now

    @return whether the total is within the limit; the new charge applies in either case
    */
    [[nodiscard]] bool replace(std::size_t before, std::size_t after) noexcept
    {
        m_used = m_used - before + after;
        return m_used <= m_limit;
    }

    /// removes the charge for a response
    void release(std::size_t bytes) noexcept
    {
        m_used -= bytes;
    }

    /// bytes charged for all unfinished responses
    [[nodiscard]] std::size_t used() const noexcept
    {
        return m_used;
    }

  private:
    std::size_t m_limit;
    std::size_t m_used{0};
};

} // namespace teasellead::runtime
