#pragma once

#include <vector>

#include "teasellead/kernel/configuration.hpp"

namespace teasellead::detail
{

/// line of each declaration, in the order of @ref configuration::declarations
struct declaration_lines
{
    std::vector<unsigned> m_data_centres;
    std::vector<unsigned> m_indexes;
    std::vector<unsigned> m_services;
    std::vector<unsigned> m_routes;
    std::vector<unsigned> m_client_accounts;
    std::vector<unsigned> m_keys;
};

/*!
@brief checks that the declarations of a configuration are consistent with each other

@param[in] declared  the configuration
@param[in] lines     line of each declaration

@throw config_error 304 to 310 for the first violation; duplicates are checked first, then services, routes
       and keys
*/
void validate(const configuration& declared, const declaration_lines& lines);

} // namespace teasellead::detail
