#pragma once

#include <memory>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "plain_caller.hpp"
#include "standin_store.hpp"
#include "standin_upstream.hpp"
#include "teasellead/runtime/loop_thread.hpp"

namespace test_support
{

namespace runtime = teasellead::runtime;

/// a store, upstreams and nodes of the platform on loopback addresses of their own
class platform_fleet
{
  public:
    /*!
    @brief starts a store that publishes a configuration of shards and a service for single requests

    @param[in] net       second byte of all addresses, unique among tests that run at the same time
    @param[in] shards    number of shards
    @param[in] launcher  program with arguments that runs the nodes; empty to run them directly
    */
    explicit platform_fleet(unsigned net, unsigned shards = 3, std::vector<std::string> launcher = {});
    ~platform_fleet();
    platform_fleet(const platform_fleet&) = delete;
    platform_fleet& operator=(const platform_fleet&) = delete;

    /// sets the grace period of a stop in the settings of nodes that are started later
    void set_grace_period(std::chrono::seconds grace_period);

    /// sets the timeout of all routes in configurations that are published later
    void set_route_timeout(std::chrono::milliseconds timeout);

    /// sets the memory in MB and the file descriptors that nodes which are started later may use
    void set_limits(unsigned memory_mb, unsigned max_descriptors);

    /// starts node `n` and waits until it is ready
    void start_node(unsigned number);

    /// starts node `n`; its output goes to a file, or to another path
    void launch_node(unsigned number, const std::string& output = {});

    /// replaces the seed addresses in the settings file of node `n`
    void write_seeds(unsigned number, const std::vector<std::string>& seeds) const;

    /// overwrites the settings file of node `n` with invalid content
    void break_settings(unsigned number) const;

    /// address at which node `n` serves its metrics
    [[nodiscard]] teasellead::endpoint metrics_of(unsigned number) const;

    /// waits until node `n` is ready
    void wait_until_ready(unsigned number);

    [[nodiscard]] child_process& node(unsigned number);

    /// removes a node, which kills its process if it still runs
    void forget_node(unsigned number);

    [[nodiscard]] teasellead::endpoint callers_of(unsigned number) const;

    /// publishes a configuration with keys of the account `school`
    void publish(std::uint64_t version, const std::vector<std::string>& keys);

    [[nodiscard]] standin_store& store() noexcept
    {
        return *m_store;
    }

    /// upstreams of the service for single requests
    [[nodiscard]] std::vector<standin_upstream*> single_upstreams() const;

    /// all upstreams; those of the shards first, then those of the service for single requests
    [[nodiscard]] const std::vector<std::unique_ptr<standin_upstream>>& upstreams() const noexcept
    {
        return m_upstreams;
    }

    /// number of times that upstreams have run a request
    [[nodiscard]] std::size_t runs_of(const std::string& request_id) const;

    /// resets the behaviour of all upstreams, and removes their restart callbacks
    void calm_upstreams();

    /// address at which an upstream listens
    [[nodiscard]] static teasellead::endpoint address_of(const standin_upstream& upstream)
    {
        return upstream.address();
    }

    /// all output of a node
    [[nodiscard]] std::string output_of(unsigned number) const;

    /// how long a withdrawn key may still be accepted, from the nodes' settings
    static constexpr std::chrono::milliseconds revocation_bound{2000};

    /// folder for the files of the nodes
    [[nodiscard]] const std::string& directory() const noexcept
    {
        return m_directory;
    }

  private:
    [[nodiscard]] std::string address(unsigned host, unsigned port) const;
    [[nodiscard]] std::string settings_of(unsigned number) const;
    [[nodiscard]] std::string settings_path(unsigned number) const;
    void add_upstream(const std::string& service, unsigned number);

    std::string m_net;
    std::vector<std::string> m_shards;
    std::vector<std::string> m_launcher;
    std::string m_directory;
    std::chrono::seconds m_grace_period{6};
    std::chrono::milliseconds m_route_timeout{1000};
    unsigned m_memory_mb{256};
    unsigned m_max_descriptors{4096};
    runtime::loop_thread m_thread;
    std::unique_ptr<standin_store> m_store;
    std::vector<std::unique_ptr<standin_upstream>> m_upstreams;
    std::map<unsigned, child_process> m_nodes;
};

} // namespace test_support
