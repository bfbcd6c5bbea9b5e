#include "teasellead/runtime/refusals.hpp"

#include <array>
#include <cstdio>

namespace teasellead::runtime
{

http_response refusal(unsigned status, std::chrono::milliseconds retry_after)
{
    constexpr double ms_per_s = 1000.0;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(retry_after.count()) / ms_per_s);
    return {status, {{"Retry-After", text.data()}}, {}};
}

http_response stopping_refusal()
{
    return refusal(service_unavailable, std::chrono::milliseconds::zero());
}

http_response memory_refusal()
{
    // connections that occupy the memory are closed meanwhile, or have been read
    constexpr std::chrono::milliseconds retry_after{500};
    return refusal(service_unavailable, retry_after);
}

} // namespace teasellead::runtime
