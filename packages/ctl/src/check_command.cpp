#include <ostream>

#include "detail/read_file.hpp"
#include "teasellead/ctl/commands.hpp"
#include "teasellead/kernel/configuration_parser.hpp"

namespace teasellead
{

exit_code run_check(const command_arguments& arguments, std::ostream& output)
{
    const configuration declared = parse_configuration(detail::read_file(arguments.front()));
    output << "valid: " << declared.services().size() << " services, " << declared.routes().size()
           << " routes, " << declared.client_accounts().size() << " client accounts, "
           << declared.keys().size() << " keys\n";
    return exit_code::ok;
}

} // namespace teasellead
