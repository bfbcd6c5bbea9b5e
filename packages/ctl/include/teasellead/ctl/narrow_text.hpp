#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace teasellead
{

/// width of reports in columns; fits the screen of a phone
inline constexpr std::size_t report_columns = 40;

/*!
@brief text whose lines are never longer than @ref report_columns bytes

Words longer than a line are broken between UTF-8 characters, never truncated. Control characters become `?`.
*/
class narrow_text
{
  public:
    /*!
    @brief appends words, wrapped at spaces

    @param[in] text    words, separated by white space
    @param[in] indent  spaces before each line; less than half of @ref report_columns
    */
    void add_paragraph(std::string_view text, std::size_t indent = 0);

    /*!
    @brief appends fields, as many on a line as fit; a field is broken only if it is longer than a line

    @param[in] fields  the fields
    @param[in] indent  spaces before each line; less than half of @ref report_columns
    */
    void add_fields(const std::vector<std::string>& fields, std::size_t indent);

    /// appends an empty line
    void add_blank_line();

    /// all lines, each with a newline at its end
    [[nodiscard]] const std::string& text() const noexcept
    {
        return m_text;
    }

  private:
    void add_chunks(const std::vector<std::string>& chunks, std::string_view separator, std::size_t indent);

    std::string m_text;
};

} // namespace teasellead
