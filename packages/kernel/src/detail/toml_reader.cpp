#include "toml_reader.hpp"

#include <algorithm>
#include <cmath>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead::detail
{

namespace
{

unsigned line_of(const toml::node& node)
{
    return node.source().begin.line;
}

std::string quoted(std::string_view text)
{
    return "\"" + std::string{text} + "\"";
}

} // namespace

toml::table parse_toml(std::string_view text)
{
    try
    {
        return toml::parse(text);
    }
    catch (const toml::parse_error& error)
    {
        throw config_error(config_error_id::syntax, error.source().begin.line,
                           std::string{error.description()});
    }
}

unsigned toml_reader::line() const
{
    return line_of(m_table);
}

void toml_reader::fail(int id, unsigned line, const std::string& text) const
{
    throw config_error(id, line, text);
}

void toml_reader::allow(std::initializer_list<std::string_view> fields) const
{
    for (const auto& [key, node] : m_table)
    {
        if (std::find(fields.begin(), fields.end(), key.str()) == fields.end())
        {
            fail(config_error_id::unknown_field, line_of(node),
                 "unknown field " + quoted(key.str()) + " in " + m_kind);
        }
    }
}

const toml::node& toml_reader::required(std::string_view field) const
{
    const toml::node* const node = m_table.get(field);
    if (node == nullptr)
    {
        fail(config_error_id::wrong_field, line(), m_kind + " needs the field " + quoted(field));
    }
    return *node;
}

std::string toml_reader::text(std::string_view field) const
{
    const toml::node& node = required(field);
    const auto value = node.value_exact<std::string>();
    if (!value || value->empty())
    {
        fail(config_error_id::wrong_field, line_of(node), quoted(field) + " must be a non-empty string");
    }
    return *value;
}

std::string toml_reader::text_or(std::string_view field, std::string_view default_value) const
{
    return m_table.contains(field) ? text(field) : std::string{default_value};
}

std::vector<std::string> toml_reader::texts(std::string_view field) const
{
    std::vector<std::string> result;
    if (!m_table.contains(field))
    {
        return result;
    }
    const toml::array* const values = required(field).as_array();
    if (values == nullptr)
    {
        fail(config_error_id::wrong_field, line_of(required(field)),
             quoted(field) + " must be an array of strings");
    }
    for (const toml::node& node : *values)
    {
        const auto value = node.value_exact<std::string>();
        if (!value)
        {
            fail(config_error_id::wrong_field, line_of(node), quoted(field) + " must be an array of strings");
        }
        result.push_back(*value);
    }
    return result;
}

std::int64_t toml_reader::checked(const toml::node& node, std::string_view field, std::int64_t low,
                                  std::int64_t high) const
{
    const auto value = node.value_exact<std::int64_t>();
    if (!value)
    {
        fail(config_error_id::wrong_field, line_of(node), quoted(field) + " must be an integer");
    }
    if (*value < low || *value > high)
    {
        fail(config_error_id::limit, line_of(node),
             quoted(field) + " is " + std::to_string(*value) + ", outside " + std::to_string(low) + " to " +
                 std::to_string(high));
    }
    return *value;
}

std::int64_t toml_reader::integer(std::string_view field, std::int64_t low, std::int64_t high) const
{
    return checked(required(field), field, low, high);
}

std::int64_t toml_reader::integer_or(std::string_view field, std::int64_t default_value, std::int64_t low,
                                     std::int64_t high) const
{
    return m_table.contains(field) ? integer(field, low, high) : default_value;
}

std::vector<std::int64_t> toml_reader::integers(std::string_view field, std::int64_t low,
                                                std::int64_t high) const
{
    const toml::array* const values = required(field).as_array();
    if (values == nullptr)
    {
        fail(config_error_id::wrong_field, line_of(required(field)),
             quoted(field) + " must be an array of integers");
    }
    std::vector<std::int64_t> result;
    for (const toml::node& node : *values)
    {
        result.push_back(checked(node, field, low, high));
    }
    return result;
}

double toml_reader::positive(std::string_view field) const
{
    const toml::node& node = required(field);
    const auto value = node.value<double>();
    if (!value)
    {
        fail(config_error_id::wrong_field, line_of(node), quoted(field) + " must be a number");
    }
    if (!std::isfinite(*value) || *value <= 0.0)
    {
        fail(config_error_id::limit, line_of(node), quoted(field) + " must be above zero");
    }
    return *value;
}

bool toml_reader::flag(std::string_view field) const
{
    const toml::node& node = required(field);
    const auto value = node.value_exact<bool>();
    if (!value)
    {
        fail(config_error_id::wrong_field, line_of(node), quoted(field) + " must be true or false");
    }
    return *value;
}

bool toml_reader::flag_or(std::string_view field, bool default_value) const
{
    return m_table.contains(field) ? flag(field) : default_value;
}

std::string toml_reader::hex(std::string_view field, std::size_t digits) const
{
    const std::string value = text(field);
    const bool is_hex = value.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!is_hex || value.size() != digits)
    {
        fail(config_error_id::wrong_field, line_of(required(field)),
             quoted(field) + " must have " + std::to_string(digits) + " lower-case hexadecimal digits");
    }
    return value;
}

endpoint toml_reader::address(std::string_view field) const
{
    const std::string value = text(field);
    try
    {
        return endpoint::parse(value);
    }
    catch (const protocol_error&)
    {
        fail(config_error_id::wrong_field, line_of(required(field)),
             quoted(field) + " is " + quoted(value) + ", not an IPv4 address with a port");
    }
}

void toml_reader::each(std::string_view field, const std::function<void(const toml_reader&)>& visit) const
{
    if (!m_table.contains(field))
    {
        return;
    }
    const toml::array* const values = required(field).as_array();
    if (values == nullptr)
    {
        fail(config_error_id::wrong_field, line_of(required(field)),
             quoted(field) + " must be an array of tables");
    }
    for (const toml::node& node : *values)
    {
        const toml::table* const table = node.as_table();
        if (table == nullptr)
        {
            fail(config_error_id::wrong_field, line_of(node), quoted(field) + " must be an array of tables");
        }
        visit(toml_reader{*table, std::string{field}});
    }
}

} // namespace teasellead::detail
