#include "teasellead/kernel/configuration.hpp"

namespace teasellead
{

namespace
{

const std::string& identity_of(const route& value)
{
    return value.path();
}

const std::string& identity_of(const key_record& value)
{
    return value.id();
}

template <class Declared>
const std::string& identity_of(const Declared& value)
{
    return value.name();
}

template <class Declared>
std::unordered_map<std::string, std::size_t> positions_of(const std::vector<Declared>& values)
{
    std::unordered_map<std::string, std::size_t> result;
    for (std::size_t position = 0; position < values.size(); ++position)
    {
        result.emplace(identity_of(values[position]), position);
    }
    return result;
}

template <class Declared>
const Declared* find_in(const std::vector<Declared>& values,
                        const std::unordered_map<std::string, std::size_t>& positions, std::string_view name)
{
    const auto found = positions.find(std::string{name});
    return found == positions.end() ? nullptr : &values[found->second];
}

} // namespace

configuration::configuration(declarations declared)
    : m_declared(std::move(declared)), m_data_centre_positions(positions_of(m_declared.m_data_centres)),
      m_index_positions(positions_of(m_declared.m_indexes)),
      m_service_positions(positions_of(m_declared.m_services)),
      m_route_positions(positions_of(m_declared.m_routes)),
      m_client_account_positions(positions_of(m_declared.m_client_accounts)),
      m_key_positions(positions_of(m_declared.m_keys))
{
}

const data_centre* configuration::find_data_centre(std::string_view name) const
{
    return find_in(m_declared.m_data_centres, m_data_centre_positions, name);
}

const search_index* configuration::find_index(std::string_view name) const
{
    return find_in(m_declared.m_indexes, m_index_positions, name);
}

const service* configuration::find_service(std::string_view name) const
{
    return find_in(m_declared.m_services, m_service_positions, name);
}

const route* configuration::find_route(std::string_view path) const
{
    return find_in(m_declared.m_routes, m_route_positions, path);
}

const client_account* configuration::find_client_account(std::string_view name) const
{
    return find_in(m_declared.m_client_accounts, m_client_account_positions, name);
}

const key_record* configuration::find_key(std::string_view id) const
{
    return find_in(m_declared.m_keys, m_key_positions, id);
}

bool configuration::is_live(std::string_view name) const
{
    const data_centre* const found = find_data_centre(name);
    return found != nullptr && found->state() == data_centre_state::live;
}

} // namespace teasellead
