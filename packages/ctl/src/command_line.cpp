#include <algorithm>
#include <array>
#include <limits>
#include <ostream>

#include "teasellead/ctl/commands.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

constexpr const char* usage = R"(usage: teaselleadctl COMMAND

  check FILE                   validates a services text
  diff OLD NEW                 describes the differences between two services texts
  key ID CLIENT-ACCOUNT        generates an API key: prints the secret and its lines for the services text
  fleet-key                    generates the key pair of a fleet: prints two environment variables
  replay TRACE...              replays traces of decisions and compares the outcomes with the expected ones
  explain ID LOG...            describes how a request ended, from the logs of nodes on the platform
  where IP:PORT HOST PATH [ACCOUNT]
                               prints where a node on the platform would send a GET request now, and why,
                               without sending it; IP:PORT is the address of the node's metrics
  report IP:PORT...            prints problems, routes, client accounts and upstreams of a fleet; the
                               arguments are the operator addresses of its nodes
)";

constexpr std::size_t any_number = std::numeric_limits<std::size_t>::max();

struct command
{
    std::string_view m_name;
    std::size_t m_min_arguments;
    std::size_t m_max_arguments;
    exit_code (*m_run)(const command_arguments& arguments, std::ostream& output);
};

constexpr std::array commands{command{"check", 1, 1, run_check},
                              command{"diff", 2, 2, run_diff},
                              command{"key", 2, 2, run_key},
                              command{"fleet-key", 0, 0, run_fleet_key},
                              command{"replay", 1, any_number, run_replay},
                              command{"explain", 2, any_number, run_explain},
                              command{"where", 3, 4, run_where},
                              command{"report", 1, any_number, run_report}};

exit_code dispatch(const command_arguments& arguments, std::ostream& output, std::ostream& errors)
{
    if (arguments.size() == 1 && (arguments[0] == "--help" || arguments[0] == "help"))
    {
        output << usage;
        return exit_code::ok;
    }
    if (arguments.empty())
    {
        errors << usage;
        return exit_code::usage;
    }
    const auto found =
        std::find_if(commands.begin(), commands.end(),
                     [&](const command& candidate) { return candidate.m_name == arguments[0]; });
    if (found == commands.end())
    {
        errors << "unknown command \"" << arguments[0] << "\"\n" << usage;
        return exit_code::usage;
    }
    const command_arguments rest{arguments.begin() + 1, arguments.end()};
    if (rest.size() < found->m_min_arguments || rest.size() > found->m_max_arguments)
    {
        errors << "wrong number of arguments for \"" << arguments[0] << "\"\n" << usage;
        return exit_code::usage;
    }
    return found->m_run(rest, output);
}

} // namespace

exit_code run_command_line(const command_arguments& arguments, std::ostream& output, std::ostream& errors)
{
    try
    {
        return dispatch(arguments, output, errors);
    }
    catch (const settings_error& error)
    {
        errors << error.what() << '\n';
        return exit_code::usage;
    }
    catch (const std::exception& error)
    {
        errors << error.what() << '\n';
        return exit_code::failure;
    }
}

} // namespace teasellead
