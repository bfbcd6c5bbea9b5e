#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "teasellead/forwarding/route.hpp"

namespace teasellead::forwarding
{

/*!
@brief one version of the declarations with indexes for the look-ups that requests need

Immutable; a request uses the table with which it was admitted until it ends.
*/
class route_table
{
  public:
    /*!
    @brief builds the indexes

    @param[in] content  the declarations

    @complexity linear in the size of the declarations
    */
    explicit route_table(declarations content);

    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    /*!
    @brief finds the route of a request

    @param[in] hostname  value of the Host header field; case and port are ignored
    @param[in] target    path with an optional query

    @return the route with the longest matching prefix, or null

    @complexity linear in the number of slashes of the path
    */
    [[nodiscard]] const route* find_route(std::string_view hostname, std::string_view target) const;

    /// the client account to which a key belongs, or null
    [[nodiscard]] const account* find_account(std::string_view key) const;

    /// a declared service, or null
    [[nodiscard]] const service* find_service(const std::string& name) const;

    /// whether requests of a route need a key
    [[nodiscard]] bool needs_key(const route& requested) const noexcept;

    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_content.m_version;
    }

    [[nodiscard]] const declarations& content() const noexcept
    {
        return m_content;
    }

  private:
    /// transparent hash, so that look-ups by string_view need no copy
    struct text_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    template <class Value>
    using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    declarations m_content;
    text_map<text_map<std::size_t>> m_prefixes; ///< by host name, then by prefix
    text_map<std::size_t> m_accounts;           ///< by key
    text_map<std::size_t> m_services;
};

/// a route table, shared by requests
using shared_route_table = std::shared_ptr<const route_table>;

} // namespace teasellead::forwarding
