#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

#include "teasellead/kernel/endpoint.hpp"

namespace teasellead::detail
{

/// ids of @ref config_error
struct config_error_id
{
    static constexpr int syntax = 301;
    static constexpr int unknown_field = 302;
    static constexpr int wrong_field = 303;
    static constexpr int duplicate = 304;
    static constexpr int unknown_name = 305;
    static constexpr int cyclic_dependency = 306;
    static constexpr int no_replica = 307;
    static constexpr int limit = 308;
    static constexpr int key_space = 309;
    static constexpr int unservable_route = 310;
};

/*!
@brief parses TOML

@throw config_error 301 with the line of a syntax error
*/
[[nodiscard]] toml::table parse_toml(std::string_view text);

/// reads the fields of one table and reports each violation with its line
class toml_reader
{
  public:
    /*!
    @brief creates a reader

    @param[in] table  the table; must outlive the reader
    @param[in] kind   kind of the declaration, for error messages
    */
    toml_reader(const toml::table& table, std::string kind) : m_table(table), m_kind(std::move(kind))
    {
    }

    /// line of the table
    [[nodiscard]] unsigned line() const;

    /// @throw config_error 302 if the table has a field that isn't in @a fields
    void allow(std::initializer_list<std::string_view> fields) const;

    /// a non-empty string; @throw config_error 303
    [[nodiscard]] std::string text(std::string_view field) const;

    /// an optional non-empty string; @throw config_error 303
    [[nodiscard]] std::string text_or(std::string_view field, std::string_view default_value) const;

    /// an optional array of strings; @throw config_error 303
    [[nodiscard]] std::vector<std::string> texts(std::string_view field) const;

    /// an integer; @throw config_error 303 if missing, 308 if outside [low, high]
    [[nodiscard]] std::int64_t integer(std::string_view field, std::int64_t low, std::int64_t high) const;

    /// an optional integer; @throw config_error 303 or 308
    [[nodiscard]] std::int64_t integer_or(std::string_view field, std::int64_t default_value,
                                          std::int64_t low, std::int64_t high) const;

    /// an array of integers; @throw config_error 303 or 308
    [[nodiscard]] std::vector<std::int64_t> integers(std::string_view field, std::int64_t low,
                                                     std::int64_t high) const;

    /// a number above zero; @throw config_error 303 or 308
    [[nodiscard]] double positive(std::string_view field) const;

    /// a boolean; @throw config_error 303
    [[nodiscard]] bool flag(std::string_view field) const;

    /// an optional boolean; @throw config_error 303
    [[nodiscard]] bool flag_or(std::string_view field, bool default_value) const;

    /// hexadecimal digits; @throw config_error 303 if not exactly @a digits of them
    [[nodiscard]] std::string hex(std::string_view field, std::size_t digits) const;

    /// an IPv4 address with port; @throw config_error 303
    [[nodiscard]] endpoint address(std::string_view field) const;

    /// calls @a visit for each table of an optional array of tables; @throw config_error 303
    void each(std::string_view field, const std::function<void(const toml_reader&)>& visit) const;

  private:
    [[nodiscard]] const toml::node& required(std::string_view field) const;
    [[nodiscard]] std::int64_t checked(const toml::node& node, std::string_view field, std::int64_t low,
                                       std::int64_t high) const;
    [[noreturn]] void fail(int id, unsigned line, const std::string& text) const;

    const toml::table& m_table;
    std::string m_kind;
};

} // namespace teasellead::detail
