#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "teasellead/kernel/access.hpp"
#include "teasellead/kernel/topology.hpp"

namespace teasellead
{

/// all declarations of one valid services text, the TOML configuration; immutable
class configuration
{
  public:
    /// the declarations of a services text, in the order of the text
    struct declarations
    {
        std::vector<data_centre> m_data_centres;
        std::vector<search_index> m_indexes;
        std::vector<service> m_services;
        std::vector<route> m_routes;
        std::vector<client_account> m_client_accounts;
        std::vector<key_record> m_keys;

        friend bool operator==(const declarations&, const declarations&) = default;
    };

    /// creates a configuration without declarations
    configuration() = default;

    /*!
    @brief creates a configuration from declarations, which aren't validated here

    @param[in] declared  the declarations

    @complexity linear in the number of declarations
    */
    explicit configuration(declarations declared);

    [[nodiscard]] const std::vector<data_centre>& data_centres() const noexcept
    {
        return m_declared.m_data_centres;
    }

    [[nodiscard]] const std::vector<search_index>& indexes() const noexcept
    {
        return m_declared.m_indexes;
    }

    [[nodiscard]] const std::vector<service>& services() const noexcept
    {
        return m_declared.m_services;
    }

    [[nodiscard]] const std::vector<route>& routes() const noexcept
    {
        return m_declared.m_routes;
    }

    [[nodiscard]] const std::vector<client_account>& client_accounts() const noexcept
    {
        return m_declared.m_client_accounts;
    }

    [[nodiscard]] const std::vector<key_record>& keys() const noexcept
    {
        return m_declared.m_keys;
    }

    /// finds a data centre by name; null if it isn't declared
    [[nodiscard]] const data_centre* find_data_centre(std::string_view name) const;

    /// finds an index by name; null if it isn't declared
    [[nodiscard]] const search_index* find_index(std::string_view name) const;

    /// finds a service by name; null if it isn't declared
    [[nodiscard]] const service* find_service(std::string_view name) const;

    /// finds a route by path; null if it isn't declared
    [[nodiscard]] const route* find_route(std::string_view path) const;

    /// finds a client account by name; null if it isn't declared
    [[nodiscard]] const client_account* find_client_account(std::string_view name) const;

    /// finds a key record by public id; null if it isn't declared
    [[nodiscard]] const key_record* find_key(std::string_view id) const;

    /*!
    @brief whether a data centre may receive new requests

    @param[in] name  name of the data centre

    @return false if it isn't declared or is out of service
    */
    [[nodiscard]] bool is_live(std::string_view name) const;

    friend bool operator==(const configuration& lhs, const configuration& rhs)
    {
        return lhs.m_declared == rhs.m_declared;
    }

  private:
    using positions = std::unordered_map<std::string, std::size_t>;

    declarations m_declared;
    positions m_data_centre_positions;
    positions m_index_positions;
    positions m_service_positions;
    positions m_route_positions;
    positions m_client_account_positions;
    positions m_key_positions;
};

/// number given to a configuration by the platform; increases with each change, 0 means no configuration
using revision_number = std::uint64_t;

/// an accepted services text with its revision number; immutable, so threads may share it
class configuration_revision
{
  public:
    /// creates revision 0, which has no declarations
    configuration_revision() : m_configuration(std::make_shared<const class configuration>())
    {
    }

    /*!
    @brief creates a revision

    @param[in] number    number given by the platform
    @param[in] text      the services text
    @param[in] declared  the configuration that the text declares
    */
    configuration_revision(revision_number number, std::string text,
                           std::shared_ptr<const class configuration> declared)
        : m_number(number), m_text(std::move(text)), m_configuration(std::move(declared))
    {
    }

    [[nodiscard]] revision_number number() const noexcept
    {
        return m_number;
    }

    [[nodiscard]] const std::string& text() const noexcept
    {
        return m_text;
    }

    /// the configuration that the text declares
    [[nodiscard]] const class configuration& configuration() const noexcept
    {
        return *m_configuration;
    }

    friend bool operator==(const configuration_revision& lhs, const configuration_revision& rhs)
    {
        return lhs.m_number == rhs.m_number && lhs.m_text == rhs.m_text;
    }

  private:
    revision_number m_number{0};
    std::string m_text;
    std::shared_ptr<const class configuration> m_configuration;
};

/// shared ownership of a revision, for use by several threads
using shared_revision = std::shared_ptr<const configuration_revision>;

} // namespace teasellead
