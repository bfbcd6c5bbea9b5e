#include <ostream>

#include "detail/operator_address.hpp"
#include "teasellead/ctl/commands.hpp"
#include "teasellead/entry/http_client.hpp"
#include "teasellead/kernel/percent_encoding.hpp"

namespace teasellead
{

namespace
{

constexpr std::chrono::milliseconds answer_timeout{3'000};
constexpr unsigned status_ok = 200;

} // namespace

exit_code run_where(const command_arguments& arguments, std::ostream& output)
{
    constexpr std::size_t account_index = 3;
    http_client client{parse_operator_address(arguments[0])};
    std::string target =
        "/explain?host=" + percent_encoded(arguments[1]) + "&path=" + percent_encoded(arguments[2]);
    if (arguments.size() > account_index)
    {
        target += "&account=" + percent_encoded(arguments[account_index]);
    }
    const std::optional<runtime::http_response> response = client.get(target, answer_timeout);
    if (!response)
    {
        output << "no answer\n";
        return exit_code::failure;
    }
    output << response->m_body;
    return response->m_status == status_ok ? exit_code::ok : exit_code::failure;
}

} // namespace teasellead
