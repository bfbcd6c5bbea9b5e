#include "process_fleet.hpp"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "teasellead/fleet/peer_link.hpp"

namespace test_support
{

namespace
{

using namespace std::chrono_literals;
using namespace teasellead;

constexpr auto call_timeout = 5s;
constexpr auto longest_wait = 20s;
constexpr auto check_interval = 20ms;
constexpr unsigned caller_port = 8080;
constexpr unsigned operator_port = 8081;
constexpr unsigned peer_port = 7000;

void require(bool holds, const std::string& what)
{
    if (!holds)
    {
        throw std::runtime_error("failed or timed out: " + what);
    }
}

std::string program(const std::string& name)
{
    return std::string{TEASELLEAD_BIN_DIR} + "/" + name;
}

std::string make_directory()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "teasellead-test-XXXXXX").string();
    require(::mkdtemp(pattern.data()) != nullptr, "temporary directory");
    return pattern;
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream{path} << text;
}

caller_answer to_answer(const std::optional<runtime::http_response>& response)
{
    if (!response)
    {
        return {};
    }
    return {response->m_status, nlohmann::json::parse(response->m_body, nullptr, false), response->m_fields};
}

} // namespace

void wait_for(const std::string& what, const std::function<bool()>& holds)
{
    const auto give_up = std::chrono::steady_clock::now() + longest_wait;
    while (!holds())
    {
        require(std::chrono::steady_clock::now() < give_up, what);
        std::this_thread::sleep_for(check_interval);
    }
}

process_fleet::process_fleet(unsigned net, std::string text)
    : m_net("127." + std::to_string(net)), m_directory(make_directory())
{
    const fleet_key key = make_fleet_key();
    m_public_key = key.m_public;
    m_secret_key = key.m_secret;
    write_file(m_directory + "/services.toml", resolve(std::move(text)));
    write_file(m_directory + "/hosts.json", R"({"hosts":[]})");
    start("platform", {program("standin-platform"), m_net + ".0.1:8500", m_directory + "/services.toml",
                       m_directory + "/hosts.json"});
    wait_for("platform",
             [this]
             {
                 http_client client{endpoint::parse(m_net + ".0.1:8500")};
                 return client.get("/control/reads", 1s).has_value();
             });
}

process_fleet::~process_fleet()
{
    m_processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

std::string process_fleet::resolve(std::string text) const
{
    for (auto position = text.find("NET"); position != std::string::npos;
         position = text.find("NET", position))
    {
        text.replace(position, 3, m_net);
    }
    return text;
}

void process_fleet::start(const std::string& name, std::vector<std::string> arguments,
                          std::vector<std::string> environment)
{
    m_processes.emplace(
        name, child_process{std::move(arguments), std::move(environment), m_directory + "/" + name + ".log"});
}

void process_fleet::start_upstreams(const std::string& name, const std::vector<std::string>& addresses,
                                    const std::vector<std::string>& options, bool records)
{
    std::string list;
    for (const std::string& address : addresses)
    {
        list += (list.empty() ? "" : ",") + m_net + "." + address;
    }
    std::vector<std::string> arguments{program("standin-upstream"), list};
    arguments.insert(arguments.end(), options.begin(), options.end());
    start(name, std::move(arguments), {records ? "STANDIN_RECORD=on" : "STANDIN_RECORD=off"});
    for (const std::string& address : addresses)
    {
        wait_for("upstream " + address,
                 [this, &address]
                 {
                     http_client client{endpoint::parse(m_net + "." + address)};
                     return client.get("/seen", 1s).has_value();
                 });
    }
}

std::string process_fleet::node_address(unsigned number, unsigned port) const
{
    return m_net + "." + std::to_string(number) + ".10:" + std::to_string(port);
}

void process_fleet::start_node(unsigned number, const std::string& data_centre,
                               const std::vector<std::string>& flags)
{
    std::vector<std::string> arguments{program("teasellead"),
                                       "--listen",
                                       node_address(number, caller_port),
                                       "--peer-listen",
                                       node_address(number, peer_port),
                                       "--operator-listen",
                                       node_address(number, operator_port),
                                       "--platform",
                                       m_net + ".0.1:8500",
                                       "--data-centre",
                                       data_centre,
                                       "--balancer-lag-ms",
                                       "300",
                                       "--list-lag-ms",
                                       "100",
                                       "--list-freshness-ms",
                                       "1000"};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    m_data_centres[number] = data_centre;
    start("node-" + std::to_string(number), std::move(arguments),
          {"TEASELLEAD_FLEET_PUBLIC_KEY=" + m_public_key, "TEASELLEAD_FLEET_SECRET_KEY=" + m_secret_key});
}

void process_fleet::publish_hosts(const std::vector<unsigned>& numbers)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const unsigned number : numbers)
    {
        hosts.push_back(
            {{"peer", node_address(number, peer_port)}, {"data_centre", m_data_centres.at(number)}});
    }
    control_platform("hosts", nlohmann::json{{"hosts", hosts}}.dump());
}

void process_fleet::publish_services(const std::string& text)
{
    control_platform("services", resolve(text));
}

void process_fleet::control_platform(const std::string& name, const std::string& value)
{
    http_client client{endpoint::parse(m_net + ".0.1:8500")};
    const auto response = client.call("PUT", "/control/" + name, {}, value, call_timeout);
    require(response && response->m_status == 200, "platform control");
}

void process_fleet::wait_until_ready(unsigned number)
{
    wait_for("node " + std::to_string(number) + " ready",
             [this, number] { return operator_page(number, "/ready").m_status == 200; });
}

caller_answer process_fleet::call(unsigned number, const std::string& path, const std::string& key,
                                  const std::string& body, const std::vector<runtime::header_field>& headers)
{
    http_client client{endpoint::parse(node_address(number, caller_port))};
    std::vector<runtime::header_field> all = headers;
    if (!key.empty())
    {
        all.push_back({"X-Teasellead-Key", key});
    }
    return to_answer(client.call("POST", path, all, body, call_timeout));
}

caller_answer process_fleet::call_until(unsigned number, const std::string& path, const std::string& key,
                                        const std::function<bool(const caller_answer&)>& holds,
                                        const std::string& body)
{
    caller_answer answer;
    wait_for(path + " through node " + std::to_string(number),
             [&]
             {
                 answer = call(number, path, key, body);
                 return holds(answer);
             });
    return answer;
}

caller_answer process_fleet::operator_page(unsigned number, const std::string& path)
{
    http_client client{endpoint::parse(node_address(number, operator_port))};
    return to_answer(client.get(path, call_timeout));
}

void process_fleet::control_upstream(const std::string& address, const nlohmann::json& wanted)
{
    http_client client{endpoint::parse(m_net + "." + address)};
    const auto response = client.call("PUT", "/control", {}, wanted.dump(), call_timeout);
    require(response && response->m_status == 200, "upstream control");
}

nlohmann::json process_fleet::seen_by(const std::string& address)
{
    http_client client{endpoint::parse(m_net + "." + address)};
    const auto response = client.get("/seen", call_timeout);
    require(response.has_value(), "upstream " + address);
    return nlohmann::json::parse(response->m_body);
}

child_process& process_fleet::process(const std::string& name)
{
    return m_processes.at(name);
}

void process_fleet::forget(const std::string& name)
{
    m_processes.erase(name);
}

std::string process_fleet::output_of(const std::string& name) const
{
    std::ifstream file{m_directory + "/" + name + ".log"};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace test_support
