#pragma once

#include <string>
#include <vector>

namespace teasellead
{

/// the log of one node
struct node_log
{
    std::string m_name;               ///< of the file, until the log names the node
    std::vector<std::string> m_lines; ///< in the order in which they were written

    friend bool operator==(const node_log&, const node_log&) = default;
};

/*!
@brief says in words how a request ended and what the node believed then

@param[in] request_id  the request
@param[in] logs        logs of nodes; lines that aren't JSON are passed over

@return one paragraph for each node that saw the request; empty if none did

@complexity linear in the size of the logs
*/
[[nodiscard]] std::string explain_request(const std::string& request_id, const std::vector<node_log>& logs);

} // namespace teasellead
