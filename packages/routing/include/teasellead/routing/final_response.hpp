#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "teasellead/kernel/verdict.hpp"

namespace teasellead
{

/// the response to the caller of a non-idempotent request
class final_response
{
  public:
    /*!
    @brief creates a response

    @param[in] status       HTTP status
    @param[in] body         body of the response
    @param[in] effect       whether the request may have run
    @param[in] retry_after  delay after which the caller may retry; zero for no such hint
    */
    final_response(std::uint32_t status, std::string body, enum verdict effect,
                   std::chrono::milliseconds retry_after)
        : m_status(status), m_body(std::move(body)), m_verdict(effect), m_retry_after(retry_after)
    {
    }

    [[nodiscard]] std::uint32_t status() const noexcept
    {
        return m_status;
    }

    [[nodiscard]] const std::string& body() const noexcept
    {
        return m_body;
    }

    [[nodiscard]] enum verdict verdict() const noexcept
    {
        return m_verdict;
    }

    [[nodiscard]] std::chrono::milliseconds retry_after() const noexcept
    {
        return m_retry_after;
    }

    friend bool operator==(const final_response&, const final_response&) = default;

  private:
    std::uint32_t m_status;
    std::string m_body;
    enum verdict m_verdict;
    std::chrono::milliseconds m_retry_after;
};

} // namespace teasellead
