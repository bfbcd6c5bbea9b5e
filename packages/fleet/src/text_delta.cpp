#include "teasellead/fleet/text_delta.hpp"

#include <algorithm>
#include <unordered_map>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

constexpr int invalid_delta_id = 505;
// number of positions at which a repeated line is tried, limited so that the time stays linear
constexpr std::size_t max_candidates = 8;
// number of lines compared to rank the candidate positions
constexpr std::size_t max_ranked_lines = 16;
// smallest copied range; the edit for a shorter one takes more bytes than its text
constexpr std::size_t min_copy_bytes = 24;
// upper bound of the encoded size of offset, copied size and inserted length with their protobuf tags
constexpr std::size_t edit_overhead_bytes = 16;

/// a text with an index of its lines
class line_table
{
  public:
    explicit line_table(std::string_view text) : m_text(text)
    {
        std::size_t start = 0;
        while (start < text.size())
        {
            m_starts.push_back(start);
            const std::size_t end = text.find('\n', start);
            start = end == std::string_view::npos ? text.size() : end + 1;
        }
        m_starts.push_back(text.size());
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_starts.size() - 1;
    }

    [[nodiscard]] std::size_t start(std::size_t line) const
    {
        return m_starts[line];
    }

    /// a line including its line feed
    [[nodiscard]] std::string_view line(std::size_t line) const
    {
        return m_text.substr(m_starts[line], m_starts[line + 1] - m_starts[line]);
    }

    /// the bytes of a range of lines
    [[nodiscard]] std::string_view lines(std::size_t from, std::size_t to) const
    {
        return m_text.substr(m_starts[from], m_starts[to] - m_starts[from]);
    }

  private:
    std::string_view m_text;
    std::vector<std::size_t> m_starts;
};

class delta_builder
{
  public:
    delta_builder(std::string_view base, std::string_view target) : m_base(base), m_target(target)
    {
        m_positions.reserve(m_base.size());
        for (std::size_t line = 0; line < m_base.size(); ++line)
        {
            std::vector<std::size_t>& positions = m_positions[m_base.line(line)];
            if (positions.size() < max_candidates)
            {
                positions.push_back(line);
            }
        }
    }

    std::vector<text_edit> build()
    {
        std::size_t line = 0;
        while (line < m_target.size())
        {
            const std::size_t position = best_position(line);
            const std::size_t length = match_length(position, line, m_target.size());
            if (m_target.lines(line, line + length).size() < min_copy_bytes)
            {
                insert(m_target.line(line));
                ++line;
                ++m_expected;
                continue;
            }
            copy(position, length);
            line += length;
            m_expected = position + length;
        }
        return std::move(m_edits);
    }

  private:
    /// number of equal lines, from a position in the base and a line of the target
    [[nodiscard]] std::size_t match_length(std::size_t position, std::size_t line, std::size_t limit) const
    {
        std::size_t length = 0;
        while (length < limit && position + length < m_base.size() && line + length < m_target.size() &&
               m_base.line(position + length) == m_target.line(line + length))
        {
            ++length;
        }
        return length;
    }

    /// position in the base with the longest match; on equal lengths, the one after the last copied range
    [[nodiscard]] std::size_t best_position(std::size_t line) const
    {
        std::size_t best = m_expected;
        std::size_t best_length = match_length(m_expected, line, max_ranked_lines);
        const auto found = m_positions.find(m_target.line(line));
        if (found == m_positions.end())
        {
            return best;
        }
        for (const std::size_t position : found->second)
        {
            const std::size_t length = match_length(position, line, max_ranked_lines);
            if (length > best_length)
            {
                best = position;
                best_length = length;
            }
        }
        return best;
    }

    void insert(std::string_view bytes)
    {
        if (m_edits.empty())
        {
            m_edits.emplace_back();
        }
        m_edits.back().m_insert += bytes;
    }

    void copy(std::size_t position, std::size_t length)
    {
        const std::size_t offset = m_base.start(position);
        const std::size_t size = m_base.start(position + length) - offset;
        m_edits.push_back(text_edit{offset, size, {}});
    }

    line_table m_base;
    line_table m_target;
    std::unordered_map<std::string_view, std::vector<std::size_t>> m_positions;
    std::vector<text_edit> m_edits;
    std::size_t m_expected{0};
};

} // namespace

std::vector<text_edit> make_delta(std::string_view base, std::string_view target)
{
    return delta_builder{base, target}.build();
}

std::string apply_delta(std::string_view base, const std::vector<text_edit>& delta)
{
    std::string result;
    for (const text_edit& edit : delta)
    {
        if (edit.m_offset > base.size() || edit.m_size > base.size() - edit.m_offset)
        {
            throw protocol_error(invalid_delta_id, "edit of " + std::to_string(edit.m_size) + " bytes at " +
                                                       std::to_string(edit.m_offset) +
                                                       " lies outside a text of " +
                                                       std::to_string(base.size()) + " bytes");
        }
        if (result.size() + edit.m_size + edit.m_insert.size() > max_services_text_bytes)
        {
            throw protocol_error(invalid_delta_id, "delta makes a text of more than " +
                                                       std::to_string(max_services_text_bytes) + " bytes");
        }
        result += base.substr(edit.m_offset, edit.m_size);
        result += edit.m_insert;
    }
    return result;
}

std::size_t delta_bytes(const std::vector<text_edit>& delta) noexcept
{
    std::size_t bytes = 0;
    for (const text_edit& edit : delta)
    {
        bytes += edit_overhead_bytes + edit.m_insert.size();
    }
    return bytes;
}

} // namespace teasellead
