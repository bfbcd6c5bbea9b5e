#include "teasellead/fleet/limit_policy.hpp"

namespace teasellead
{

namespace
{

limit_policy make_static_split()
{
    return static_split{};
}

limit_policy make_lending()
{
    return lending{};
}

const registration<limit_policy> static_split_registration{"static-split", make_static_split};
const registration<limit_policy> lending_registration{"lending", make_lending};

} // namespace

limit_policy make_limit_policy(const std::string& name)
{
    return registry<limit_policy>::instance().create(name);
}

} // namespace teasellead
