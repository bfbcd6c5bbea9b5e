#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

/*!
@brief factories of the plug-ins of one type, by name

A plug-in registers itself by a static @ref registration object in its own source file; the settings select
a plug-in by name.

@tparam Plugin  type that the factories return, usually a default-constructible `std::variant`
*/
template <class Plugin>
class registry
{
  public:
    using factory = std::function<Plugin()>;

    /// the only instance for this type of plug-in
    [[nodiscard]] static registry& instance()
    {
        static registry table;
        return table;
    }

    /*!
    @brief adds a plug-in

    @param[in] name    name by which the settings select it
    @param[in] create  factory of the plug-in

    @throw state_error 601 if a plug-in with this name is already registered
    */
    void add(const std::string& name, factory create)
    {
        constexpr int name_taken_id = 601;
        if (!m_factories.emplace(name, std::move(create)).second)
        {
            throw state_error(name_taken_id, "plug-in \"" + name + "\" is registered twice");
        }
    }

    /*!
    @brief creates a plug-in by name

    @param[in] name  registered name

    @return a new plug-in

    @throw settings_error 203 if no such plug-in is registered
    */
    [[nodiscard]] Plugin create(const std::string& name) const
    {
        constexpr int unknown_plugin_id = 203;
        const auto found = m_factories.find(name);
        if (found == m_factories.end())
        {
            throw settings_error(unknown_plugin_id, "unknown plug-in \"" + name + "\"");
        }
        return found->second();
    }

    /// registered names in ascending order
    [[nodiscard]] std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        result.reserve(m_factories.size());
        for (const auto& entry : m_factories)
        {
            result.push_back(entry.first);
        }
        return result;
    }

  private:
    std::map<std::string, factory> m_factories;
};

/// registers a plug-in in its constructor; meant for static objects
template <class Plugin>
class registration
{
  public:
    registration(const std::string& name, typename registry<Plugin>::factory create)
    {
        registry<Plugin>::instance().add(name, std::move(create));
    }
};

} // namespace teasellead
