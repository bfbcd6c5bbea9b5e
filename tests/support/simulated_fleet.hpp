#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "simulated_upstream.hpp"
#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/host_view.hpp"
#include "teasellead/routing/cold_permits.hpp"
#include "teasellead/routing/upstream_table.hpp"

namespace teasellead::simulation
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// size, load and delays of a simulated fleet
struct fleet_settings
{
    std::uint32_t m_data_centres{3};
    std::uint32_t m_hosts_per_data_centre{2};
    std::uint32_t m_shards{3};
    upstream_limits m_limits{6, 40, 1};
    double m_requests_per_second{150.0}; ///< requests that arrive at each host
    bool m_cold_start_limit{true};
    bool m_wait_when_cold{false};    ///< requests wait at their host while all replicas are cold
    bool m_start_warm{false};        ///< all upstreams are warm at the start, and all hosts know it
    double m_pause_before_send{0.0}; ///< fraction of the decisions after which the host is paused
    double m_message_loss{0.05};     ///< fraction of the peer messages that are lost
    double m_message_repeat{0.05};   ///< fraction of the peer messages that are delivered twice
    milliseconds m_list_lag{300};    ///< longest delay with which a host receives a list or a configuration
    milliseconds m_view_hold{1000};  ///< how long a host still considers a replaced view
};

/// counters of the requests of a simulated fleet
struct fleet_counts
{
    std::uint64_t m_requests{0};
    std::uint64_t m_answered{0};
    std::uint64_t m_cold{0};
    std::uint64_t m_attempts{0};
};

constexpr microseconds network_delay{250};
constexpr microseconds connect_delay{5750};
constexpr milliseconds answer_time{200};
constexpr milliseconds attempt_limit{250};
constexpr milliseconds cancel_delay{20};
constexpr milliseconds evidence_settle{1500};

/// a host's connections to one upstream
struct upstream_link
{
    std::uint64_t m_process{0}; ///< process at the other end; 0 if none is open
    std::uint32_t m_connections{0};
    std::uint32_t m_busy{0};
};

/// a host with its own upstream table; hosts exchange data only by messages
class simulated_host
{
  public:
    simulated_host(listed_host self, std::uint64_t run, const fleet_settings& settings, time_point now)
        : m_self(std::move(self)), m_run(run), m_started(now),
          m_table(upstream_table_settings{
              two_choices_selector{}, warm_up_settings{4, milliseconds{20}, milliseconds{500}},
              settings.m_cold_start_limit, seconds{2},
              cold_request_settings{attempt_limit, cancel_delay, milliseconds{30}, evidence_settle, 3.0}}),
          m_permits(
              m_table, run << 32U,
              cold_permit_settings{milliseconds{200}, milliseconds{200}, milliseconds{10}, cancel_delay})
    {
    }

    [[nodiscard]] const listed_host& self() const noexcept
    {
        return m_self;
    }

    [[nodiscard]] std::uint64_t run() const noexcept
    {
        return m_run;
    }

    [[nodiscard]] upstream_table& table() noexcept
    {
        return m_table;
    }

    [[nodiscard]] cold_permits& permits() noexcept
    {
        return m_permits;
    }

    [[nodiscard]] upstream_link& link(const endpoint& upstream)
    {
        return m_links[upstream];
    }

    [[nodiscard]] const configuration& current() const noexcept
    {
        return *m_current;
    }

    void adopt(std::shared_ptr<const configuration> next, time_point now)
    {
        m_current = std::move(next);
        m_table.on_configuration(*m_current, now);
    }

