#include "response_check.hpp"

namespace teasellead::runtime
{

namespace
{

constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr unsigned switching_protocols = 101;

} // namespace

bool is_valid_status(unsigned status) noexcept
{
    return status >= min_status && status <= max_status && status != switching_protocols;
}

} // namespace teasellead::runtime
