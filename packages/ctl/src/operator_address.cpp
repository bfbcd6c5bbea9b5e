#include "detail/operator_address.hpp"

#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

endpoint parse_operator_address(const std::string& argument)
{
    constexpr int invalid_address_id = 206;
    try
    {
        return endpoint::parse(argument);
    }
    catch (const protocol_error&)
    {
        throw settings_error(invalid_address_id,
                             "operator address \"" + argument + "\" isn't an IP number with a port");
    }
}

} // namespace teasellead
