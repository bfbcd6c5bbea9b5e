#pragma once

#include <string>
#include <vector>

#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/runtime/http_message.hpp"

namespace teasellead::detail
{

/*!
@brief serialises an HTTP/1.1 request for a persistent connection

@param[in] method  HTTP method
@param[in] target  path with query
@param[in] server  address of the server
@param[in] fields  further header fields, besides `Host` and `Content-Length`
@param[in] body    the body; may be empty

@return the bytes to send
*/
[[nodiscard]] inline std::string request_text(const std::string& method, const std::string& target,
                                              const endpoint& server,
                                              const std::vector<runtime::header_field>& fields,
                                              const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    runtime::append_field(text, "Host", server.to_string());
    for (const runtime::header_field& field : fields)
    {
        runtime::append_field(text, field.m_name, field.m_value);
    }
    if (method != "GET")
    {
        runtime::append_field(text, "Content-Length", std::to_string(body.size()));
    }
    return text + "\r\n" + body;
}

} // namespace teasellead::detail