    /// adopts a list of hosts that may be out of date by up to `m_list_lag`
    void learn(const std::vector<listed_host>& hosts, const fleet_settings& settings, time_point now)
    {
        if (m_views.empty() || m_views.back().m_hosts != hosts)
        {
            if (!m_views.empty())
            {
                m_views.back().m_replaced = now;
            }
            m_views.push_back({hosts, time_point::max()});
        }
        std::erase_if(m_views,
                      [&](const known_view& view) {
                          return view.m_replaced != time_point::max() &&
                                 view.m_replaced + settings.m_view_hold <= now;
                      });
        std::vector<host_view> views;
        for (auto view = m_views.rbegin(); view != m_views.rend(); ++view)
        {
            views.emplace_back(1, m_self, view->m_hosts);
        }
        // leases granted to an earlier incarnation of this host may last as long as a view is held
        const bool is_new = now < m_started + settings.m_view_hold;
        // a host that is missing from this list found itself listed one lag ago at the earliest, and first
        // waits for as long as a view is held
        const time_point valid = now + settings.m_view_hold - settings.m_list_lag;
        m_table.set_views(std::move(views), is_new && m_run != 0 ? time_point{} : valid);
    }

    [[nodiscard]] bool alive() const noexcept
    {
        return m_alive;
    }

    void kill() noexcept
    {
        m_alive = false;
    }

    [[nodiscard]] time_point asleep_until() const noexcept
    {
        return m_asleep_until;
    }

    void sleep_until(time_point wake) noexcept
    {
        m_asleep_until = wake;
    }

  private:
    struct known_view
    {
        std::vector<listed_host> m_hosts;
        time_point m_replaced;
    };

    listed_host m_self;
    std::uint64_t m_run;
    time_point m_started;
    upstream_table m_table;
    cold_permits m_permits;
    std::map<endpoint, upstream_link> m_links;
    std::shared_ptr<const configuration> m_current;
    std::vector<known_view> m_views;
    bool m_alive{true};
    time_point m_asleep_until;
};

/// name of a simulated data centre
inline std::string data_centre_name(std::uint32_t number)
{
    return "dc" + std::to_string(number);
}

/// the replica of a shard in a data centre
inline endpoint upstream_address(std::uint32_t shard, std::uint32_t data_centre)
{
    constexpr std::uint32_t first_address = 0x0A000000;
    constexpr std::uint16_t port = 80;
    return endpoint{first_address + (shard << 8U) + data_centre, port};
}

/// the data centre of a replica
inline std::string data_centre_of(const endpoint& upstream)
{
    return data_centre_name(upstream.address() & 0xFFU);
}

inline listed_host host_of(std::uint32_t data_centre, std::uint32_t number)
{
    constexpr std::uint32_t first_address = 0x0A0A0000;
    constexpr std::uint16_t port = 9000;
    const endpoint peer{first_address + (data_centre << 8U) + number, port};
    return listed_host{peer, data_centre_name(data_centre)};
}

/// a configuration of one service; a data centre may be out of service, and the addresses of the first two
/// shards exchanged
inline std::shared_ptr<const configuration> make_configuration(const fleet_settings& settings,
                                                               int data_centre_out, bool exchanged)
{
    configuration::declarations declared;
    std::vector<shard> shards;
    const std::uint32_t width = key_space_size / settings.m_shards;
    for (std::uint32_t number = 0; number < settings.m_shards; ++number)
    {
        const std::uint32_t place = exchanged && number < 2 ? 1 - number : number;
        std::vector<replica> replicas;
        for (std::uint32_t centre = 0; centre < settings.m_data_centres; ++centre)
        {
            replicas.emplace_back(data_centre_name(centre), upstream_address(place, centre), false);
        }
        shards.emplace_back("s" + std::to_string(number), key_range{number * width, (number + 1) * width},
                            std::move(replicas));
    }
    for (std::uint32_t centre = 0; centre < settings.m_data_centres; ++centre)
    {
        const bool is_out = static_cast<int>(centre) == data_centre_out;
        declared.m_data_centres.emplace_back(
            data_centre_name(centre), is_out ? data_centre_state::out_of_service : data_centre_state::live,
            1);
    }
    declared.m_indexes.emplace_back("index", 1, 1);
    declared.m_services.emplace_back("service", "index", std::vector<std::string>{}, settings.m_limits,
                                     std::move(shards));
    return std::make_shared<const configuration>(std::move(declared));
}

} // namespace teasellead::simulation
