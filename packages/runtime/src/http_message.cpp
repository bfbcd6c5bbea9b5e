#include "teasellead/runtime/http_message.hpp"

#include <algorithm>
#include <array>

namespace teasellead::runtime
{

namespace
{

constexpr std::array<std::string_view, 10> hop_by_hop_names{"connection",
                                                            "keep-alive",
                                                            "proxy-connection",
                                                            "proxy-authenticate",
                                                            "proxy-authorization",
                                                            "te",
                                                            "trailer",
                                                            "transfer-encoding",
                                                            "upgrade",
                                                            "expect"};

char lower(char letter) noexcept
{
    constexpr char distance = 'a' - 'A';
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + distance) : letter;
}

std::string_view trimmed(std::string_view text) noexcept
{
    const auto begin = text.find_first_not_of(" \t");
    const auto end = text.find_last_not_of(" \t");
    return begin == std::string_view::npos ? std::string_view{} : text.substr(begin, end - begin + 1);
}

bool list_contains(std::string_view names, std::string_view name) noexcept
{
    while (!names.empty())
    {
        const auto comma = names.find(',');
        if (same_field_name(trimmed(names.substr(0, comma)), name))
        {
            return true;
        }
        names = comma == std::string_view::npos ? std::string_view{} : names.substr(comma + 1);
    }
    return false;
}

} // namespace

bool same_field_name(std::string_view lhs, std::string_view rhs) noexcept
{
    return lhs.size() == rhs.size() &&
           std::equal(lhs.begin(), lhs.end(), rhs.begin(),
                      [](char left, char right) { return lower(left) == lower(right); });
}

std::optional<std::string_view> find_field(const std::vector<header_field>& fields,
                                           std::string_view name) noexcept
{
    for (const header_field& field : fields)
    {
        if (same_field_name(field.m_name, name))
        {
            return field.m_value;
        }
    }
    return std::nullopt;
}

bool is_hop_by_hop(std::string_view name, std::string_view listed) noexcept
{
    const auto is_name = [name](std::string_view each)
    {
        return same_field_name(each, name);
    };
    return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(), is_name) ||
           list_contains(listed, name);
}

void append_field(std::string& text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

} // namespace teasellead::runtime
