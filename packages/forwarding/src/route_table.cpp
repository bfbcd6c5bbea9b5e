#include "teasellead/forwarding/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace teasellead::forwarding
{

namespace
{

std::string canonical_hostname(std::string_view hostname)
{
    std::string result{hostname.substr(0, hostname.find(':'))};
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

} // namespace

route_table::route_table(declarations content) : m_content(std::move(content))
{
    for (std::size_t i = 0; i < m_content.m_routes.size(); ++i)
    {
        const route& each = m_content.m_routes[i];
        m_prefixes[canonical_hostname(each.m_hostname)].emplace(each.m_prefix, i);
    }
    for (std::size_t i = 0; i < m_content.m_accounts.size(); ++i)
    {
        for (const std::string& key : m_content.m_accounts[i].m_keys)
        {
            m_accounts.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < m_content.m_services.size(); ++i)
    {
        m_services.emplace(m_content.m_services[i].m_name, i);
    }
}

const route* route_table::find_route(std::string_view hostname, std::string_view target) const
{
    const auto prefixes = m_prefixes.find(canonical_hostname(hostname));
    if (prefixes == m_prefixes.end())
    {
        return nullptr;
    }
    // every prefix ends with a slash, so only the parts of the path up to a slash can match
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/'))
    {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
        {
            return &m_content.m_routes[found->second];
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const account* route_table::find_account(std::string_view key) const
{
    const auto found = m_accounts.find(key);
    return found == m_accounts.end() ? nullptr : &m_content.m_accounts[found->second];
}

const service* route_table::find_service(const std::string& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &m_content.m_services[found->second];
}

bool route_table::needs_key(const route& requested) const noexcept
{
    return !requested.m_is_public && !m_content.m_accounts.empty();
}

} // namespace teasellead::forwarding
