#include "detail/host_list_reader.hpp"

#include <nlohmann/json.hpp>

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead::detail
{

host_list read_host_list(std::uint64_t version, const std::string& text)
{
    constexpr int invalid_list_id = 504;
    try
    {
        host_list result{version, {}};
        const nlohmann::json document = nlohmann::json::parse(text);
        for (const nlohmann::json& entry : document.at("hosts"))
        {
            const listed_host host{endpoint::parse(entry.at("peer").get<std::string>()),
                                   entry.at("data_centre").get<std::string>()};
            result.m_hosts.push_back({host, entry.value("state", "live") == "leaving"});
        }
        return result;
    }
    catch (const nlohmann::json::exception& error)
    {
        throw protocol_error(invalid_list_id, std::string{"list of hosts: "} + error.what());
    }
}

} // namespace teasellead::detail
