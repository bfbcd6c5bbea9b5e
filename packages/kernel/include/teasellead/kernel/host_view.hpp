#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "teasellead/kernel/endpoint.hpp"

namespace teasellead
{

/// a host in the membership list
class listed_host
{
  public:
    /*!
    @brief creates a listed host

    @param[in] peer         address of the host's peer link, which identifies it
    @param[in] data_centre  data centre of the host
    */
    listed_host(endpoint peer, std::string data_centre) : m_peer(peer), m_data_centre(std::move(data_centre))
    {
    }

    [[nodiscard]] const endpoint& peer() const noexcept
    {
        return m_peer;
    }

    [[nodiscard]] const std::string& data_centre() const noexcept
    {
        return m_data_centre;
    }

    friend auto operator<=>(const listed_host&, const listed_host&) = default;

  private:
    endpoint m_peer;
    std::string m_data_centre;
};

/*!
@brief membership view of one host: the hosts among which an upstream's limits are divided

Immutable; each change of membership creates a new view with a higher version.
*/
class host_view
{
  public:
    /*!
    @brief creates a view

    @param[in] version  increases with each change
    @param[in] self     the host to which the view belongs
    @param[in] hosts    all hosts that may call upstreams, including self
    */
    host_view(std::uint64_t version, listed_host self, std::vector<listed_host> hosts)
        : m_version(version), m_self(std::move(self)), m_hosts(std::move(hosts))
    {
    }

    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    [[nodiscard]] const listed_host& self() const noexcept
    {
        return m_self;
    }

    [[nodiscard]] const std::vector<listed_host>& hosts() const noexcept
    {
        return m_hosts;
    }

    friend bool operator==(const host_view&, const host_view&) = default;

  private:
    std::uint64_t m_version;
    listed_host m_self;
    std::vector<listed_host> m_hosts;
};

} // namespace teasellead
