#include "teasellead/kernel/fingerprint.hpp"

#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

void append_length_prefixed(std::string& joined, std::string_view field)
{
    joined += std::to_string(field.size());
    joined += ':';
    joined += field;
}

} // namespace

std::string request_fingerprint(std::string_view client_account, std::string_view route,
                                std::string_view body)
{
    std::string joined;
    append_length_prefixed(joined, client_account);
    append_length_prefixed(joined, route);
    append_length_prefixed(joined, body);
    return digest_hex(joined);
}

} // namespace teasellead
