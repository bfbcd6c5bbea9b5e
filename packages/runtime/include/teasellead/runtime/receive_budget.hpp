#pragma once

#include <cstddef>

namespace teasellead::runtime
{

/*!
@brief bounds the bytes of all responses that are being received at once

Servers may send without end on any number of connections. Not safe for use by several threads.
*/
class receive_budget
{
  public:
    /// @param[in] limit  bytes of all unfinished responses together
    explicit receive_budget(std::size_t limit) noexcept : m_limit(limit)
    {
    }

    /*!
    @brief replaces what one response holds

    @param[in] before  bytes that were charged for it
    @param[in] after   bytes that it holds now

    @return whether all responses together stay within the limit
    */
    [[nodiscard]] bool replace(std::size_t before, std::size_t after) noexcept
    {
        m_used = m_used - before + after;
        return m_used <= m_limit;
    }

    /// gives back what was charged for a response
    void release(std::size_t bytes) noexcept
    {
        m_used -= bytes;
    }

    /// bytes of all unfinished responses
    [[nodiscard]] std::size_t used() const noexcept
    {
        return m_used;
    }

  private:
    std::size_t m_limit;
    std::size_t m_used{0};
};

} // namespace teasellead::runtime
