#include <ostream>

#include "teasellead/ctl/commands.hpp"
#include "teasellead/fleet/peer_link.hpp"
#include "teasellead/kernel/authentication.hpp"

namespace teasellead
{

exit_code run_key(const command_arguments& arguments, std::ostream& output)
{
    const issued_key key = issue_key(arguments[0], arguments[1]);
    output << "# for the caller: " << key.m_presented << '\n' << key.m_toml;
    return exit_code::ok;
}

exit_code run_fleet_key(const command_arguments& /*arguments*/, std::ostream& output)
{
    const fleet_key key = make_fleet_key();
    // single quotes: the characters of these keys include some that a shell would expand
    output << "TEASELLEAD_FLEET_PUBLIC_KEY='" << key.m_public << "'\nTEASELLEAD_FLEET_SECRET_KEY='"
           << key.m_secret << "'\n";
    return exit_code::ok;
}

} // namespace teasellead
