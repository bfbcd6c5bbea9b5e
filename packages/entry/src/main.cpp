#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/entry/node.hpp"
#include "teasellead/entry/node_settings.hpp"
#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/overloaded.hpp"
#include "teasellead/kernel/registry.hpp"
#include "teasellead/runtime/deployment.hpp"
#include "teasellead/runtime/forwarding_node.hpp"

namespace
{

constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
constexpr int no_deployment_id = 212;
constexpr const char* check_settings_flag = "--check-settings";
constexpr const char* log_level_variable = "TEASELLEAD_LOG_LEVEL";
constexpr const char* deployment_settings_variable = "TEASELLEAD_SETTINGS";

std::optional<std::string> read_environment(const std::string& name)
{
    const char* const value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>{value};
}

sigset_t stop_signals()
{
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

std::unique_ptr<teasellead::runtime::deployment> make_deployment(const std::string& settings_path)
{
    using namespace teasellead::runtime;
    const auto names = teasellead::registry<deployment_factory>::instance().names();
    if (names.empty())
    {
        throw teasellead::settings_error(no_deployment_id,
                                         "this program was built without a deployment adapter");
    }
    const auto make = teasellead::registry<deployment_factory>::instance().create(names.front());
    return make(settings_path);
}

int check_settings(const std::string& settings_path)
{
    const auto platform = make_deployment(settings_path);
    std::cout << "valid: node " << platform->settings().m_name << " in data centre "
              << platform->settings().m_data_centre << '\n';
    return exit_ok;
}

/// runs the node of a deployment, whose adapter reads the settings file
int run_deployment(const std::string& settings_path)
{
    using namespace teasellead::runtime;
    std::signal(SIGPIPE, SIG_IGN);
    const std::unique_ptr<deployment> platform = make_deployment(settings_path);
    const auto level = teasellead::parse_log_level(log_level_variable,
                                                   read_environment(log_level_variable).value_or("info"));
    teasellead::decision_log log{teasellead::log_format::json, level,
                                 teasellead::log_target::standard_output};
    forwarding_node node{*platform, log};
    return node.run() ? exit_ok : exit_failure;
}

int run(const teasellead::node_settings& settings)
{
    // blocked before any thread starts, so that all threads inherit the mask; further signals have no effect
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    teasellead::node node{settings};
    int received = 0;
    sigwait(&signals, &received);
    return node.stop() ? exit_ok : exit_failure;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const std::vector<std::string> arguments{argv + 1, argv + argc};
        const auto settings_path = read_environment(deployment_settings_variable);
        if (arguments.size() == 2 && arguments.front() == check_settings_flag)
        {
            return check_settings(arguments.back());
        }
        if (arguments.empty() && settings_path)
        {
            return run_deployment(*settings_path);
        }
        return std::visit(teasellead::overloaded{[](const teasellead::node_settings& settings)
                                                 { return run(settings); },
                                                 [](const teasellead::help_text& text)
                                                 {
                                                     std::cout << text.m_text;
                                                     return exit_ok;
                                                 }},
                          teasellead::read_node_settings(arguments, read_environment));
    }
    catch (const teasellead::settings_error& error)
    {
        std::cerr << error.what() << '\n';
        return exit_usage;
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return exit_failure;
    }
}
