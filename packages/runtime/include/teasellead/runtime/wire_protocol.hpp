#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teasellead/forwarding/dispatch.hpp"
#include "teasellead/runtime/client_connection.hpp"
#include "teasellead/runtime/http_message.hpp"

namespace teasellead::runtime
{

/// header values of a request that are meant for the node rather than for the upstream
struct request_metadata
{
    std::string m_request_id;
    std::optional<std::chrono::milliseconds> m_time_limit; ///< how long the caller waits for the response
    std::optional<std::string> m_key;                      ///< API key

    friend bool operator==(const request_metadata&, const request_metadata&) = default;
};

/// why the load that came with a response couldn't be read
enum class load_fault
{
    none,
    too_few_figures,
    not_a_count
};

/// the name of a fault in logs and metrics
[[nodiscard]] constexpr std::string_view to_string(load_fault fault) noexcept
{
    switch (fault)
    {
    case load_fault::none:
        return "none";
    case load_fault::too_few_figures:
        return "too_few_figures";
    case load_fault::not_a_count:
        return "not_a_count";
    }
    return "unknown";
}

/// notice that an upstream attached to a response, such as its load, or that it is leaving or needs a pause
struct parsed_notice
{
    forwarding::upstream_notice m_notice;
    std::string m_invalid_value; ///< a value that couldn't be parsed, for logs; empty if there is none
    load_fault m_load_fault{load_fault::none};

    friend bool operator==(const parsed_notice&, const parsed_notice&) = default;
};

/// outcome of an attempt for which a response was received
using attempt_outcome = std::variant<forwarding::upstream_reply, forwarding::attempt_failure>;

/*!
@brief encodes and decodes requests, attempts and responses as HTTP header fields and status codes

Implementations decide nothing; they only define the names and meanings of the fields.
*/
class wire_protocol
{
  public:
    wire_protocol() = default;
    wire_protocol(const wire_protocol&) = delete;
    wire_protocol& operator=(const wire_protocol&) = delete;
    virtual ~wire_protocol() = default;

    /// reads the notice that an upstream attached to a response
    [[nodiscard]] virtual parsed_notice read_notice(const http_response& response) const = 0;

    /// reads the header values of a request that are meant for the node
    [[nodiscard]] virtual request_metadata read_metadata(const http_request& request) const = 0;

    /*!
    @brief request line and header fields that are the same for all attempts of a request

    @param[in] request  the caller's request
    @param[in] account  name of the client account; empty if there is none
    */
    [[nodiscard]] virtual std::string common_head(const http_request& request,
                                                  const std::string& account) const = 0;

    /*!
    @brief header fields that differ between the attempts of a request

    @param[in] instance   id of the upstream process that is to run the request
    @param[in] time_left  time after which the reply is no longer needed
    */
    [[nodiscard]] virtual std::string attempt_fields(const std::string& instance,
                                                     std::chrono::milliseconds time_left) const = 0;

    /// whether a response belongs to the request with the given id
    [[nodiscard]] virtual response_match match(const http_response& response,
                                               const std::string& request_id) const = 0;

    /// interprets an upstream's complete response
    [[nodiscard]] virtual attempt_outcome read_response(received_response response) const = 0;

    /// header fields of a response that was merged from the replies of several shards
    [[nodiscard]] virtual std::vector<header_field>
    gathered_fields(const forwarding::gathered& answer) const = 0;
};

} // namespace teasellead::runtime
