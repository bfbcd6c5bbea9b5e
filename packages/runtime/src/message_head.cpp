#include "message_head.hpp"

#include <boost/beast/http/status.hpp>

namespace teasellead::runtime
{

std::string response_head(const http_response& response, std::chrono::milliseconds idle_timeout,
                          bool is_final)
{
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    const auto reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(response.m_status));
    std::string head = "HTTP/1.1 " + std::to_string(response.m_status) + " ";
    head.append(reason.data(), reason.size());
    head += "\r\n";
    for (const header_field& field : response.m_fields)
    {
        append_field(head, field.m_name, field.m_value);
    }
    const bool has_own_length = find_field(response.m_fields, "content-length").has_value();
    if (response.m_status != no_content && response.m_status != not_modified && !has_own_length)
    {
        append_field(head, "Content-Length", std::to_string(response.m_body.size()));
    }
    const auto idle_s = std::chrono::duration_cast<std::chrono::seconds>(idle_timeout);
    if (is_final)
    {
        append_field(head, "Connection", "close");
    }
    else if (idle_s.count() > 0)
    {
        append_field(head, "Keep-Alive", "timeout=" + std::to_string(idle_s.count()));
    }
    head += "\r\n";
    return head;
}

} // namespace teasellead::runtime
