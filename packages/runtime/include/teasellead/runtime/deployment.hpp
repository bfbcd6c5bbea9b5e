#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teasellead/fleet/messages.hpp"
#include "teasellead/fleet/quota_ledger.hpp"
#include "teasellead/fleet/source_call_schedule.hpp"
#include "teasellead/forwarding/attempt_budget.hpp"
#include "teasellead/forwarding/route.hpp"
#include "teasellead/forwarding/upstream_directory.hpp"
#include "teasellead/kernel/registry.hpp"
#include "teasellead/runtime/asio.hpp"
#include "teasellead/runtime/decision_log.hpp"
#include "teasellead/runtime/wire_protocol.hpp"

namespace teasellead::runtime
{

/// settings of a node that are read from its settings file
struct forwarding_settings
{
    std::string m_name;
    std::string m_data_centre;
    std::size_t m_data_centres{1}; ///< number of data centres that share the accounts' limits
    endpoint m_caller_address;     ///< listen address for requests of callers
    endpoint m_readiness_address;  ///< listen address for the readiness checks of a load balancer
    endpoint m_peer_address;       ///< listen address for messages of other nodes; identifies this node
    endpoint m_metrics_address;    ///< listen address for metrics and operators; port 0 disables it
    std::vector<endpoint> m_seeds; ///< addresses of nodes that are contacted to join the fleet
    duration
        m_max_configuration_age{}; ///< time without a confirmed configuration after which keys are refused
    /// longest time from the publication of any item until this node must use it
    duration m_change_bound{std::chrono::seconds{3}};
    /// time after trouble of this node's links in which it may use changes late
    duration m_settling_time{std::chrono::seconds{4}};
    double m_link_bytes_per_second{125'000'000.0}; ///< rate of this node's link in one direction
    std::size_t m_memory_bytes{256 * 1024 * 1024}; ///< memory that the process may use
    std::size_t m_max_descriptors{4096};           ///< file descriptors that the process may have open
    duration m_grace_period{}; ///< time from the stop signal after which the process may be killed
    duration m_report_period{std::chrono::milliseconds{1200}}; ///< how often upstreams renew their entries
    forwarding::attempt_budget_settings m_attempt_budget;
    account_bound m_account_bound;

    friend bool operator==(const forwarding_settings&, const forwarding_settings&) = default;
};

/// an upstream's entry was added or changed
struct upstream_published
{
    forwarding::directory_item m_item;

    friend bool operator==(const upstream_published&, const upstream_published&) = default;
};

/// an upstream's entry was removed
struct upstream_withdrawn
{
    std::string m_instance;

    friend bool operator==(const upstream_withdrawn&, const upstream_withdrawn&) = default;
};

/// a data centre's upstreams were taken out of service for new requests, or put back into service
struct data_centre_evacuated
{
    std::string m_data_centre;
    bool m_is_evacuated{false};

    friend bool operator==(const data_centre_evacuated&, const data_centre_evacuated&) = default;
};

/// the item isn't relevant to a node
struct irrelevant_item
{
    friend bool operator==(const irrelevant_item&, const irrelevant_item&) = default;
};

/// a configuration as a node received it
struct received_declarations
{
    forwarding::declarations m_content;
    std::uint64_t m_revision{0}; ///< of the item that holds it
    std::string_view m_origin;   ///< `source` or `peer`
    /// upper bound of the time since it was published
    duration m_delay_bound{duration::zero()};
};

/// decoded form of a published item
using publication = std::variant<irrelevant_item, forwarding::declarations, upstream_published,
                                 upstream_withdrawn, data_centre_evacuated>;

/// receives the items that a @ref publication_source reads
class publication_sink
{
  public:
    publication_sink() = default;
    publication_sink(const publication_sink&) = delete;
    publication_sink& operator=(const publication_sink&) = delete;
    virtual ~publication_sink() = default;

    /*!
    @brief called with a complete listing of the published items

    @param[in] items  all items
    @param[in] as_of  position of the listing; later changes are passed to @ref on_changes
    @param[in] times  up to when the listing is complete
    */
    virtual void on_listing(const std::vector<published_item>& items, const publication_position& as_of,
                            const confirmation_times& times) = 0;

    /*!
    @brief called with the changes since the previous call, which may be none

    @param[in] items  changed and removed items
    @param[in] as_of  position up to which all changes have been passed, in the epoch of the last listing
    @param[in] times  up to when all changes have been passed
    */
    virtual void on_changes(const std::vector<published_item>& items, const publication_position& as_of,
                            const confirmation_times& times) = 0;

    /*!
    @brief called when the source becomes unreachable

    @param[in] reason             what failed
    @param[in] unreachable_since  the earliest time since which it may have been
    */
    virtual void on_source_lost(const std::string& reason, time_point unreachable_since) = 0;

    /*!
    @brief called when the source becomes reachable again

    @param[in] last_failed_call  when the last call without a usable answer was sent
    */
    virtual void on_source_regained(time_point last_failed_call) = 0;
};

/// reads the items that the platform publishes, and the changes to them
class publication_source
{
  public:
    publication_source() = default;
    publication_source(const publication_source&) = delete;
    publication_source& operator=(const publication_source&) = delete;
    virtual ~publication_source() = default;

    /*!
    @brief starts to read; has no effect if the source is being read already

    @param[in] known  position up to which all changes were received; without items if there was no listing
    yet
    */
    virtual void start(const publication_position& known) = 0;

    /// stops reading
    virtual void stop() = 0;

    /// number of calls made to the platform so far
    [[nodiscard]] virtual std::uint64_t calls() const noexcept = 0;
};

/// adapter to the platform on which a node runs: settings, HTTP header fields and published items
class deployment
{
  public:
    deployment() = default;
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    virtual ~deployment() = default;

    [[nodiscard]] virtual const forwarding_settings& settings() const = 0;
    /*!
    @brief reads the settings file again

    @throw settings_error if the file is missing or invalid
    */
    [[nodiscard]] virtual forwarding_settings read_settings() const = 0;

    [[nodiscard]] virtual const wire_protocol& protocol() const = 0;

    /*!
    @brief decodes an item

    @throw protocol_error if the item is invalid and affects all requests
    */
    [[nodiscard]] virtual publication decode(const published_item& item) const = 0;

    /// creates the source of the items; the sink must outlive it
    [[nodiscard]] virtual std::unique_ptr<publication_source>
    make_source(asio::io_context& loop, const monotonic_clock& clock, publication_sink& sink) const = 0;
};

/*!
@brief creates a deployment from a settings file; factories are registered by name in a @ref registry

@throw settings_error if the file is missing or invalid
*/
using deployment_factory = std::function<std::unique_ptr<deployment>(const std::string& settings_path)>;

} // namespace teasellead::runtime
