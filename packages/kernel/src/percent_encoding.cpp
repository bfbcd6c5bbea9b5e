#include "teasellead/kernel/percent_encoding.hpp"

#include <algorithm>
#include <charconv>

namespace teasellead
{

namespace
{

constexpr unsigned hexadecimal = 16;

constexpr bool is_kept(char letter) noexcept
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') ||
           std::string_view{"-._~/"}.find(letter) != std::string_view::npos;
}

} // namespace

std::string percent_encoded(std::string_view value)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char each : value)
    {
        if (is_kept(each))
        {
            result.push_back(each);
            continue;
        }
        const auto code = static_cast<unsigned char>(each);
        result += {'%', digits[code / hexadecimal], digits[code % hexadecimal]};
    }
    return result;
}

std::string percent_decoded(std::string_view value)
{
    constexpr std::size_t digits = 2;
    std::string result;
    for (std::size_t i = 0; i < value.size(); ++i)
    {
        unsigned code = 0;
        const std::string_view rest = value.substr(std::min(i + 1, value.size()), digits);
        const auto end = std::from_chars(rest.data(), rest.data() + rest.size(), code, hexadecimal).ptr;
        const bool is_encoded = value[i] == '%' && rest.size() == digits && end == rest.data() + rest.size();
        result.push_back(is_encoded ? static_cast<char>(code) : value[i]);
        i += is_encoded ? digits : 0;
    }
    return result;
}

} // namespace teasellead
