#include "teasellead/ctl/narrow_text.hpp"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace teasellead
{

namespace
{

constexpr std::string_view word_separator = " ";
constexpr std::string_view field_separator = "  ";

bool is_continuation_byte(char byte) noexcept
{
    constexpr unsigned mask = 0xC0;
    constexpr unsigned continuation = 0x80;
    return (static_cast<unsigned char>(byte) & mask) == continuation;
}

bool is_control(char byte) noexcept
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7F;
    const auto value = static_cast<unsigned char>(byte);
    return value < first_printable || value == del;
}

std::string printable(std::string_view text)
{
    std::string result{text};
    std::replace_if(result.begin(), result.end(), is_control, '?');
    return result;
}

// length of the longest prefix that fits and doesn't end within a UTF-8 character
std::size_t fitting_length(std::string_view text, std::size_t width) noexcept
{
    if (text.size() <= width)
    {
        return text.size();
    }
    std::size_t length = width;
    while (length > 1 && is_continuation_byte(text[length]))
    {
        --length;
    }
    return length;
}

} // namespace

void narrow_text::add_paragraph(std::string_view text, std::size_t indent)
{
    std::istringstream stream{std::string{text}};
    const std::vector<std::string> words{std::istream_iterator<std::string>{stream}, {}};
    add_chunks(words, word_separator, indent);
}

void narrow_text::add_fields(const std::vector<std::string>& fields, std::size_t indent)
{
    add_chunks(fields, field_separator, indent);
}

void narrow_text::add_blank_line()
{
    m_text += '\n';
}

void narrow_text::add_chunks(const std::vector<std::string>& chunks, std::string_view separator,
                             std::size_t indent)
{
    const std::size_t width = report_columns - indent;
    std::string line;
    const auto end_line = [&]
    {
        m_text += std::string(indent, ' ') + line + '\n';
        line.clear();
    };
    for (const std::string& chunk : chunks)
    {
        const std::string shown = printable(chunk);
        if (!line.empty() && line.size() + separator.size() + shown.size() > width)
        {
            end_line();
        }
        line += line.empty() ? shown : std::string{separator} + shown;
        while (line.size() > width)
        {
            const std::size_t length = fitting_length(line, width);
            std::string rest = line.substr(length);
            line.resize(length);
            end_line();
            line = std::move(rest);
        }
    }
    if (!line.empty())
    {
        end_line();
    }
}

} // namespace teasellead
