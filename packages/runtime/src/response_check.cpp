#include "response_check.hpp"

#include <algorithm>

#include "teasellead/runtime/http_message.hpp"

namespace teasellead::runtime
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr unsigned switching_protocols = 101;

bool is_ascii(std::string_view text) noexcept
{
    return std::none_of(text.begin(), text.end(),
                        [](char each) { return static_cast<unsigned char>(each) > 0x7F; });
}

std::string_view view_of(boost::beast::string_view text) noexcept
{
    return {text.data(), text.size()};
}

} // namespace

bool is_valid_status(unsigned status) noexcept
{
    return status >= min_status && status <= max_status && status != switching_protocols;
}

bool has_folded_line(std::string_view part) noexcept
{
    return part.find("\r\n ") != std::string_view::npos || part.find("\r\n\t") != std::string_view::npos;
}

bool are_valid_fields(const http::fields& fields)
{
    std::size_t lengths = 0;
    std::size_t codings = 0;
    for (const auto& field : fields)
    {
        const std::string_view value = view_of(field.value());
        if (!is_ascii(view_of(field.name_string())))
        {
            return false;
        }
        if (field.name() == http::field::content_length)
        {
            // a list of equal lengths is one that the parser accepts
            lengths += value.find(',') == std::string_view::npos ? 1 : 2;
        }
        else if (field.name() == http::field::transfer_encoding)
        {
            // a body in another coding isn't decoded
            codings += same_field_name(value, "chunked") ? 1 : 2;
        }
    }
    return lengths <= 1 && codings <= 1;
}

} // namespace teasellead::runtime
