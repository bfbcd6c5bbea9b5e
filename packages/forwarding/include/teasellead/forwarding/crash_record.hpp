#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "teasellead/forwarding/upstream.hpp"

namespace teasellead::forwarding
{

/// the loss of a connection to an upstream that was running a request
struct upstream_loss
{
    std::string m_service;
    upstream_process m_process;
    bool m_in_isolation{false}; ///< it occurred in a trial: no other isolated request was sent to the service
    bool m_has_ended{false};    ///< the process is known to have ended
    bool m_is_disregarded{false}; ///< doesn't count: the process survived, or a refused request ended it

    friend bool operator==(const upstream_loss&, const upstream_loss&) = default;
};

/*!
@brief the losses during requests with the same fingerprint, as exchanged between nodes

Records of several nodes are merged: within an epoch, the losses are united and the flags of each loss are
combined by a logical or; a record of a later epoch replaces one of an earlier epoch. So the order in which
records arrive doesn't matter.
*/
struct crash_record
{
    std::string m_fingerprint;
    std::uint64_t m_epoch{0};                ///< increases each time the record is cleared
    std::uint32_t m_trials_since_refusal{0}; ///< number of trials granted since the requests became refused
    std::vector<upstream_loss> m_losses;

    friend bool operator==(const crash_record&, const crash_record&) = default;
};

/// restriction of the requests with a record
enum class request_restriction
{
    clear,    ///< no restriction
    isolated, ///< one attempt at a time, without hedges, retries or other isolated requests at the service
    refused   ///< rejected, except for rare trials
};

/*!
@brief derives the restriction from a record

Two lost upstreams, without a reply of a service concerned since then, lead to isolation. A refusal needs
three lost upstreams whose processes ended, two of them in isolation, where no other isolated request can be
the cause.

@complexity quadratic in the number of losses, which is bounded
*/
[[nodiscard]] request_restriction restriction_of(const crash_record& record);

/// number of losses in isolation that count
[[nodiscard]] std::size_t isolated_losses(const crash_record& record);

/// number of losses that count and whose processes ended
[[nodiscard]] std::size_t ended_losses(const crash_record& record);

/*!
@brief merges a record into another one

@param[in,out] known  record to be updated
@param[in]     other  record of the same fingerprint, usually another node's

@return whether the updated record has changed
*/
bool merge(crash_record& known, const crash_record& other);

} // namespace teasellead::forwarding
