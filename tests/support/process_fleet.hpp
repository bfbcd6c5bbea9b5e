#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "teasellead/entry/http_client.hpp"

namespace test_support
{

/// a response of a node to a caller
// NOLINTNEXTLINE(bugprone-exception-escape): a default-constructed JSON value allocates nothing
struct caller_answer
{
    unsigned m_status{0}; ///< 0 if no response arrived
    nlohmann::json m_body;
    std::vector<teasellead::runtime::header_field> m_headers;
};

/*!
@brief a platform, upstreams and nodes as processes on loopback addresses of their own

The services text comes from a template in which `NET` stands for the first two bytes of all addresses. Nodes
listen on `NET.<n>.10`, upstreams on the addresses in the text.
*/
class process_fleet
{
  public:
    /*!
    @brief starts a platform that publishes a text

    @param[in] net   second byte of all addresses, unique among tests that run at the same time
    @param[in] text  services text with `NET`
    */
    process_fleet(unsigned net, std::string text);
    process_fleet(const process_fleet&) = delete;
    process_fleet& operator=(const process_fleet&) = delete;
    ~process_fleet();

    /// starts upstreams on addresses such as `1.1:9001`, in one process of a name; they may record all
    /// requests
    void start_upstreams(const std::string& name, const std::vector<std::string>& addresses,
                         const std::vector<std::string>& options = {}, bool records = true);

    /// starts node `n` in a data centre; further flags may follow
    void start_node(unsigned number, const std::string& data_centre,
                    const std::vector<std::string>& flags = {});

    /// lists all nodes that were started, or some, on the platform
    void publish_hosts(const std::vector<unsigned>& numbers);

    /// publishes a services text with `NET`
    void publish_services(const std::string& text);

    /// changes a setting of the platform stand-in through its control interface
    void control_platform(const std::string& name, const std::string& value);

    /// waits until a node is ready; throws std::runtime_error after a timeout
    void wait_until_ready(unsigned number);

    /// sends a caller's request to a node
    caller_answer call(unsigned number, const std::string& path, const std::string& key,
                       const std::string& body = {},
                       const std::vector<teasellead::runtime::header_field>& headers = {});

    /// repeats a request until a condition holds; throws std::runtime_error after a timeout
    caller_answer call_until(unsigned number, const std::string& path, const std::string& key,
                             const std::function<bool(const caller_answer&)>& holds,
                             const std::string& body = {});

    /// reads an operator page of a node
    caller_answer operator_page(unsigned number, const std::string& path);

    /// changes the behaviour of one upstream
    void control_upstream(const std::string& address, const nlohmann::json& wanted);

    /// requests that one upstream has received
    nlohmann::json seen_by(const std::string& address);

    /// a process by name: `platform`, `node-1` or a name given to @ref start_upstreams
    child_process& process(const std::string& name);

    /// removes a process that was stopped or killed, so that it can be started again
    void forget(const std::string& name);

    /// all output of a process
    [[nodiscard]] std::string output_of(const std::string& name) const;

    /// replaces `NET` in a text
    [[nodiscard]] std::string resolve(std::string text) const;

  private:
    void start(const std::string& name, std::vector<std::string> arguments,
               std::vector<std::string> environment = {});
    [[nodiscard]] std::string node_address(unsigned number, unsigned port) const;

    std::string m_net;
    std::string m_directory;
    std::string m_public_key;
    std::string m_secret_key;
    std::map<unsigned, std::string> m_data_centres;
    std::map<std::string, child_process> m_processes;
};

/// repeats a check until it holds; throws std::runtime_error after a timeout
void wait_for(const std::string& what, const std::function<bool()>& holds);

} // namespace test_support
