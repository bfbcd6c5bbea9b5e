#include <ostream>

#include "detail/read_file.hpp"
#include "teasellead/ctl/commands.hpp"
#include "teasellead/ctl/describe_changes.hpp"
#include "teasellead/kernel/configuration_parser.hpp"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

// message of an error without its id, which the new error adds again
std::string message_without_id(const config_error& error)
{
    constexpr std::string_view end_of_id = "] ";
    const std::string message = error.what();
    return message.substr(message.find(end_of_id) + end_of_id.size());
}

configuration read_configuration(const std::string& path)
{
    try
    {
        return parse_configuration(detail::read_file(path));
    }
    catch (const config_error& error)
    {
        throw config_error(error.id(), 0, "file \"" + path + "\": " + message_without_id(error));
    }
}

} // namespace

exit_code run_diff(const command_arguments& arguments, std::ostream& output)
{
    const configuration older = read_configuration(arguments[0]);
    const configuration newer = read_configuration(arguments[1]);
    const std::vector<std::string> changes = describe_changes(older, newer);
    for (const std::string& change : changes)
    {
        output << change << '\n';
    }
    if (changes.empty())
    {
        output << "nothing changes\n";
    }
    return exit_code::ok;
}

} // namespace teasellead
