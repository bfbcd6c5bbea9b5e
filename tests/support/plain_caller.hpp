#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/runtime/http_message.hpp"

namespace test_support
{

namespace runtime = teasellead::runtime;

/// a response that a caller received; status 0 if the connection ended without one
struct plain_answer
{
    unsigned m_status{0};
    std::vector<runtime::header_field> m_fields;
    std::string m_body;

    [[nodiscard]] std::string field(std::string_view name) const;
};

/// a caller's persistent connection
class plain_caller
{
  public:
    explicit plain_caller(const teasellead::endpoint& node);
    ~plain_caller();
    plain_caller(const plain_caller&) = delete;
    plain_caller& operator=(const plain_caller&) = delete;

    /*!
    @brief sends a request and waits for its response

    @param[in] method      method
    @param[in] target      path
    @param[in] request_id  id of the request
    @param[in] key         key of the caller; empty for none
    @param[in] limit       how long the caller waits
    */
    plain_answer call(const std::string& method, const std::string& target, const std::string& request_id,
                      const std::string& key,
                      std::chrono::milliseconds limit = std::chrono::milliseconds{1000});

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace test_support
