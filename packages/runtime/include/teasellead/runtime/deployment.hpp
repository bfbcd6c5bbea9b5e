#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "teasellead/fleet/quota_ledger.hpp"
#include "teasellead/fleet/roster.hpp"
#include "teasellead/forwarding/attempt_budget.hpp"
#include "teasellead/forwarding/route.hpp"
#include "teasellead/forwarding/upstream_directory.hpp"
#include "teasellead/kernel/registry.hpp"
#include "teasellead/runtime/asio.hpp"
#include "teasellead/runtime/decision_log.hpp"
#include "teasellead/runtime/wire_protocol.hpp"

namespace teasellead::runtime
{

/// what a node must know before it starts
struct forwarding_settings
{
    std::string m_name;
    std::string m_data_centre;
    endpoint m_callers;   ///< where requests arrive
    endpoint m_readiness; ///< where a balancer asks whether the node is ready
    std::string m_readiness_path;
    endpoint m_peers;   ///< where other nodes reach this one
    endpoint m_metrics; ///< where metrics are served; port 0 for nowhere
    std::vector<endpoint> m_seeds;
    duration m_key_freshness{}; ///< age of the configuration beyond which no key is believed
    duration m_grace{};         ///< time from the order to stop to its end
    forwarding::attempt_budget_settings m_attempt_budget;
    account_bound m_account_bound;
    double m_cold_overage{1.0}; ///< factor on a cold upstream's rate that all nodes may reach together

    friend bool operator==(const forwarding_settings&, const forwarding_settings&) = default;
};

/// takes what a deployment publishes
class deployment_observer
{
  public:
    deployment_observer() = default;
    deployment_observer(const deployment_observer&) = delete;
    deployment_observer& operator=(const deployment_observer&) = delete;
    virtual ~deployment_observer() = default;

    /// a revision of the declarations; older ones than the one in force are ignored
    virtual void on_declarations(forwarding::declarations next) = 0;

    /// the whole directory of upstreams; see @ref forwarding::upstream_directory::on_listing
    virtual void on_directory(std::vector<forwarding::directory_item> items, bool keep_lapsed) = 0;

    /// a new or changed entry
    virtual void on_upstream(const forwarding::directory_item& item) = 0;

    /// an entry was removed
    virtual void on_upstream_removed(const std::string& instance, bool keep_lapsed) = 0;

    /// entries that lapsed during an outage and haven't come back are gone
    virtual void on_lapsed_gone() = 0;

    /// the data centres whose upstreams receive nothing new
    virtual void on_evacuated(std::set<std::string> data_centres) = 0;

    /// the declarations in force were the newest ones after a time
    virtual void on_proof(time_point asked_at) = 0;

    /// the source was lost or regained
    virtual void on_source(bool is_reachable, const std::string& reason) = 0;
};

/// where a node learns the declarations and the upstreams
class deployment_source
{
  public:
    deployment_source() = default;
    deployment_source(const deployment_source&) = delete;
    deployment_source& operator=(const deployment_source&) = delete;
    virtual ~deployment_source() = default;

    /// begins to read; the observer must outlive the source
    virtual void start(deployment_observer& observer) = 0;

    /// calls made so far
    [[nodiscard]] virtual std::uint64_t calls() const noexcept = 0;
};

/// everything by which a node meets the platform on which it runs
class deployment
{
  public:
    deployment() = default;
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    virtual ~deployment() = default;

    [[nodiscard]] virtual const forwarding_settings& settings() const = 0;
    [[nodiscard]] virtual const wire_protocol& protocol() const = 0;

    /// makes the source of declarations and upstreams
    [[nodiscard]] virtual std::unique_ptr<deployment_source>
    make_source(asio::io_context& loop, const monotonic_clock& clock) const = 0;
};

/*!
@brief makes a deployment from a settings file; registered by name with the kernel

@throw settings_error if the file can't be used
*/
using deployment_factory = std::function<std::unique_ptr<deployment>(const std::string& settings_path)>;

} // namespace teasellead::runtime
