#pragma once

#include <string>
#include <vector>

namespace teasellead
{

/// the log of one node
struct node_log
{
    std::string m_name;               ///< name of the log file; replaced by the node's name if the log has it
    std::vector<std::string> m_lines; ///< in the order in which they were written

    friend bool operator==(const node_log&, const node_log&) = default;
};

/*!
@brief describes how a request ended and the state of the node at that time, as its log shows it

@param[in] request_id  id of the request
@param[in] logs        logs of nodes; lines that hold no JSON object are ignored

@return one paragraph for each log line about the end of the request; empty if there is none

@complexity linear in the size of the logs
*/
[[nodiscard]] std::string explain_request(const std::string& request_id, const std::vector<node_log>& logs);

} // namespace teasellead
